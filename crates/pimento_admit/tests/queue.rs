//! The order of service, the bounds of the queue, and early refusals.

mod common;

use common::*;
use pimento_admit::{Admission, Completion, Effect, RefusalReason};
use pimento_core::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const OK: Completion = Completion::Ok {
    latency: Duration::from_millis(100),
};

/// Admission with one target whose three slots are busy with 0, 1 and 2.
fn busy() -> Admission {
    let mut admit = admit(1);
    for id in 0..3 {
        admit.submit(at(0), request(id, 5_000));
    }
    admit
}

fn tenant(name: &str) -> TenantId {
    TenantId::new(name).unwrap()
}

#[test]
fn class_order() {
    let mut admit = busy();
    for (id, class) in [
        (10, Class::Background),
        (11, Class::Standard),
        (12, Class::Critical),
    ] {
        let mut request = request(id, 5_000);
        request.class = class;
        assert!(admit.submit(at(0), request).is_empty());
    }
    assert_eq!(started(&admit.finish(at(100), 0, OK)), [12]);
    assert_eq!(started(&admit.finish(at(100), 1, OK)), [11]);
    // The background request would take the last slot but for the spare one.
    assert!(started(&admit.finish(at(100), 2, OK)).is_empty());
    assert_eq!(started(&admit.finish(at(200), 11, OK)), [10]);
}

#[test]
fn fair_tenants() {
    let mut admit = busy();
    for id in 10..20 {
        let mut request = request(id, 5_000);
        request.tenant = tenant("greedy");
        admit.submit(at(0), request);
    }
    for id in 20..22 {
        let mut request = request(id, 5_000);
        request.tenant = tenant("modest");
        admit.submit(at(0), request);
    }
    let mut order: Vec<u64> = Vec::new();
    let mut running = vec![0, 1, 2];
    for step in 0..6 {
        let next = started(&admit.finish(at(50 + step), running.remove(0), OK));
        order.extend(&next);
        running.extend(next);
    }
    let modest = order.iter().filter(|id| **id >= 20).count();
    assert_eq!(modest, 2, "{order:?}");
}

#[test]
fn full_queue() {
    let mut admit = busy();
    let offer = |admit: &mut Admission, id, class, name| {
        let mut request = request(id, 5_000);
        request.class = class;
        request.queue.len = 2;
        request.tenant = tenant(name);
        admit.submit(at(0), request)
    };
    assert!(offer(&mut admit, 10, Class::Standard, "a").is_empty());
    assert!(offer(&mut admit, 11, Class::Standard, "a").is_empty());
    assert_eq!(refused(&offer(&mut admit, 12, Class::Standard, "a")), [12]);
    // A lower class and a tenant that waits with more give way.
    assert_eq!(refused(&offer(&mut admit, 13, Class::Standard, "b")), [11]);
    assert_eq!(refused(&offer(&mut admit, 14, Class::Critical, "b")), [13]);
    assert_eq!(refused(&offer(&mut admit, 15, Class::Standard, "c")), [15]);
    assert_eq!(refused(&offer(&mut admit, 16, Class::Critical, "c")), [10]);
}

#[test]
fn wait_ends() {
    let mut admit = busy();
    assert!(admit.submit(at(0), request(3, 5_000)).is_empty());
    assert_eq!(admit.next_wake(at(0)), Some(at(1_000)));
    assert!(admit.tick(at(999)).is_empty());
    let reason = RefusalReason::QueueWait;
    assert_eq!(admit.tick(at(1_000)), [Effect::Refuse { id: 3, reason }]);
}

#[test]
fn hopeless_deadline() {
    let mut admit = busy();
    admit.finish(at(100), 0, OK);
    admit.submit(at(100), request(3, 5_000));
    // A slot frees after 33 ms on average and the answer takes 100 ms more.
    let reason = RefusalReason::Deadline;
    let early = admit.submit(at(100), request(4, 220));
    assert_eq!(early, [Effect::Refuse { id: 4, reason }]);
    assert!(admit.submit(at(100), request(5, 260)).is_empty());
    // What waits is given up once its answer can't end in time.
    assert_eq!(refused(&admit.tick(at(165))), [5]);
}

#[test]
fn estimate_fades() {
    let mut admit = admit(1);
    admit.submit(at(0), request(0, 60_000));
    let slow = Completion::Ok {
        latency: Duration::from_secs(20),
    };
    admit.finish(at(20_000), 0, slow);
    assert_eq!(refused(&admit.submit(at(20_000), request(1, 21_000))), [1]);
    assert_eq!(started(&admit.submit(at(26_000), request(2, 27_000))), [2]);
}

#[test]
fn cancelled_wait() {
    let mut admit = busy();
    admit.submit(at(0), request(3, 5_000));
    admit.submit(at(0), request(4, 5_000));
    assert!(admit.cancel(at(1), 3).is_empty());
    assert_eq!(started(&admit.finish(at(2), 0, OK)), [4]);
}

#[test]
fn other_targets() {
    let mut admit = admit(2);
    let mut second = request(1, 5_000);
    second.avoid = vec![target_id(0)];
    let target = target_id(1);
    assert_eq!(
        admit.submit(at(0), second),
        [Effect::Start { id: 1, target }]
    );
    let mut third = request(2, 5_000);
    third.avoid = vec![target_id(0), target_id(1)];
    let reason = RefusalReason::NoTarget;
    assert_eq!(
        admit.submit(at(0), third),
        [Effect::Refuse { id: 2, reason }]
    );
}

/// With capacity to spare, each request of each class is started.
fn progress(seed: u64) {
    let mut admit = admit(1);
    let mut running: Vec<(Time, u64)> = Vec::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    for id in 0..600_u64 {
        let now = at(id * 20);
        while let Some(i) = running.iter().position(|(end, _)| *end <= now) {
            let (end, id) = running.remove(i);
            for id in started(&admit.finish(end, id, OK)) {
                running.push((end + Duration::from_millis(40), id));
            }
        }
        let mut request = request(id, 0);
        request.deadline = now + Duration::from_secs(5);
        request.class = Class::ALL[rng.random_range(0..3)];
        let mut effects = admit.tick(now);
        effects.extend(admit.submit(now, request));
        for id in started(&effects) {
            running.push((now + Duration::from_millis(40), id));
        }
        assert!(refused(&effects).is_empty(), "{effects:?}");
    }
    assert_eq!(admit.headroom(at(12_100), "shifts").queued, 0);
}

#[test]
fn no_starvation() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(50)
        .for_each(|seed| progress(*seed));
}
