//! Both promises about targets that leave or pause, counted at the targets, in
//! seeded schedules over several entry VMs; and what a shard owner learns from
//! another VM.

mod schedule;
mod world;

use pimento_fleet::{PermitDecision, RefusalReason, RequestReport, Role};
use pimento_notices::TargetNotice;
use pimento_registry::Stage;
use schedule::{Counts, Schedule};
use std::time::Duration;
use world::{target, world};

const SECOND: Duration = Duration::from_secs(1);
/// The number of schedules.
const SEEDS: u64 = 200;

#[test]
fn promises_hold_in_all_schedules() {
    let mut total = Counts::default();
    for seed in 0..SEEDS {
        let counts = Schedule::run(seed);
        assert_eq!(counts.broken(), 0, "seed {seed}: {counts:?}");
        total.add(&counts);
    }
    println!("{total:?}");
    assert!(total.sent > 100 * SEEDS as u32, "{total:?}");
    assert!(total.covers_all(), "{total:?}");
}

/// Lets one VM hear a notice and then requests a permit at another one.
fn decision_after_notice(hearer: usize, notice: TargetNotice) -> PermitDecision {
    let mut world = world(3, 6, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    world.report(0, &target("t", Stage::Ready, 1));
    world.run(SECOND);
    let vms = world.with_role(Role::Entry);
    world.request_permit(vms[hearer], 1);
    world.run(SECOND / 10);
    let report = RequestReport {
        notice,
        ..RequestReport::CANCELLED
    };
    world.release_permit(vms[hearer], 1, &report);
    world.run(SECOND / 10);
    let other = vms[(hearer + 1) % vms.len()];
    world.request_permit(other, 2);
    world.run(SECOND / 5);
    world.decision(other, 2).unwrap().clone()
}

#[test]
fn shard_owner_learns_of_leaving() {
    let leaving = TargetNotice {
        leaving: true,
        pause: None,
        limit: None,
    };
    for hearer in 0..6 {
        let refused = PermitDecision::Refuse(RefusalReason::Unusable);
        assert_eq!(decision_after_notice(hearer, leaving), refused, "{hearer}");
    }
}

#[test]
fn shard_owner_learns_of_pause() {
    let notice = TargetNotice {
        leaving: false,
        pause: Some(5 * SECOND),
        limit: None,
    };
    for hearer in 0..6 {
        let decision = decision_after_notice(hearer, notice);
        let PermitDecision::Refuse(RefusalReason::Paused(left)) = decision else {
            panic!("{hearer}: {decision:?}");
        };
        assert!(left > 4 * SECOND && left < 5 * SECOND, "{hearer}: {left:?}");
    }
}
