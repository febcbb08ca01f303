//! Who is blamed for crashes: the request that met them all, and nobody who merely
//! ran beside it or met crashes with another cause.

mod support;

use pimento_poison::{Judge, Verdict};
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::time::Duration;
use support::{SECOND, at, crash, decide_all, request, verdict};

#[test]
fn third_crash_refuses() {
    let mut judge = Judge::default();
    for target in 0..2 {
        crash(&mut judge, at(target), target, &[1]);
        decide_all(&mut judge, at(target) + SECOND / 2);
        assert_ne!(verdict(&judge, 1), Some(Verdict::Refused), "{target}");
    }
    crash(&mut judge, at(2), 2, &[1]);
    decide_all(&mut judge, at(2) + SECOND / 2);
    assert_eq!(verdict(&judge, 1), Some(Verdict::Refused));
}

#[test]
fn one_crash_counts_once() {
    let mut judge = Judge::default();
    // Several VMs report it, and reports are sent again.
    for _ in 0..10 {
        crash(&mut judge, at(0), 7, &[1]);
    }
    decide_all(&mut judge, at(5));
    assert_eq!(verdict(&judge, 1), Some(Verdict::Watched));
}

#[test]
fn copies_at_once_refuse() {
    let mut judge = Judge::default();
    for target in 0..10 {
        crash(&mut judge, at(0), target, &[1]);
    }
    decide_all(&mut judge, at(1));
    assert_eq!(verdict(&judge, 1), Some(Verdict::Refused));
}

#[test]
fn bystanders_stay() {
    let mut judge = Judge::default();
    // 2 is retried beside 1 once, 3 to 5 meet it once each.
    crash(&mut judge, at(0), 0, &[1, 2, 3]);
    crash(&mut judge, at(1), 1, &[1, 2, 4]);
    crash(&mut judge, at(2), 2, &[1, 5]);
    decide_all(&mut judge, at(3));
    assert_eq!(verdict(&judge, 1), Some(Verdict::Refused));
    for other in 2..=5 {
        assert_ne!(verdict(&judge, other), Some(Verdict::Refused), "{other}");
    }
}

#[test]
fn inseparable_requests_wait() {
    let mut judge = Judge::default();
    for target in 0..3 {
        crash(&mut judge, at(target), target, &[1, 2]);
    }
    decide_all(&mut judge, at(3));
    // Either may be the cause.
    assert_eq!(verdict(&judge, 1), Some(Verdict::Watched));
    assert_eq!(verdict(&judge, 2), Some(Verdict::Watched));
    crash(&mut judge, at(4), 4, &[1]);
    decide_all(&mut judge, at(5));
    assert_eq!(verdict(&judge, 1), Some(Verdict::Refused));
    assert_eq!(verdict(&judge, 2), Some(Verdict::Watched));
}

#[test]
fn late_reports_blame_nobody_else() {
    let mut judge = Judge::default();
    crash(&mut judge, at(0), 0, &[1, 2]);
    crash(&mut judge, at(1), 1, &[1, 2]);
    // The VM that sent request 1 reports later than the one that sent request 2.
    crash(&mut judge, at(2), 2, &[2]);
    judge.decide(at(2) + SECOND / 20);
    judge.record_crash(at(2) + SECOND / 10, 2, request(1), SECOND / 10);
    decide_all(&mut judge, at(3));
    assert_ne!(verdict(&judge, 2), Some(Verdict::Refused));
}

#[test]
fn mass_crashes_blame_nobody() {
    let mut judge = Judge::default();
    // Request 1 meets four of them alone, each time amid the crashes of others.
    for event in 0..4 {
        let first = event * 10;
        crash(&mut judge, at(event), first, &[1]);
        for other in 1..6 {
            let request = 100 + first + other;
            crash(&mut judge, at(event), first + other, &[request]);
        }
    }
    decide_all(&mut judge, at(9));
    assert_ne!(verdict(&judge, 1), Some(Verdict::Refused));
}

#[test]
fn crashes_without_suspects_excuse() {
    let mut judge = Judge::default();
    for event in 0..4 {
        let first = event * 10;
        crash(&mut judge, at(event), first, &[1]);
        // All that the others had was answered lately.
        for other in 1..6 {
            judge.record_end(at(event), first + other, Duration::ZERO);
        }
    }
    decide_all(&mut judge, at(9));
    assert_ne!(verdict(&judge, 1), Some(Verdict::Refused));
}

#[test]
fn two_poison_requests_are_both_refused() {
    let mut judge = Judge::default();
    // They share a target once.
    crash(&mut judge, at(0), 0, &[1, 2]);
    for target in 1..4 {
        crash(&mut judge, at(target), target, &[1]);
        crash(&mut judge, at(target), 10 + target, &[2]);
    }
    decide_all(&mut judge, at(5));
    assert_eq!(verdict(&judge, 1), Some(Verdict::Refused));
    assert_eq!(verdict(&judge, 2), Some(Verdict::Refused));
}

#[test]
fn answer_acquits() {
    let mut judge = Judge::default();
    for target in 0..2 {
        crash(&mut judge, at(target), target, &[1]);
    }
    decide_all(&mut judge, at(2));
    assert!(judge.acquit(at(3), request(1)).is_some());
    // Crashes from before count no longer.
    for target in 2..4 {
        crash(&mut judge, at(target + 2), target, &[1]);
    }
    decide_all(&mut judge, at(7));
    assert_ne!(verdict(&judge, 1), Some(Verdict::Refused));
    // But a request that crashes targets after all is refused.
    crash(&mut judge, at(8), 9, &[1]);
    decide_all(&mut judge, at(9));
    assert_eq!(verdict(&judge, 1), Some(Verdict::Refused));
}

#[test]
fn order_makes_no_difference() {
    let reports = [
        (0, 1),
        (0, 2),
        (1, 1),
        (1, 3),
        (2, 1),
        (2, 2),
        (2, 4),
        (3, 3),
        (4, 4),
    ];
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..200 {
        let mut shuffled = reports;
        shuffled.shuffle(&mut rng);
        let mut judge = Judge::default();
        for (target, number) in shuffled {
            let age = at(9).since(at(target));
            judge.record_crash(at(9), target, request(number), age);
        }
        decide_all(&mut judge, at(10));
        assert_eq!(verdict(&judge, 1), Some(Verdict::Refused), "{shuffled:?}");
        for other in 2..=4 {
            let other = verdict(&judge, other);
            assert_ne!(other, Some(Verdict::Refused), "{shuffled:?}");
        }
    }
}

#[test]
fn sparse_tries_are_refused() {
    let mut judge = Judge::default();
    let minute = Duration::from_mins(1);
    for target in 0..3 {
        let now = at(0) + minute * 2 * target as u32;
        judge.expire(now);
        crash(&mut judge, now, target, &[1]);
        decide_all(&mut judge, now + SECOND);
    }
    assert_eq!(verdict(&judge, 1), Some(Verdict::Refused));
}
