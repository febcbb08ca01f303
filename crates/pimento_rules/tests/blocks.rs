//! Compares the table of blocks with a simple model.

use bolero::check;
use ipnet::IpNet;
use pimento_rules::{Block, Blocks, Domain, Items, Note, Region, Rules, Withdrawn};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
};

/// Number of seeds that every run of the tests covers.
const FIXED_SEEDS: u64 = 200;

fn net(seed: u32) -> IpNet {
    let len = (8 + seed % 21) as u8;
    let addr = if seed.is_multiple_of(5) {
        IpAddr::V6(Ipv6Addr::from(u128::from(seed) << 96))
    } else {
        IpAddr::V4(Ipv4Addr::from(seed.wrapping_mul(0x0101_0101)))
    };
    IpNet::new(addr, len).expect("the length fits").trunc()
}

fn block(net: IpNet, domain: usize) -> Block {
    let domain = format!("domain-{}", domain % 2);
    let domain = domain.parse().expect("a valid name");
    Block { net, domain }
}

fn initial_rules() -> Rules {
    let domain = |n: usize| Domain {
        name: format!("domain-{n}").parse().expect("a valid name"),
        region: "r".parse().expect("a valid name"),
    };
    let added = Items {
        regions: vec![Region {
            name: "r".parse().expect("a valid name"),
            reserve: 0,
        }],
        domains: vec![domain(0), domain(1)],
        ..Items::default()
    };
    let note = Note {
        number: 1,
        added,
        ..Note::default()
    };
    Rules::default().apply(&note).expect("the note is valid")
}

/// Builds a note from random choices and applies the same changes to the model.
fn random_note(model: &mut BTreeMap<IpNet, Block>, picks: &[(u32, u8)], number: u64) -> Note {
    let mut added = Vec::new();
    let mut changed = Vec::new();
    let mut withdrawn = Vec::new();
    let picks: BTreeMap<IpNet, u8> = picks.iter().map(|(n, op)| (net(*n), *op)).collect();
    for (net, op) in picks {
        let block = block(net, usize::from(op));
        match (model.contains_key(&net), op % 3) {
            (false, _) => {
                added.push(block.clone());
                model.insert(net, block);
            }
            (true, 0) => {
                withdrawn.push(net);
                model.remove(&net);
            }
            (true, _) => {
                changed.push(block.clone());
                model.insert(net, block);
            }
        }
    }
    let items = |blocks| Items {
        blocks,
        ..Items::default()
    };
    Note {
        number,
        added: items(added),
        changed: items(changed),
        withdrawn: Withdrawn {
            blocks: withdrawn,
            ..Withdrawn::default()
        },
    }
}

fn longest_match_in_model(model: &BTreeMap<IpNet, Block>, ip: IpAddr) -> Option<&Block> {
    let containing = model.values().filter(|block| block.net.contains(&ip));
    containing.max_by_key(|block| block.net.prefix_len())
}

fn compare_with_model(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut rules = initial_rules();
    let mut model = BTreeMap::new();
    for number in 2..8 {
        let len = rng.random_range(0..60);
        let pick = |_| (rng.random_range(0..200), rng.random());
        let picks: Vec<(u32, u8)> = (0..len).map(pick).collect();
        let note = random_note(&mut model, &picks, number);
        let note = Note::decode(&note.encode()).expect("a note decodes");
        rules = rules.apply(&note).expect("the note is valid");
        assert!(rules.blocks.iter().eq(model.values()));
        assert_eq!(rules.blocks.len(), model.len());
        for (seed, _) in picks {
            let ip = net(seed).addr();
            assert_eq!(
                rules.blocks.longest_match(ip),
                longest_match_in_model(&model, ip)
            );
            let near = IpAddr::V4(Ipv4Addr::from(seed.wrapping_mul(0x0101_0113)));
            assert_eq!(
                rules.blocks.longest_match(near),
                longest_match_in_model(&model, near)
            );
        }
    }
}

#[test]
fn table_matches_model() {
    (0..FIXED_SEEDS).for_each(compare_with_model);
    let fuzz = check!().with_type::<u64>();
    fuzz.with_iterations(50)
        .for_each(|seed| compare_with_model(*seed));
}

#[test]
fn notes_across_many_chunks() {
    let nets = (0..10_000_u32).map(|n| IpAddr::V4(Ipv4Addr::from(n << 8)));
    let nets = nets.map(|addr| IpNet::new(addr, 24).expect("the length fits"));
    let all: Vec<Block> = nets.zip(0..).map(|(net, n)| block(net, n)).collect();
    let mut rules = initial_rules();
    for (part, number) in all.chunks(700).zip(2..) {
        let note = Note {
            number,
            added: Items {
                blocks: part.iter().rev().cloned().collect(),
                ..Items::default()
            },
            ..Note::default()
        };
        rules = rules.apply(&note).expect("the note is valid");
    }
    assert_eq!(rules.blocks, Blocks::from(all.clone()));
    let mut withdrawn = Vec::new();
    let mut changed = Vec::new();
    let mut expected = Vec::new();
    for (i, old) in all.iter().enumerate() {
        if i % 256 == 0 {
            withdrawn.push(old.net);
        } else if i % 128 == 1 {
            changed.push(block(old.net, i + 1));
            expected.push(block(old.net, i + 1));
        } else {
            expected.push(old.clone());
        }
    }
    let note = Note {
        number: rules.version + 1,
        changed: Items {
            blocks: changed,
            ..Items::default()
        },
        withdrawn: Withdrawn {
            blocks: withdrawn,
            ..Withdrawn::default()
        },
        ..Note::default()
    };
    let edited = rules.apply(&note).expect("the note is valid");
    assert_eq!(edited.blocks, Blocks::from(expected));
    let found = rules
        .blocks
        .longest_match("0.3.7.200".parse().expect("an address"));
    assert_eq!(found, Some(&all[0x307]));
}
