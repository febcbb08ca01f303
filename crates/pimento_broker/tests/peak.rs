//! Loads at which more is asked for than all places give.

mod support;

use std::time::Duration;
use support::{Load, replay};

/// The morning peak: enough places if targets run what they know, and too few
/// if requests run wherever a place is free. Domains have unequal numbers of
/// targets and callers come to all of them alike.
fn morning(seed: u64) -> Load {
    Load {
        targets: vec![2, 6, 6],
        region: 1,
        slots: 6,
        rate: 300.0,
        objects: 39,
        memory: 37,
        fresh: Duration::from_millis(640),
        warm: Duration::from_millis(192),
        objective: Duration::from_millis(400),
        deadline: Duration::from_secs(1),
        span: Duration::from_secs(30),
        losses: None,
        sheds: 0.0,
        seed,
    }
}

/// Twice what all places give, however they are used.
fn overload(seed: u64) -> Load {
    Load {
        rate: 900.0,
        ..morning(seed)
    }
}

#[test]
fn known_objects() {
    for seed in 0..5 {
        let result = replay(morning(seed));
        let in_time = f64::from(result.in_time) / f64::from(result.asked);
        assert!(in_time > 0.9, "seed {seed}: {in_time}, {result:?}");
    }
}

#[test]
fn goodput_holds() {
    for seed in 0..5 {
        let result = replay(overload(seed));
        // All places are used for runs that end in time.
        let places = 14.0 * 6.0 / 0.192 * 15.0;
        let used = f64::from(result.in_time) / places;
        assert!(used > 0.7, "seed {seed}: {used}, {result:?}");
    }
}

#[test]
fn refused_early() {
    for seed in 0..5 {
        let result = replay(overload(seed));
        assert!(result.refused > 0);
        // What can't be served is told while its caller can still come back.
        assert!(
            result.held <= Duration::from_millis(400),
            "seed {seed}: {result:?}"
        );
    }
}

#[test]
fn urgent_first() {
    for seed in 0..5 {
        let result = replay(overload(seed));
        let shares: Vec<f64> = result
            .ranks
            .iter()
            .map(|(served, asked)| f64::from(*served) / f64::from(*asked))
            .collect();
        let ordered = shares.windows(2).all(|pair| pair[0] > pair[1] - 0.05);
        assert!(ordered, "seed {seed}: {shares:?}");
    }
}

#[test]
fn never_above_slots() {
    for seed in 0..5 {
        assert!(replay(overload(seed)).most <= 6);
    }
}

/// Many small targets in nine failure domains, at 77% of what they give if all
/// run what they know. A run of an unknown object is too late in any case.
fn crowd(seed: u64) -> Load {
    Load {
        targets: vec![29, 29, 29, 35, 35, 35, 7, 7, 7],
        region: 3,
        slots: 3,
        rate: 2_600.0,
        objects: 254,
        memory: 22,
        fresh: Duration::from_millis(560),
        warm: Duration::from_millis(190),
        objective: Duration::from_millis(400),
        deadline: Duration::from_secs(1),
        span: Duration::from_secs(20),
        losses: None,
        sheds: 0.0,
        seed,
    }
}

fn in_time(load: Load) -> f64 {
    let result = replay(load);
    f64::from(result.in_time) / f64::from(result.asked)
}

#[test]
fn crowd_recovers() {
    // All objects are unknown at first; it doesn't stay so.
    for seed in 0..4 {
        let share = in_time(crowd(seed));
        assert!(share > 0.9, "seed {seed}: {share}");
    }
}

#[test]
fn granters_lost() {
    for seed in 0..4 {
        let share = in_time(Load {
            rate: 1_900.0,
            losses: Some(Duration::from_secs(4)),
            ..crowd(seed)
        });
        assert!(share > 0.88, "seed {seed}: {share}");
    }
}

#[test]
fn all_refuse_a_part() {
    // No target is to blame, so requests still go where objects are known.
    for seed in 0..4 {
        let result = replay(Load {
            rate: 1_900.0,
            sheds: 0.55,
            ..crowd(seed)
        });
        let runs = result.in_time + result.late;
        let share = f64::from(result.in_time) / f64::from(runs);
        assert!(share > 0.9, "seed {seed}: {share}");
    }
}

/// The same with fewer regions, and targets that need longer.
fn dawn(seed: u64) -> Load {
    Load {
        targets: vec![7, 7, 30, 30, 36, 36],
        region: 2,
        slots: 6,
        rate: 1_300.0,
        objects: 284,
        memory: 24,
        fresh: Duration::from_millis(1_020),
        warm: Duration::from_millis(350),
        objective: Duration::from_millis(600),
        deadline: Duration::from_millis(1_500),
        ..crowd(seed)
    }
}

#[test]
fn dawn_recovers() {
    for seed in 0..3 {
        let share = in_time(Load {
            rate: 1_600.0,
            ..dawn(seed)
        });
        assert!(share > 0.9, "seed {seed}: {share}");
    }
}
