//! Random service times follow their distribution.

use pimento_standin::ServiceTime;
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;

const SAMPLES: u32 = 10_000;

fn samples(time: ServiceTime) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(1);
    (0..SAMPLES).map(|_| time.draw(&mut rng)).collect()
}

fn mean(samples: &[Duration]) -> Duration {
    samples.iter().sum::<Duration>() / SAMPLES
}

#[test]
fn uniform_times() {
    let (low, high) = (Duration::from_millis(10), Duration::from_millis(30));
    let samples = samples(ServiceTime::Uniform(low, high));
    assert!(samples.iter().all(|t| (low..=high).contains(t)));
    // Six standard errors of the mean: 6 * 20 / sqrt(12 * 10,000).
    let error = Duration::from_micros(350);
    assert!(mean(&samples).abs_diff(Duration::from_millis(20)) < error);
}

#[test]
fn exponential_times() {
    let samples = samples(ServiceTime::Exponential(Duration::from_millis(10)));
    // Six standard errors of the mean: 6 * 10 / sqrt(10,000).
    let error = Duration::from_micros(600);
    assert!(mean(&samples).abs_diff(Duration::from_millis(10)) < error);
    let longest = samples.iter().max().expect("a sample");
    assert!(*longest <= Duration::from_millis(100), "{longest:?}");
}
