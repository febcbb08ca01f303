//! Release notes that carry the blocks of the design size.

use crate::memory::{mb, resident};
use anyhow::ensure;
use ipnet::IpNet;
use pimento_rules::{Block, Domain, Follower, Items, Note, NoteLog, OfferOutcome, Region};
use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

/// The blocks of the design size.
const BLOCKS: u32 = 2_000_000;

/// The blocks of the short form.
const SHORT_BLOCKS: u32 = 200_000;

/// The blocks that one note adds.
const NOTE_BLOCKS: u32 = 8_000;

/// The failure domains of the design size.
const DOMAINS: u32 = 46;

/// The memory of a node for control, in bytes.
const MEMORY: usize = 256_000_000;

/// The changes of configuration a day.
const CHANGES: u64 = 4_500;

/// What a node may spend on control, in bytes a second.
const RATE: u64 = 3_000;

/// How much longer a note of neighbouring blocks may take on the full table
/// than on a tenth of it; a copy of the whole table would take ten times as
/// long.
const ORDERED_GROWTH: f64 = 5.0;

/// The same for a note whose blocks touch every part of the table: no more than
/// the table grows, and as much again for noise.
const SCATTERED_GROWTH: f64 = 20.0;

/// Where the blocks of a note lie.
#[derive(Clone, Copy, Debug)]
enum Order {
    /// Next to each other.
    Ordered,
    /// All over the table.
    Scattered,
}

/// The look-ups that are timed.
const LOOKUPS: u32 = 200_000;

/// Measures, prints and checks the bounds.
pub fn run(short: bool) -> anyhow::Result<()> {
    let blocks = if short { SHORT_BLOCKS } else { BLOCKS };
    let before = resident()?;
    let mut book = fill(blocks, Order::Ordered, ORDERED_GROWTH)?;
    let held = resident()?.saturating_sub(before);
    println!("notes: {:.0} MB resident for book and rules", mb(held));
    ensure!(held < MEMORY, "{held} bytes break the bound of {MEMORY}");
    small_change(&mut book)?;
    lookups(&book, blocks);
    full_copy(&book)?;
    drop(book);
    fill(blocks, Order::Scattered, SCATTERED_GROWTH)?;
    Ok(())
}

fn places() -> Note {
    let region = Region {
        name: "region".parse().expect("a valid name"),
        reserve: 20,
    };
    let domain = |n| Domain {
        name: domain_name(n),
        region: region.name.clone(),
    };
    Note {
        number: 1,
        added: Items {
            domains: (0..DOMAINS).map(domain).collect(),
            regions: vec![region.clone()],
            ..Items::default()
        },
        ..Note::default()
    }
}

fn domain_name(n: u32) -> pimento_core::DomainId {
    let name = format!("domain-{:02}", n % DOMAINS);
    name.parse().expect("a valid name")
}

fn block(n: u32, blocks: u32, order: Order) -> Block {
    let notes = blocks / NOTE_BLOCKS;
    let place = match order {
        Order::Ordered => n,
        Order::Scattered => n % NOTE_BLOCKS * notes + n / NOTE_BLOCKS,
    };
    let addr = IpAddr::V4(Ipv4Addr::from((place << 8) + (1 << 24)));
    Block {
        net: IpNet::new(addr, 24).expect("the length fits"),
        domain: domain_name(n),
    }
}

fn offer(book: &mut NoteLog, note: &Note) -> anyhow::Result<Duration> {
    let bytes = note.encode();
    let start = Instant::now();
    let offer = book.offer(0, &bytes);
    ensure!(matches!(offer, OfferOutcome::Accepted(_)), "{offer:?}");
    Ok(start.elapsed())
}

fn fill(blocks: u32, order: Order, bound: f64) -> anyhow::Result<NoteLog> {
    let mut book = NoteLog::default();
    offer(&mut book, &places())?;
    let mut spent = Vec::new();
    for note in 0..blocks / NOTE_BLOCKS {
        let own = note * NOTE_BLOCKS..(note + 1) * NOTE_BLOCKS;
        let note = Note {
            number: book.version() + 1,
            added: Items {
                blocks: own.map(|n| block(n, blocks, order)).collect(),
                ..Items::default()
            },
            ..Note::default()
        };
        spent.push(offer(&mut book, &note)?);
    }
    let total: Duration = spent.iter().sum();
    let count = spent.len();
    println!("notes: {blocks} blocks, {order:?}, in {count} notes, applied in {total:.2?}");
    check_growth(&spent, bound)?;
    Ok(book)
}

