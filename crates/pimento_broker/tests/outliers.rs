//! Targets that fail or are slow, and what a single run says about them.

mod support;

use pimento_broker::{Broker, Decision, PermitRequest, RequestId, RequestOutcome, RequestReport};
use pimento_core::{Time, hash};
use std::time::Duration;
use support::{permit_request, report, view};

const START: Time = Time::from_millis(10_000);
const SECOND: Duration = Duration::from_secs(1);
/// A request that needs no work, such as one for a short status page.
const QUICK: Duration = Duration::from_millis(5);
/// A run on a warm target.
const WARM: Duration = Duration::from_millis(480);
/// A run on a target that isn't warm for the affinity key.
const MISS: Duration = Duration::from_millis(1_600);

/// Runs requests one after the other and keeps the time.
struct Client {
    broker: Broker,
    now: Time,
    serial: u64,
}

impl Client {
    fn new(targets: &[&str], slots: u32) -> Self {
        let mut broker = Broker::default();
        let views = targets.iter().map(|id| view(id, "d0", slots)).collect();
        broker.set_targets(START, views);
        Self {
            broker,
            now: START,
            serial: 0,
        }
    }

    fn submit(&mut self, key: Option<u64>) -> (RequestId, Option<String>) {
        self.serial += 1;
        let request = PermitRequest {
            affinity: key.map(hash::mix),
            ..permit_request(self.serial, self.now, SECOND)
        };
        let id = request.id;
        let decisions = self.broker.submit(self.now, request);
        let granted = decisions.iter().find_map(|decision| match decision {
            Decision::Grant { target, .. } => Some(target.to_string()),
            Decision::Refuse { .. } => None,
        });
        (id, granted)
    }

    fn release(&mut self, id: &RequestId, report: &RequestReport) {
        self.broker.release(self.now, id, report);
    }

    /// Runs a request to its end; returns its target.
    fn run(&mut self, key: Option<u64>, outcome: impl Fn(&str) -> RequestReport) -> String {
        let (id, target) = self.submit(key);
        let target = target.expect("no permit with all slots free");
        let report = outcome(&target);
        self.now += report.took;
        self.release(&id, &report);
        target
    }

    /// How many of the next runs with new keys go to a target.
    fn count_runs(&mut self, target: &str, runs: u64) -> usize {
        let answered = |_: &str| report(RequestOutcome::Answered, WARM);
        let keys = self.serial..self.serial + runs;
        let targets = keys.map(|key| self.run(Some(key), answered));
        targets.filter(|t| t == target).count()
    }
}

// Requests that need no work came first, so that the mean run time was a few
// milliseconds. The first proper run then took hundreds of times as long, and its
// target got no other request for the rest of the day.
#[test]
fn one_slow_run() {
    let mut client = Client::new(&["a", "b"], 4);
    let mut quick = String::new();
    for _ in 0..8 {
        quick = client.run(None, |_| report(RequestOutcome::Answered, QUICK));
    }
    let missed = |target: &str| {
        if target == quick {
            return RequestReport::CANCELLED;
        }
        report(RequestOutcome::Answered, MISS)
    };
    let mut firsts = (0..20).map(|key| client.run(Some(key), missed));
    let other = firsts.find(|target| *target != quick).unwrap();
    client.count_runs(&other, 150);
    assert!(
        client.count_runs(&other, 60) > 15,
        "{other} gets hardly any requests"
    );
}

/// How many of 60 runs go to target `a`, whose runs end as `outcome` says, while
/// four others answer; after 60 runs in which the broker has got to know it.
fn runs_of_outlier(outcome: RequestReport) -> usize {
    let mut client = Client::new(&["a", "b", "c", "d", "e"], 4);
    let by_target = |target: &str| match target {
        "a" => outcome,
        _ => report(RequestOutcome::Answered, WARM),
    };
    for key in 0..60 {
        client.run(Some(key), by_target);
    }
    let targets = (60..120).map(|key| client.run(Some(key), by_target));
    targets.filter(|target| target == "a").count()
}

// An outlier gets a try now and then, but no more than that.
#[test]
fn slow_target() {
    let runs = runs_of_outlier(report(RequestOutcome::Answered, WARM * 10));
    assert!((1..=7).contains(&runs), "{runs} runs");
}

#[test]
fn failing_target() {
    let runs = runs_of_outlier(report(RequestOutcome::Failed, WARM));
    assert!((1..=7).contains(&runs), "{runs} runs");
}

// Quick requests without an affinity key made runs with a key on a target that
// isn't warm look shorter than on a warm one, so no request waited for the latter.
#[test]
fn quick_keyless_runs() {
    let mut client = Client::new(&["a", "b"], 1);
    let by_warmth = |took| move |_: &str| report(RequestOutcome::Answered, took);
    let warm = client.run(Some(7), by_warmth(MISS));
    for _ in 0..20 {
        assert_eq!(client.run(Some(7), by_warmth(WARM)), warm);
    }
    for _ in 0..60 {
        client.run(None, by_warmth(QUICK));
    }
    let (running, target) = client.submit(Some(7));
    assert_eq!(target.as_deref(), Some(&*warm));
    let (_, second) = client.submit(Some(7));
    assert_eq!(second, None, "it doesn't wait for the warm target");
    client.now += WARM / 2;
    client.release(&running, &report(RequestOutcome::Answered, WARM));
    assert_eq!(client.broker.permits_in_use(&warm), 1);
}
