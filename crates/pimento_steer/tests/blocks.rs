//! Compares the block table with a plain list.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use pimento_core::DomainId;
use pimento_rules::Block;
use pimento_steer::{BlockDelta, BlockTable};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

fn domain(n: u32) -> DomainId {
    DomainId::new(format!("d{n}")).unwrap()
}

/// A random net in a small address space, so that nets often contain each
/// other.
fn random_net(rng: &mut SmallRng) -> IpNet {
    if rng.random_bool(0.5) {
        let address = Ipv4Addr::from_bits(rng.random_range(0..1 << 10) << 22);
        let len = rng.random_range(0..=12);
        return Ipv4Net::new(address, len).unwrap().trunc().into();
    }
    let address = Ipv6Addr::from_bits(rng.random_range(0..1 << 10) << 118);
    let len = rng.random_range(0..=12);
    Ipv6Net::new(address, len).unwrap().trunc().into()
}

fn random_ip(rng: &mut SmallRng) -> IpAddr {
    if rng.random_bool(0.5) {
        return Ipv4Addr::from_bits(rng.random()).into();
    }
    Ipv6Addr::from_bits(rng.random()).into()
}

/// The block with the longest prefix; the last one if several are equal.
fn longest_match(blocks: &[Block], ip: IpAddr) -> Option<(IpNet, &DomainId)> {
    let fit = blocks.iter().filter(|block| block.net.contains(&ip));
    let best = fit.max_by_key(|block| block.net.prefix_len());
    best.map(|block| (block.net, &block.domain))
}

fn random_delta(rng: &mut SmallRng, expected_blocks: &mut Vec<Block>) -> BlockDelta {
    let mut delta = BlockDelta::default();
    for _ in 0..rng.random_range(0..20) {
        let net = random_net(rng);
        if delta.set.iter().any(|b| b.net == net) || delta.removed.contains(&net) {
            continue;
        }
        expected_blocks.retain(|block| block.net != net);
        if rng.random_bool(0.4) {
            delta.removed.push(net);
            continue;
        }
        let domain = domain(rng.random_range(0..5));
        expected_blocks.push(Block {
            net,
            domain: domain.clone(),
        });
        delta.set.push(Block { net, domain });
    }
    delta
}

fn check_random_changes(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut expected_blocks = Vec::new();
    let mut table = BlockTable::default();
    for _ in 0..10 {
        let delta = random_delta(&mut rng, &mut expected_blocks);
        table = table.apply(&delta);
        assert_eq!(table.len(), expected_blocks.len());
        for _ in 0..50 {
            let ip = random_ip(&mut rng);
            assert_eq!(
                table.find_block(ip),
                longest_match(&expected_blocks, ip),
                "{ip}"
            );
        }
    }
    let built = BlockTable::new(&expected_blocks);
    for _ in 0..50 {
        let ip = random_ip(&mut rng);
        assert_eq!(built.find(ip), table.find(ip), "{ip}");
    }
}

#[test]
fn matches_plain_list() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(300)
        .for_each(|seed| check_random_changes(*seed));
}

#[test]
fn delta_keeps_old_table() {
    let net: IpNet = "10.0.0.0/8".parse().unwrap();
    let block = |n| Block {
        net,
        domain: domain(n),
    };
    let old = BlockTable::new(&[block(1)]);
    let delta = BlockDelta {
        set: vec![block(2)],
        removed: Vec::new(),
    };
    let new = old.apply(&delta);
    let ip = "10.1.2.3".parse().unwrap();
    assert_eq!(old.find(ip), Some(&domain(1)));
    assert_eq!(new.find(ip), Some(&domain(2)));
    assert_eq!(
        new.find("::ffff:10.1.2.3".parse().unwrap()),
        Some(&domain(2))
    );
    assert_eq!(new.find("11.0.0.1".parse().unwrap()), None);
}

#[test]
fn table_is_compact() {
    let blocks: Vec<Block> = (0..10_000_u32)
        .map(|n| Block {
            net: Ipv4Net::new(Ipv4Addr::from_bits(n << 8), 24)
                .unwrap()
                .into(),
            domain: domain(n % 46),
        })
        .collect();
    let table = BlockTable::new(&blocks);
    // Eight bytes per block, and four bytes for every sixteenth block on each
    // level.
    let index = 4 * (625 + 40 + 3);
    assert!(table.memory_bytes() >= 8 * blocks.len() + index);
    assert!(table.memory_bytes() <= 8 * blocks.len() + index * 2);
}

#[test]
fn blocks_at_level_boundaries() {
    for count in [
        1, 15, 16, 17, 255, 256, 257, 4_095, 4_096, 4_097, 70_000_u32,
    ] {
        let block = |n: u32| Block {
            net: Ipv4Net::new(Ipv4Addr::from_bits(n << 9), 24)
                .unwrap()
                .into(),
            domain: domain(n % 7),
        };
        let table = BlockTable::new(&(0..count).map(block).collect::<Vec<_>>());
        let step = (count / 500).max(1) as usize;
        for n in (0..count).step_by(step).chain([count - 1]) {
            let ip = |address: u32| Ipv4Addr::from_bits(address).into();
            assert_eq!(table.find(ip((n << 9) + 9)), Some(&domain(n % 7)));
            assert_eq!(table.find(ip((n << 9) + 256)), None);
        }
    }
}
