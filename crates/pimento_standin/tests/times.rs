//! Service times follow their distribution.

use pimento_standin::ServiceTime;
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;

const DRAWS: u32 = 10_000;

fn draws(time: ServiceTime) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(1);
    (0..DRAWS).map(|_| time.draw(&mut rng)).collect()
}

fn mean(draws: &[Duration]) -> Duration {
    draws.iter().sum::<Duration>() / DRAWS
}

#[test]
fn uniform_times() {
    let (low, high) = (Duration::from_millis(10), Duration::from_millis(30));
    let draws = draws(ServiceTime::Uniform(low, high));
    assert!(draws.iter().all(|t| (low..=high).contains(t)));
    // Six standard errors of the mean: 6 * 20 / sqrt(12 * 10,000).
    let error = Duration::from_micros(350);
    assert!(mean(&draws).abs_diff(Duration::from_millis(20)) < error);
}

#[test]
fn exponential_times() {
    let draws = draws(ServiceTime::Exponential(Duration::from_millis(10)));
    // Six standard errors of the mean: 6 * 10 / sqrt(10,000).
    let error = Duration::from_micros(600);
    assert!(mean(&draws).abs_diff(Duration::from_millis(10)) < error);
    let longest = draws.iter().max().expect("a draw");
    assert!(*longest <= Duration::from_millis(100), "{longest:?}");
}
