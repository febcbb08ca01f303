//! Release notes that together carry as many blocks as the design size.

use crate::memory::{megabytes, resident_bytes};
use anyhow::ensure;
use ipnet::IpNet;
use pimento_rules::{Block, Domain, Follower, Items, Note, NoteLog, OfferOutcome, Region};
use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

/// Number of blocks at the design size.
const BLOCKS: u32 = 2_000_000;

/// Number of blocks with `--short`.
const SHORT_BLOCKS: u32 = 200_000;

/// Number of blocks that one note adds.
const NOTE_BLOCKS: u32 = 8_000;

/// Number of failure domains at the design size.
const DOMAINS: u32 = 46;

/// Memory budget of a node for control, in bytes.
const MAX_MEMORY_BYTES: usize = 256_000_000;

/// Configuration changes per day.
const CHANGES_PER_DAY: u64 = 4_500;

/// Network budget of a node for control, in bytes per second.
const MAX_BYTES_PER_SECOND: u64 = 3_000;

/// Maximum ratio of the time to apply a note of adjacent blocks to the full
/// table and to a tenth of it. Copying the whole table would give a ratio of
/// ten.
const MAX_ORDERED_GROWTH: f64 = 5.0;

/// The same ratio for a note whose blocks touch every part of the table: the
/// growth of the table, doubled to allow for noise.
const MAX_SCATTERED_GROWTH: f64 = 20.0;

/// How the blocks of one note are distributed over the address space.
#[derive(Clone, Copy, Debug)]
enum Order {
    /// Adjacent blocks.
    Ordered,
    /// Blocks spread over the whole table.
    Scattered,
}

/// Number of timed look-ups.
const LOOKUPS: u32 = 200_000;

/// Applies notes, times changes, look-ups and full copies, prints the figures,
/// and checks the bounds.
pub fn run(short: bool) -> anyhow::Result<()> {
    let blocks = if short { SHORT_BLOCKS } else { BLOCKS };
    let before = resident_bytes()?;
    let mut log = fill_log(blocks, Order::Ordered, MAX_ORDERED_GROWTH)?;
    let used_bytes = resident_bytes()?.saturating_sub(before);
    println!(
        "notes: {:.0} MB resident for note log and rules",
        megabytes(used_bytes)
    );
    ensure!(
        used_bytes < MAX_MEMORY_BYTES,
        "{used_bytes} bytes exceed the bound of {MAX_MEMORY_BYTES}"
    );
    measure_small_change(&mut log)?;
    measure_lookups(&log, blocks);
    measure_full_copy(&log)?;
    drop(log);
    fill_log(blocks, Order::Scattered, MAX_SCATTERED_GROWTH)?;
    Ok(())
}

fn topology_note() -> Note {
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
    let position = match order {
        Order::Ordered => n,
        Order::Scattered => n % NOTE_BLOCKS * notes + n / NOTE_BLOCKS,
    };
    let addr = IpAddr::V4(Ipv4Addr::from((position << 8) + (1 << 24)));
    Block {
        net: IpNet::new(addr, 24).expect("the length fits"),
        domain: domain_name(n),
    }
}

fn offer(log: &mut NoteLog, note: &Note) -> anyhow::Result<Duration> {
    let bytes = note.encode();
    let start = Instant::now();
    let offer = log.offer(0, &bytes);
    ensure!(matches!(offer, OfferOutcome::Accepted(_)), "{offer:?}");
    Ok(start.elapsed())
}

fn fill_log(blocks: u32, order: Order, bound: f64) -> anyhow::Result<NoteLog> {
    let mut log = NoteLog::default();
    offer(&mut log, &topology_note())?;
    let mut elapsed = Vec::new();
    for note in 0..blocks / NOTE_BLOCKS {
        let range = note * NOTE_BLOCKS..(note + 1) * NOTE_BLOCKS;
        let note = Note {
            number: log.version() + 1,
            added: Items {
                blocks: range.map(|n| block(n, blocks, order)).collect(),
                ..Items::default()
            },
            ..Note::default()
        };
        elapsed.push(offer(&mut log, &note)?);
    }
    let total: Duration = elapsed.iter().sum();
    let count = elapsed.len();
    println!("notes: {blocks} blocks, {order:?}, in {count} notes, applied in {total:.2?}");
    check_growth(&elapsed, bound)?;
    Ok(log)
}

