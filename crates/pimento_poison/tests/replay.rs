//! Replays the load pattern of poison requests, see [`load`].

mod load;

use load::{Counts, Load, MAX_LATE};

const SEEDS: u64 = 60;

#[test]
fn poison_is_refused_and_nothing_else() {
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let counts = Load::run(seed);
        assert!(counts.most_late <= MAX_LATE, "seed {seed}: {counts:?}");
        assert_eq!(counts.refused, 0, "seed {seed}: {counts:?}");
        total.add(&counts);
    }
    println!("{total:?}");
    assert!(total.poison > SEEDS as u32, "{total:?}");
    assert!(total.met_crash > 1_000, "{total:?}");
}
