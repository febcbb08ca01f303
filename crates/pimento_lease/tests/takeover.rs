//! How a lease is acquired, extended, handed over and lost.

mod common;

use common::{at, candidate, leases, listener, target};
use pimento_core::{TargetId, Time};
use pimento_lease::{Announcer, Candidate, Cause, Effect, Leases, TargetState};
use std::time::Duration;

fn target_id() -> TargetId {
    "t1".parse().expect("a valid name")
}

/// Sends the announcement that is due, delivers the reply and returns the
/// effects.
fn exchange(now: Time, from: &mut Announcer, to: &mut Leases, live: &[Candidate]) -> Vec<Effect> {
    let (_, ann) = from.next_announcement(now).expect("an announcement is due");
    let (reply, effects) = to.handle_announcement(now, &ann, live);
    from.handle_reply(now, reply);
    effects
}

/// Sends announcements every 500 ms of a time span and returns all effects.
fn announce_repeatedly(from: u64, until: u64, ann: &mut Announcer, vm: &mut Leases) -> Vec<Effect> {
    let live = [candidate(1)];
    let times = (from..until).step_by(500);
    times
        .flat_map(|t| exchange(at(t), ann, vm, &live))
        .collect()
}

/// A target whose lease is held by VM 1, which may send at 3 s.
fn held_target() -> (Announcer, Leases) {
    let (mut ann, mut vm) = (target(1, 1..3), leases(1));
    announce_repeatedly(0, 3_001, &mut ann, &mut vm);
    assert!(vm.send_deadline(at(3_000), &target_id()).is_some());
    (ann, vm)
}

#[test]
fn first_lease_waits() {
    let (mut ann, mut vm) = (target(1, 1..2), leases(1));
    let live = [candidate(1)];
    assert_eq!(exchange(at(0), &mut ann, &mut vm, &live), []);
    let effects = exchange(at(20), &mut ann, &mut vm, &live);
    let [
        Effect::Acquired {
            valid_from,
            epoch: 1,
            ..
        },
    ] = effects[..]
    else {
        panic!("the echo should acquire the lease: {effects:?}");
    };
    assert!(
        valid_from >= at(20 + 2_100),
        "waits for a term extended by 5%"
    );
    announce_repeatedly(520, 2_500, &mut ann, &mut vm);
    assert_eq!(
        vm.send_deadline(valid_from - Duration::from_millis(1), &target_id()),
        None
    );
    assert!(vm.send_deadline(valid_from, &target_id()).is_some());
}

#[test]
fn lease_expires() {
    let (_, mut vm) = held_target();
    let until = vm.send_deadline(at(3_000), &target_id()).expect("held");
    assert_eq!(vm.send_deadline(until, &target_id()), None);
    let effects = vm.tick(until);
    let cause = Cause::Expired;
    assert_eq!(
        effects,
        [Effect::Lost {
            target: target_id(),
            cause
        }]
    );
}

#[test]
fn lost_holder_is_replaced() {
    let (mut ann, _) = held_target();
    let mut next = leases(2);
    for n in 0..3 {
        let now = at(3_500 + n * 200);
        assert_eq!(
            ann.next_announcement(now)
                .expect("an announcement is due")
                .0,
            listener(1),
            "stays with its holder"
        );
        ann.handle_failure(now);
    }
    assert_eq!(exchange(at(4_200), &mut ann, &mut next, &[]), []);
    let effects = exchange(at(4_300), &mut ann, &mut next, &[]);
    let [
        Effect::Acquired {
            valid_from,
            epoch: 2,
            ..
        },
    ] = effects[..]
    else {
        panic!("the second VM should acquire epoch 2: {effects:?}");
    };
    assert!(valid_from >= at(4_300 + 2_100));
    let view = next.held_lease(at(4_300), &target_id()).expect("held");
    assert_eq!(view.inherited, 6, "all slots may still be in use");
}

#[test]
fn planned_handover() {
    let (mut ann, mut old) = held_target();
    // While all slots are in use, load reports can't show that any is free.
    ann.set_load(6);
    let mut new = leases(2);
    let live = [candidate(1), candidate(2)];
    let inherited = old
        .held_lease(at(3_000), &target_id())
        .expect("held")
        .inherited;
    let released = old.release(at(3_100), &target_id(), 2, &live);
    let (to, release) = released.expect("held");
    assert_eq!((to, release.used_slots), (candidate(2), 2 + inherited));
    assert_eq!(
        old.send_deadline(at(3_100), &target_id()),
        None,
        "must stop sending at once"
    );
    new.accept_release(at(3_150), release);
    exchange(at(3_500), &mut ann, &mut old, &live);
    exchange(at(3_520), &mut ann, &mut new, &live);
    exchange(at(3_540), &mut ann, &mut new, &live);
    assert!(
        new.send_deadline(at(3_540), &target_id()).is_some(),
        "may send without waiting"
    );
    let inherited = |vm: &Leases| {
        vm.held_lease(at(3_540), &target_id())
            .expect("held")
            .inherited
    };
    let before = inherited(&new);
    assert!(old.released_targets().eq([&target_id()]));
    let (_, ended) = old
        .release(at(3_550), &target_id(), 0, &live)
        .expect("released");
    let rest = ended.used_slots;
    assert!(rest < before, "both requests have ended");
    new.accept_release(at(3_560), ended);
    assert_eq!(inherited(&new), rest);
}

