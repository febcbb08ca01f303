//! More callers in one region than in others.

mod support;

use std::time::Duration;
use support::{Load, simulate};

/// One region has few targets and half of all callers. Its targets are nearly
/// all in use, while two thirds of all slots are free.
fn crowded_region(seed: u64) -> Load {
    Load {
        targets: vec![9, 38, 38],
        region_size: 1,
        slots: 9,
        rate: 700.0,
        callers: vec![2, 1, 1],
        keys: 312,
        warm_keys: 21,
        miss: Duration::from_millis(1_600),
        warm: Duration::from_millis(480),
        objective: Duration::from_secs(1),
        deadline: Duration::from_millis(2_500),
        duration: Duration::from_secs(20),
        owner_loss: None,
        shed_share: 0.0,
        lost_region: None,
        seed,
    }
}

#[test]
fn crowd_spills_over() {
    for seed in 0..5 {
        let result = simulate(crowded_region(seed));
        let in_time = f64::from(result.in_time) / f64::from(result.submitted);
        assert!(in_time > 0.9, "seed {seed}: {in_time}, {result:?}");
    }
}
