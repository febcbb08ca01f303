//! The actor that owns the decision cores of an entry VM.

#![expect(
    dead_code,
    reason = "the single-VM path uses a part of what the listeners say"
)]

use crate::{
    callers::LookupReply,
    permit::{Cancel, Ending, Finish, Grant, Refusal, Submit},
};
use actix::prelude::*;
use pimento_core::{Clock, DomainId, ServiceId, TargetId, VmId};
use pimento_lease::{AnnounceReply, Announcement, Token};
use pimento_rules::Rules;
use pimento_settings::Settings;
use serde::Serialize;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// The time between announcements.
const INTERVAL: Duration = Duration::from_secs(1);

/// A target's announcement.
#[derive(Debug, Message)]
#[rtype(result = "AnnounceReply")]
pub(crate) struct Announce {
    pub(crate) report: Announcement,
}

/// Asks where a caller should send its requests.
#[derive(Debug, Message)]
#[rtype(result = "Option<LookupReply>")]
pub(crate) struct Lookup {
    pub(crate) service: ServiceId,
    pub(crate) block: Option<IpAddr>,
}

/// Asks where the next attempt of a request goes.
#[derive(Debug, Message)]
#[rtype(result = "Option<Hop>")]
pub(crate) struct Route {
    pub(crate) service: ServiceId,
    /// Entry VMs that earlier attempts used.
    pub(crate) tried: Vec<VmId>,
    /// Whether this VM's own targets may be used.
    pub(crate) local: bool,
}

/// The next hop of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Hop {
    /// A target whose lease this VM holds.
    Local,
    /// Another entry VM.
    Vm { vm: VmId, forwards: SocketAddr },
}

/// New rules are in force.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetRules {
    pub(crate) rules: Arc<Rules>,
}

/// Asks for the state of this VM.
#[derive(Debug, Message)]
#[rtype(result = "NodeStatus")]
pub(crate) struct GetStatus;

/// The state of this VM.
#[derive(Debug, Serialize)]
pub(crate) struct NodeStatus {
    pub(crate) vm: VmId,
    pub(crate) domain: DomainId,
    pub(crate) version: u64,
    pub(crate) targets: Vec<TargetStatus>,
}

/// A target whose lease this VM holds.
#[derive(Debug, Serialize)]
pub(crate) struct TargetStatus {
    pub(crate) target: TargetId,
    pub(crate) service: ServiceId,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) used: u32,
}

/// A target that announced itself to this VM.
#[derive(Debug)]
struct Held {
    report: Announcement,
    used: u32,
}

/// The decision cores of an entry VM.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    clock: Clock,
    instance: u64,
    rules: Arc<Rules>,
    held: Vec<Held>,
    running: Vec<(u64, TargetId)>,
}

impl Node {
    pub(crate) fn new(settings: Settings, clock: Clock, instance: u64) -> Self {
        Self {
            settings,
            clock,
            instance,
            rules: Arc::default(),
            held: Vec::new(),
            running: Vec::new(),
        }
    }
}

impl Actor for Node {
    type Context = Context<Self>;
}

impl Handler<Announce> for Node {
    type Result = MessageResult<Announce>;

    fn handle(&mut self, msg: Announce, _ctx: &mut Self::Context) -> Self::Result {
        let report = msg.report;
        let serial = report.token.as_ref().map_or(1, |token| token.serial + 1);
        let found = self
            .held
            .binary_search_by(|held| held.report.target.cmp(&report.target));
        match found {
            Ok(i) => self.held[i].report = report,
            Err(i) => self.held.insert(i, Held { report, used: 0 }),
        }
        let holder = self
            .settings
            .listen
            .targets
            .unwrap_or(self.settings.listen.operators);
        let vm = self.settings.vm.clone();
        MessageResult(AnnounceReply {
            token: Token {
                epoch: 1,
                holder: vm,
                instance: self.instance,
                serial,
            },
            holder,
            interval_ms: INTERVAL.as_millis() as u64,
        })
    }
}

impl Handler<Lookup> for Node {
    type Result = Option<LookupReply>;

    fn handle(&mut self, msg: Lookup, _ctx: &mut Self::Context) -> Self::Result {
        let service = self.rules.service(&msg.service)?;
        Some(LookupReply {
            version: self.rules.version,
            ttl_ms: u64::from(service.ttl),
            entries: self.settings.listen.callers.into_iter().collect(),
            stale: false,
        })
    }
}

impl Handler<Route> for Node {
    type Result = Option<Hop>;

    fn handle(&mut self, msg: Route, _ctx: &mut Self::Context) -> Self::Result {
        let has = self
            .held
            .iter()
            .any(|held| held.report.service == msg.service);
        (msg.local && has).then_some(Hop::Local)
    }
}

impl Handler<Submit> for Node {
    type Result = ();

    fn handle(&mut self, msg: Submit, _ctx: &mut Self::Context) {
        let free = self.held.iter_mut().find(|held| {
            held.report.service == msg.service
                && held.used < held.report.slots
                && !msg.tried.contains(&held.report.target)
        });
        let Some(held) = free else {
            drop(msg.reply.send(Err(Refusal::Busy)));
            return;
        };
        held.used += 1;
        let grant = Grant {
            id: msg.id,
            target: held.report.target.clone(),
            address: held.report.address,
            until: self.clock.now() + INTERVAL,
        };
        self.running.push((msg.id, grant.target.clone()));
        if msg.reply.send(Ok(grant)).is_err() {
            self.finish(msg.id);
        }
    }
}

impl Handler<Cancel> for Node {
    type Result = ();

    fn handle(&mut self, msg: Cancel, _ctx: &mut Self::Context) {
        self.finish(msg.id);
    }
}

impl Handler<Finish> for Node {
    type Result = ();

    fn handle(&mut self, msg: Finish, _ctx: &mut Self::Context) {
        debug_assert!(
            msg.ending
                != Ending::Ok {
                    latency: Duration::MAX
                }
        );
        self.finish(msg.id);
    }
}

impl Node {
    fn finish(&mut self, id: u64) {
        let Ok(i) = self.running.binary_search_by_key(&id, |(id, _)| *id) else {
            return;
        };
        let (_, target) = self.running.remove(i);
        if let Some(held) = self
            .held
            .iter_mut()
            .find(|held| held.report.target == target)
        {
            held.used -= 1;
        }
    }
}

impl Handler<SetRules> for Node {
    type Result = ();

    fn handle(&mut self, msg: SetRules, _ctx: &mut Self::Context) {
        self.rules = msg.rules;
    }
}

impl Handler<GetStatus> for Node {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _msg: GetStatus, _ctx: &mut Self::Context) -> Self::Result {
        let targets = self.held.iter().map(|held| TargetStatus {
            target: held.report.target.clone(),
            service: held.report.service.clone(),
            address: held.report.address,
            slots: held.report.slots,
            used: held.used,
        });
        MessageResult(NodeStatus {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            version: self.rules.version,
            targets: targets.collect(),
        })
    }
}