/// Compares the median time of the last tenth of the notes with that of the
/// second tenth.
fn check_growth(elapsed: &[Duration], bound: f64) -> anyhow::Result<()> {
    let tenth = (elapsed.len() / 10).max(1);
    let median = |part: &[Duration]| {
        let mut part = part.to_vec();
        part.sort_unstable();
        part[part.len() / 2]
    };
    let early = median(&elapsed[tenth..2 * tenth]);
    let late = median(&elapsed[elapsed.len() - tenth..]);
    let growth = late.as_secs_f64() / early.as_secs_f64();
    println!("notes: a note takes {early:.2?} early, {late:.2?} late: {growth:.1} (bound {bound})");
    ensure!(
        growth < bound,
        "growth {growth:.1} exceeds the bound {bound}"
    );
    Ok(())
}

/// Changes ten blocks; measures the time to apply the note and the bytes that
/// each node receives.
fn measure_small_change(log: &mut NoteLog) -> anyhow::Result<()> {
    let ten = log.rules().blocks.iter().step_by(1_000).take(10);
    let moved = |old: &Block| Block {
        net: old.net,
        domain: domain_name(7),
    };
    let note = Note {
        number: log.version() + 1,
        changed: Items {
            blocks: ten.map(moved).collect(),
            ..Items::default()
        },
        ..Note::default()
    };
    let elapsed = offer(log, &note)?;
    let push = log.push_since(log.version() - 1);
    let len = prost::Message::encoded_len(&push) as u64;
    let rate = len * CHANGES_PER_DAY / 86_400;
    println!("notes: a change of 10 blocks takes {elapsed:.2?} and {len} bytes a node");
    println!(
        "notes: {CHANGES_PER_DAY} such changes a day are {rate} bytes a second (bound {MAX_BYTES_PER_SECOND})"
    );
    ensure!(
        rate < MAX_BYTES_PER_SECOND,
        "{rate} bytes a second exceed the bound"
    );
    Ok(())
}

fn measure_lookups(log: &NoteLog, blocks: u32) {
    let rules = log.rules();
    let start = Instant::now();
    let mut found = 0;
    for n in 0..LOOKUPS {
        let position = n.wrapping_mul(2_654_435_761) % blocks;
        let ip = IpAddr::V4(Ipv4Addr::from((position << 8) + (1 << 24) + 9));
        found += usize::from(black_box(rules.blocks.longest_match(ip)).is_some());
    }
    let each = start.elapsed() / LOOKUPS;
    println!("notes: a look-up of an address takes {each:.0?}, {found} of {LOOKUPS} found");
}

/// Restores a snapshot, and pulls all rules to a node that starts empty.
fn measure_full_copy(log: &NoteLog) -> anyhow::Result<()> {
    let start = Instant::now();
    let snapshot = log.snapshot();
    let write_time = start.elapsed();
    let start = Instant::now();
    let restored = NoteLog::restore(&snapshot)?;
    let read_time = start.elapsed();
    ensure!(
        restored == *log,
        "the restored snapshot differs from the note log"
    );
    println!(
        "notes: snapshot of {:.1} MB written in {write_time:.2?}, read in {read_time:.2?}",
        megabytes(snapshot.len())
    );
    drop(restored);
    let base = NoteLog::from_base(log.rules().as_ref().clone());
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
    let elapsed = start.elapsed();
    ensure!(
        follower.rules() == *log.rules(),
        "the pulled rules differ from the source"
    );
    println!(
        "notes: a full copy is {:.1} MB in {pulls} pulls of {largest} bytes at most, {elapsed:.2?}",
        megabytes(bytes)
    );
    Ok(())
}