/// Compares the last tenth of the notes with the second tenth.
fn check_growth(spent: &[Duration], bound: f64) -> anyhow::Result<()> {
    let tenth = (spent.len() / 10).max(1);
    let median = |part: &[Duration]| {
        let mut part = part.to_vec();
        part.sort_unstable();
        part[part.len() / 2]
    };
    let early = median(&spent[tenth..2 * tenth]);
    let late = median(&spent[spent.len() - tenth..]);
    let growth = late.as_secs_f64() / early.as_secs_f64();
    println!("notes: a note takes {early:.2?} early, {late:.2?} late: {growth:.1} (bound {bound})");
    ensure!(
        growth < bound,
        "growth {growth:.1} breaks the bound {bound}"
    );
    Ok(())
}

/// A change of ten blocks: its time, and what it costs each node to receive.
fn small_change(book: &mut NoteLog) -> anyhow::Result<()> {
    let ten = book.rules().blocks.iter().step_by(1_000).take(10);
    let moved = |old: &Block| Block {
        net: old.net,
        domain: domain_name(7),
    };
    let note = Note {
        number: book.version() + 1,
        changed: Items {
            blocks: ten.map(moved).collect(),
            ..Items::default()
        },
        ..Note::default()
    };
    let spent = offer(book, &note)?;
    let push = book.push_since(book.version() - 1);
    let len = prost::Message::encoded_len(&push) as u64;
    let rate = len * CHANGES / 86_400;
    println!("notes: a change of 10 blocks takes {spent:.2?} and {len} bytes a node");
    println!("notes: {CHANGES} such a day are {rate} bytes a second (bound {RATE})");
    ensure!(rate < RATE, "{rate} bytes a second break the bound");
    Ok(())
}

fn lookups(book: &NoteLog, blocks: u32) {
    let rules = book.rules();
    let start = Instant::now();
    let mut found = 0;
    for n in 0..LOOKUPS {
        let place = n.wrapping_mul(2_654_435_761) % blocks;
        let ip = IpAddr::V4(Ipv4Addr::from((place << 8) + (1 << 24) + 9));
        found += usize::from(black_box(rules.blocks.longest_match(ip)).is_some());
    }
    let each = start.elapsed() / LOOKUPS;
    println!("notes: a search for an address takes {each:.0?}, {found} of {LOOKUPS} found");
}

/// A node that starts with nothing, and a snapshot.
fn full_copy(book: &NoteLog) -> anyhow::Result<()> {
    let start = Instant::now();
    let snapshot = book.snapshot();
    let wrote = start.elapsed();
    let start = Instant::now();
    let restored = NoteLog::restore(&snapshot)?;
    let read = start.elapsed();
    ensure!(restored == *book, "the snapshot is not the book");
    println!(
        "notes: snapshot of {:.1} MB written in {wrote:.2?}, read in {read:.2?}",
        mb(snapshot.len())
    );
    drop(restored);
    let base = NoteLog::from_base(book.rules().as_ref().clone());
    let mut follower = Follower::default();
    follower.observe_version(base.version());
    let (mut bytes, mut largest, mut pulls) = (0, 0, 0);
    let start = Instant::now();
    while let Some(pull) = follower.pull_if_behind() {
        let push = base.answer_pull(&pull);
        let len = prost::Message::encoded_len(&push);
        bytes += len;
        largest = largest.max(len);
        pulls += 1;
        follower.receive(&push)?;
    }
    let spent = start.elapsed();
    ensure!(follower.rules() == *book.rules(), "the copy is not whole");
    println!(
        "notes: a full copy is {:.1} MB in {pulls} pulls of {largest} bytes at most, {spent:.2?}",
        mb(bytes)
    );
    Ok(())
}
