//! The order of service, the limits of the queue, and early refusals.

mod common;

use common::*;
use pimento_admit::{Admission, Completion, Effect, RefusalReason};
use pimento_core::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const COMPLETED: Completion = Completion::Ok {
    latency: Duration::from_millis(100),
};

/// Admission with one target whose three slots are in use by requests 0, 1 and
/// 2.
fn busy_admission() -> Admission {
    let mut admission = admission(1);
    for id in 0..3 {
        admission.submit(at(0), request(id, 5_000));
    }
    admission
}

fn tenant(name: &str) -> TenantId {
    TenantId::new(name).unwrap()
}

#[test]
fn class_order() {
    let mut admission = busy_admission();
    for (id, class) in [
        (10, Class::Background),
        (11, Class::Standard),
        (12, Class::Critical),
    ] {
        let mut request = request(id, 5_000);
        request.class = class;
        assert!(admission.submit(at(0), request).is_empty());
    }
    assert_eq!(started(&admission.finish(at(100), 0, COMPLETED)), [12]);
    assert_eq!(started(&admission.finish(at(100), 1, COMPLETED)), [11]);
    // The background request may not take the last free slot, which is kept in
    // reserve.
    assert!(started(&admission.finish(at(100), 2, COMPLETED)).is_empty());
    assert_eq!(started(&admission.finish(at(200), 11, COMPLETED)), [10]);
}

#[test]
fn tenants_share_fairly() {
    let mut admission = busy_admission();
    for id in 10..20 {
        let mut request = request(id, 5_000);
        request.tenant = tenant("greedy");
        admission.submit(at(0), request);
    }
    for id in 20..22 {
        let mut request = request(id, 5_000);
        request.tenant = tenant("modest");
        admission.submit(at(0), request);
    }
    let mut order: Vec<u64> = Vec::new();
    let mut running = vec![0, 1, 2];
    for step in 0..6 {
        let next = started(&admission.finish(at(50 + step), running.remove(0), COMPLETED));
        order.extend(&next);
        running.extend(next);
    }
    let modest = order.iter().filter(|id| **id >= 20).count();
    assert_eq!(modest, 2, "{order:?}");
}

#[test]
fn full_queue_evicts() {
    let mut admission = busy_admission();
    let offer = |admission: &mut Admission, id, class, name| {
        let mut request = request(id, 5_000);
        request.class = class;
        request.queue.len = 2;
        request.tenant = tenant(name);
        admission.submit(at(0), request)
    };
    assert!(offer(&mut admission, 10, Class::Standard, "a").is_empty());
    assert!(offer(&mut admission, 11, Class::Standard, "a").is_empty());
    assert_eq!(
        refused(&offer(&mut admission, 12, Class::Standard, "a")),
        [12]
    );
    // Requests of a lower class, and of a tenant with more queued requests, are
    // evicted.
    assert_eq!(
        refused(&offer(&mut admission, 13, Class::Standard, "b")),
        [11]
    );
    assert_eq!(
        refused(&offer(&mut admission, 14, Class::Critical, "b")),
        [13]
    );
    assert_eq!(
        refused(&offer(&mut admission, 15, Class::Standard, "c")),
        [15]
    );
    assert_eq!(
        refused(&offer(&mut admission, 16, Class::Critical, "c")),
        [10]
    );
}

#[test]
fn wait_is_limited() {
    let mut admission = busy_admission();
    assert!(admission.submit(at(0), request(3, 5_000)).is_empty());
    assert_eq!(admission.next_wake(at(0)), Some(at(1_000)));
    assert!(admission.tick(at(999)).is_empty());
    let reason = RefusalReason::QueueWait;
    assert_eq!(
        admission.tick(at(1_000)),
        [Effect::Refuse { id: 3, reason }]
    );
}

#[test]
fn hopeless_deadline_is_refused() {
    let mut admission = busy_admission();
    admission.finish(at(100), 0, COMPLETED);
    admission.submit(at(100), request(3, 5_000));
    // A slot becomes free after 33 ms on average, and the response takes
    // another 100 ms.
    let reason = RefusalReason::Deadline;
    let early = admission.submit(at(100), request(4, 220));
    assert_eq!(early, [Effect::Refuse { id: 4, reason }]);
    assert!(admission.submit(at(100), request(5, 260)).is_empty());
    // A queued request is refused once its response can't be complete in time.
    assert_eq!(refused(&admission.tick(at(165))), [5]);
}

#[test]
fn estimate_decays() {
    let mut admission = admission(1);
    admission.submit(at(0), request(0, 60_000));
    let slow = Completion::Ok {
        latency: Duration::from_secs(20),
    };
    admission.finish(at(20_000), 0, slow);
    assert_eq!(
        refused(&admission.submit(at(20_000), request(1, 21_000))),
        [1]
    );
    assert_eq!(
        started(&admission.submit(at(26_000), request(2, 27_000))),
        [2]
    );
}

#[test]
fn cancelled_request_leaves_queue() {
    let mut admission = busy_admission();
    admission.submit(at(0), request(3, 5_000));
    admission.submit(at(0), request(4, 5_000));
    assert!(admission.cancel(at(1), 3).is_empty());
    assert_eq!(started(&admission.finish(at(2), 0, COMPLETED)), [4]);
}

#[test]
fn tried_targets_are_avoided() {
    let mut admission = admission(2);
    let mut second = request(1, 5_000);
    second.tried = vec![target_id(0)];
    let target = target_id(1);
    assert_eq!(
        admission.submit(at(0), second),
        [Effect::Start { id: 1, target }]
    );
    let mut third = request(2, 5_000);
    third.tried = vec![target_id(0), target_id(1)];
    let reason = RefusalReason::NoTarget;
    assert_eq!(
        admission.submit(at(0), third),
        [Effect::Refuse { id: 2, reason }]
    );
}

/// With spare capacity, every request of every class is started.
fn check_progress(seed: u64) {
    let mut admission = admission(1);
    let mut running: Vec<(Time, u64)> = Vec::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    for id in 0..600_u64 {
        let now = at(id * 20);
        while let Some(i) = running.iter().position(|(end, _)| *end <= now) {
            let (end, id) = running.remove(i);
            for id in started(&admission.finish(end, id, COMPLETED)) {
                running.push((end + Duration::from_millis(40), id));
            }
        }
        let mut request = request(id, 0);
        request.deadline = now + Duration::from_secs(5);
        request.class = Class::ALL[rng.random_range(0..3)];
        let mut effects = admission.tick(now);
        effects.extend(admission.submit(now, request));
        for id in started(&effects) {
            running.push((now + Duration::from_millis(40), id));
        }
        assert!(refused(&effects).is_empty(), "{effects:?}");
    }
    assert_eq!(admission.headroom(at(12_100), "shifts").queued, 0);
}

#[test]
fn no_starvation() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(50)
        .for_each(|seed| check_progress(*seed));
}
