//! Finds out whether a target that broke off requests has crashed.
//!
//! A reset connection looks the same, and so does a cut network for a while. Only
//! the end of the target's process counts, see `docs/design/poison.md`.

use crate::gateway::Inner;
use pimento_fleet::{PoisonReport, TargetInfo};
use pimento_log::{Event, event};
use pimento_notices::Hold;
use pimento_poison::Fingerprint;
use std::{cell::RefCell, io::ErrorKind, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// The delays before the attempts to connect to the target.
const CONNECT_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
];
/// The timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long after the attempts to connect another incarnation must be known to show
/// that this one has ended.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1_500);
/// The maximum number of different requests that are blamed for the end of one
/// target: more than the places of any.
const MAX_REQUESTS: usize = 64;

/// The targets that are being probed, with the requests that they broke off.
#[derive(Debug, Default)]
pub(crate) struct CrashProbes(RefCell<Vec<Probe>>);

#[derive(Debug)]
struct Probe {
    target: Arc<TargetInfo>,
    requests: Vec<Fingerprint>,
}

impl CrashProbes {
    /// Adds a request that a target broke off. Returns whether the target isn't
    /// being probed yet.
    fn add(&self, target: &Arc<TargetInfo>, request: Fingerprint) -> bool {
        let mut probes = self.0.borrow_mut();
        let known = probes.iter_mut().find(|p| is_same(&p.target, target));
        let Some(probe) = known else {
            probes.push(Probe {
                target: Arc::clone(target),
                requests: vec![request],
            });
            return true;
        };
        if probe.requests.len() < MAX_REQUESTS && !probe.requests.contains(&request) {
            probe.requests.push(request);
        }
        false
    }

    /// Ends the probe of a target and returns the requests that it broke off.
    fn take(&self, target: &TargetInfo) -> Vec<Fingerprint> {
        let mut probes = self.0.borrow_mut();
        let index = probes.iter().position(|p| is_same(&p.target, target));
        index.map_or_else(Vec::new, |i| probes.swap_remove(i).requests)
    }
}

fn is_same(a: &TargetInfo, b: &TargetInfo) -> bool {
    a.id == b.id && a.incarnation == b.incarnation
}

impl Inner {
    /// Handles that a target broke off a request: if the target has crashed, the
    /// request may be the cause. One that leaves ends as planned.
    pub(crate) fn suspect_crash(self: &Rc<Self>, target: &Arc<TargetInfo>, request: Fingerprint) {
        let is_known = self.shared.load().target(&target.id).is_some();
        let is_planned = !is_known || self.hold(target) == Some(Hold::Leaving);
        if !is_planned && self.crash_probes.add(target, request) {
            actix_rt::spawn(probe(Rc::clone(self), Arc::clone(target)));
        }
    }

    /// Whether a newer process is known to have the target's name or address.
    fn is_replaced(&self, target: &TargetInfo) -> bool {
        let view = self.shared.load();
        let has_place = |t: &TargetInfo| t.id == target.id || t.address == target.address;
        let mut others = view.targets.all().iter().filter(|t| has_place(t));
        others.any(|t| t.incarnation > target.incarnation)
    }
}

/// Reports the crash of a target once it's certain.
async fn probe(inner: Rc<Inner>, target: Arc<TargetInfo>) {
    let broke_at = Instant::now();
    let has_ended = has_ended(&inner, &target).await;
    let requests = inner.crash_probes.take(&target);
    if !has_ended {
        return;
    }
    if let Some(dropped) = inner.may_log(true) {
        let texts: Vec<_> = requests.iter().map(Fingerprint::to_string).collect();
        event!(inner.log, Event::TargetCrashed, "target" => &*target.id,
            "born" => target.incarnation, "requests" => texts.join(" "), "dropped" => dropped);
    }
    inner.fleet.do_send(PoisonReport::Crashed {
        incarnation: target.incarnation_hash(),
        requests,
        age: broke_at.elapsed(),
    });
}

/// Whether the process of a target has ended. While it can't be reached this is
/// unknown and counts as false.
async fn has_ended(inner: &Inner, target: &TargetInfo) -> bool {
    for delay in CONNECT_DELAYS {
        sleep(delay).await;
        if inner.is_replaced(target) || refuses_connections(target.address).await {
            return true;
        }
    }
    sleep(REPLACEMENT_DELAY).await;
    inner.is_replaced(target)
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connect, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