#[test]
fn no_release_before_wait_ends() {
    let (mut ann, mut vm) = (target(1, 1..2), leases(1));
    announce_repeatedly(0, 1_001, &mut ann, &mut vm);
    let live = [candidate(2)];
    assert!(
        vm.held_lease(at(1_000), &target_id()).is_some(),
        "held, but not usable yet"
    );
    assert_eq!(vm.release(at(1_000), &target_id(), 0, &live), None);
}

#[test]
fn stopping_vm_refers_target() {
    for vm in 1..4 {
        let (mut ann, mut vm) = (target(1, vm..=vm), leases(vm));
        exchange(at(0), &mut ann, &mut vm, &[candidate(9)]);
        let (to, _) = ann
            .next_announcement(at(20))
            .expect("an announcement is due");
        assert_eq!(to, listener(9), "referred to the other VM");
    }
}

#[test]
fn skipped_epoch_requires_wait() {
    let (mut ann, mut old) = held_target();
    let mut new = leases(2);
    for life in 8..10 {
        exchange(at(0), &mut target(life, 1..2), &mut new, &[]);
    }
    let live = [candidate(1), candidate(2)];
    let (_, release) = old
        .release(at(3_100), &target_id(), 0, &live)
        .expect("held");
    new.accept_release(at(3_150), release);
    exchange(at(3_500), &mut ann, &mut old, &live);
    exchange(at(3_520), &mut ann, &mut new, &live);
    exchange(at(3_540), &mut ann, &mut new, &live);
    // Epoch 3 doesn't directly follow epoch 1: another holder may have had
    // epoch 2.
    assert_eq!(
        new.held_lease(at(3_540), &target_id()).expect("held").epoch,
        3
    );
    assert_eq!(
        new.send_deadline(at(3_540), &target_id()),
        None,
        "must wait"
    );
}

#[test]
fn forged_release_requires_wait() {
    let (mut ann, mut old) = held_target();
    let mut new = leases(2);
    let live = [candidate(1), candidate(2)];
    let (_, mut release) = old
        .release(at(3_100), &target_id(), 0, &live)
        .expect("held");
    release.epoch -= 1;
    new.accept_release(at(3_150), release);
    exchange(at(3_500), &mut ann, &mut old, &live);
    exchange(at(3_520), &mut ann, &mut new, &live);
    exchange(at(3_540), &mut ann, &mut new, &live);
    assert_eq!(
        new.send_deadline(at(3_540), &target_id()),
        None,
        "must wait"
    );
}

#[test]
fn inherited_slots_are_freed() {
    let (mut ann, mut vm) = (target(1, 1..2), leases(1));
    let live = [candidate(1)];
    let mut seen = Vec::new();
    for n in 0..12 {
        exchange(at(n * 500), &mut ann, &mut vm, &live);
        let view = vm.held_lease(at(n * 500), &target_id());
        seen.extend(view.map(|v| v.inherited));
    }
    seen.dedup();
    assert_eq!(
        seen,
        [6, 3, 1, 0],
        "half of the gap is freed with each report"
    );
}

#[test]
fn inherited_slots_expire() {
    let (mut ann, mut vm) = (target(1, 1..2), leases(1));
    ann.set_load(6);
    announce_repeatedly(0, 32_001, &mut ann, &mut vm);
    assert_eq!(
        vm.held_lease(at(32_000), &target_id())
            .expect("held")
            .inherited,
        6
    );
    vm.tick(at(32_700));
    announce_repeatedly(33_000, 33_001, &mut ann, &mut vm);
    assert_eq!(
        vm.held_lease(at(33_000), &target_id())
            .expect("held")
            .inherited,
        0
    );
}

#[test]
fn target_starts_draining() {
    let (mut ann, mut vm) = held_target();
    ann.set_state(TargetState::Draining);
    let effects = exchange(at(3_010), &mut ann, &mut vm, &[]);
    assert_eq!(
        effects,
        [Effect::Changed {
            target: target_id()
        }]
    );
    let view = vm.held_lease(at(3_010), &target_id()).expect("held");
    assert_eq!(view.state, TargetState::Draining);
}

#[test]
fn operator_drains_target() {
    let (_, mut vm) = held_target();
    vm.set_drained(&target_id(), true);
    let state = vm.held_lease(at(3_000), &target_id()).expect("held").state;
    assert_eq!(state, TargetState::Draining);
    vm.set_drained(&target_id(), false);
    let state = vm.held_lease(at(3_000), &target_id()).expect("held").state;
    assert_eq!(state, TargetState::Ready);
}

#[test]
fn restarted_target_ends_lease() {
    let (_, mut vm) = held_target();
    let mut ann = target(2, 1..2);
    let effects = exchange(at(3_100), &mut ann, &mut vm, &[]);
    let cause = Cause::Restarted;
    assert_eq!(
        effects,
        [Effect::Lost {
            target: target_id(),
            cause
        }]
    );
    exchange(at(3_120), &mut ann, &mut vm, &[]);
    assert_eq!(
        vm.send_deadline(at(3_120), &target_id()),
        None,
        "must wait like any new holder"
    );
}

#[test]
fn restarted_holder_waits() {
    let (mut ann, _) = held_target();
    let mut vm = Leases::new(common::config(1, 2));
    exchange(at(3_500), &mut ann, &mut vm, &[]);
    let effects = exchange(at(3_520), &mut ann, &mut vm, &[]);
    assert!(matches!(effects[..], [Effect::Acquired { epoch: 2, .. }]));
    assert_eq!(
        vm.send_deadline(at(3_520), &target_id()),
        None,
        "must wait like any new holder"
    );
}
