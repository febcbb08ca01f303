//! Load peaks, some of which exceed the capacity of all targets.

mod support;

use std::time::Duration;
use support::{Load, simulate};

/// A load peak with enough slots if requests run on warm targets, and too few
/// if they run wherever a slot is free. Failure domains have unequal numbers of
/// targets but equal numbers of callers.
fn morning_peak(seed: u64) -> Load {
    Load {
        targets: vec![2, 6, 6],
        region_size: 1,
        slots: 6,
        rate: 300.0,
        callers: Vec::new(),
        keys: 39,
        warm_keys: 37,
        miss: Duration::from_millis(640),
        warm: Duration::from_millis(192),
        objective: Duration::from_millis(400),
        deadline: Duration::from_secs(1),
        duration: Duration::from_secs(30),
        owner_loss: None,
        shed_share: 0.0,
        lost_region: None,
        seed,
    }
}

/// Twice the capacity of all slots, however they are used.
fn overload(seed: u64) -> Load {
    Load {
        rate: 900.0,
        ..morning_peak(seed)
    }
}

#[test]
fn peak_meets_objective() {
    for seed in 0..5 {
        let result = simulate(morning_peak(seed));
        let in_time = f64::from(result.in_time) / f64::from(result.submitted);
        assert!(in_time > 0.9, "seed {seed}: {in_time}, {result:?}");
    }
}

#[test]
fn overload_keeps_goodput() {
    for seed in 0..5 {
        let result = simulate(overload(seed));
        // All slots are used for runs that finish in time.
        let capacity = 14.0 * 6.0 / 0.192 * 15.0;
        let utilization = f64::from(result.in_time) / capacity;
        assert!(utilization > 0.7, "seed {seed}: {utilization}, {result:?}");
    }
}

#[test]
fn refused_early() {
    for seed in 0..5 {
        let result = simulate(overload(seed));
        assert!(result.refused > 0);
        // Requests that can't be served are refused early enough for a retry.
        assert!(
            result.longest_wait <= Duration::from_millis(400),
            "seed {seed}: {result:?}"
        );
    }
}

#[test]
fn urgent_first() {
    for seed in 0..5 {
        let result = simulate(overload(seed));
        let shares: Vec<f64> = result
            .by_priority
            .iter()
            .map(|(served, submitted)| f64::from(*served) / f64::from(*submitted))
            .collect();
        let ordered = shares.windows(2).all(|pair| pair[0] > pair[1] - 0.05);
        assert!(ordered, "seed {seed}: {shares:?}");
    }
}

#[test]
fn slots_are_never_exceeded() {
    for seed in 0..5 {
        assert!(simulate(overload(seed)).peak_running <= 6);
    }
}

/// Many small targets in nine failure domains, at 77% of their capacity if all
/// runs are warm. A run on a target that isn't warm always misses the objective.
fn many_targets(seed: u64) -> Load {
    Load {
        targets: vec![29, 29, 29, 35, 35, 35, 7, 7, 7],
        region_size: 3,
        slots: 3,
        rate: 2_600.0,
        callers: Vec::new(),
        keys: 254,
        warm_keys: 22,
        miss: Duration::from_millis(560),
        warm: Duration::from_millis(190),
        objective: Duration::from_millis(400),
        deadline: Duration::from_secs(1),
        duration: Duration::from_secs(20),
        owner_loss: None,
        shed_share: 0.0,
        lost_region: None,
        seed,
    }
}

fn in_time_share(load: Load) -> f64 {
    let result = simulate(load);
    f64::from(result.in_time) / f64::from(result.submitted)
}

#[test]
fn many_targets_warm_up() {
    // All targets start without warm keys, and most runs become warm.
    for seed in 0..4 {
        let share = in_time_share(many_targets(seed));
        assert!(share > 0.9, "seed {seed}: {share}");
    }
}

#[test]
fn lost_shard_owners() {
    for seed in 0..4 {
        let share = in_time_share(Load {
            rate: 1_900.0,
            owner_loss: Some(Duration::from_secs(4)),
            ..many_targets(seed)
        });
        assert!(share > 0.88, "seed {seed}: {share}");
    }
}

#[test]
fn all_targets_shed() {
    // No target is an outlier, so requests still go to warm targets.
    for seed in 0..4 {
        let result = simulate(Load {
            rate: 1_900.0,
            shed_share: 0.55,
            ..many_targets(seed)
        });
        let runs = result.in_time + result.late;
        let share = f64::from(result.in_time) / f64::from(runs);
        assert!(share > 0.9, "seed {seed}: {share}");
    }
}

/// The same with fewer regions and longer run times.
fn slow_targets(seed: u64) -> Load {
    Load {
        targets: vec![7, 7, 30, 30, 36, 36],
        region_size: 2,
        slots: 6,
        rate: 1_300.0,
        callers: Vec::new(),
        keys: 284,
        warm_keys: 24,
        miss: Duration::from_millis(1_020),
        warm: Duration::from_millis(350),
        objective: Duration::from_millis(600),
        deadline: Duration::from_millis(1_500),
        ..many_targets(seed)
    }
}

#[test]
fn slow_targets_warm_up() {
    for seed in 0..3 {
        let share = in_time_share(Load {
            rate: 1_600.0,
            ..slow_targets(seed)
        });
        assert!(share > 0.9, "seed {seed}: {share}");
    }
}

// All callers of a region that lost its targets were refused, while other regions had slots left.
#[test]
fn lost_region() {
    for seed in 0..3 {
        let share = in_time_share(Load {
            targets: vec![4, 4, 3, 3, 15, 15, 15, 15, 18, 18, 18, 18],
            region_size: 4,
            rate: 800.0,
            lost_region: Some(1),
            ..slow_targets(seed)
        });
        assert!(share > 0.9, "seed {seed}: {share}");
    }
}
