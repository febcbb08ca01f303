//! Schedules follow their rate, class weights and seed, and end.

use crate::support::{load_args, service_id};
use pimento_core::Class;
use pimento_load::{Args, Arrival, Schedule};

fn arrivals(args: &Args) -> Vec<Arrival> {
    Schedule::new(args).collect()
}

#[actix_rt::test]
async fn fixed_seed() {
    let args = load_args(&[], &[]);
    let other_seed = Args {
        seed: 2,
        ..args.clone()
    };
    assert_eq!(arrivals(&args), arrivals(&args));
    assert_ne!(arrivals(&args), arrivals(&other_seed));
}

#[actix_rt::test]
async fn mean_rate() {
    let args = Args {
        rate: 1_000.0,
        seconds: 100.0,
        service: vec![service_id()],
        class: vec![
            "critical:3".parse().expect("a class"),
            "background".parse().expect("a class"),
        ],
        ..load_args(&[], &[])
    };
    let arrivals = arrivals(&args);
    // Six standard deviations of a Poisson count with mean 100,000.
    assert!(
        arrivals.len().abs_diff(100_000) < 1_900,
        "{}",
        arrivals.len()
    );
    assert!(
        arrivals
            .windows(2)
            .all(|pair| pair[0].offset <= pair[1].offset)
    );
    let critical = arrivals
        .iter()
        .filter(|a| a.class == Some(Class::Critical))
        .count();
    assert!(critical.abs_diff(75_000) < 2_500, "{critical}");
    let first = arrivals.iter().filter(|a| a.service == 0).count();
    assert!(first.abs_diff(50_000) < 1_900, "{first}");
}
