//! Keeping this VM's rules in step with the control group.

use super::{Node, Pulled};
use actix::prelude::*;
use bytes::Bytes;
use pimento_control::RulesChanged;
use pimento_core::Time;
use pimento_link::{Channel, Incoming};
use pimento_log::{Event, event};
use pimento_rules::{PushOutcome, Rules, RulesPull, RulesPush};
use pimento_steer::BlockTable;
use prost::Message as _;
use rand::Rng;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The longest wait for a peer's or a control VM's answer.
const PULL_LIMIT: Duration = Duration::from_secs(2);

/// How long a starting VM looks for a quorum of control VMs before it takes
/// what the peers of its failure domain have.
const GRACE: Duration = Duration::from_secs(6);

/// The mean time between two questions of one failure domain to the control
/// VMs whether there is anything newer.
const ASK_EVERY: Duration = Duration::from_secs(1);

/// The time between two tries of a VM that has no confirmed rules yet.
const START_EVERY: Duration = Duration::from_millis(500);

/// What is under way to newer rules, each at most once.
#[derive(Debug, Default)]
pub(super) struct Work {
    /// Another VM is being asked for rules.
    pulling: bool,
    /// The control group is being asked for confirmed rules.
    asking: bool,
    /// The block table of newer rules is being built.
    building: bool,
}

/// Rules whose block table is built.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Built {
    rules: Arc<Rules>,
    table: Arc<BlockTable>,
}

/// How far this VM is with its rules.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sync {
    /// No rules are in force here: they might be older than what was in force
    /// here before the restart.
    Starting { since: Time },
    /// Rules are in force here.
    Serving,
}

impl Handler<Pulled> for Node {
    type Result = ();

    fn handle(&mut self, msg: Pulled, _ctx: &mut Self::Context) {
        if msg.confirmed {
            self.work.asking = false;
        } else {
            self.work.pulling = false;
        }
        let Some(push) = msg.push else {
            return self.fall_back();
        };
        match self.follower.receive(&push) {
            Ok(PushOutcome::Unchanged)
                if msg.confirmed && push.version == self.follower.version() =>
            {
                self.serve();
            }
            Ok(PushOutcome::Unchanged) => {}
            Ok(PushOutcome::Partial | PushOutcome::Applied(_)) => {
                self.in_force();
                self.pull_again(msg.confirmed);
            }
            Err(e) => event!(self.log, Event::NoteRefused, "reason" => %e),
        }
    }
}

impl Handler<Built> for Node {
    type Result = ();

    fn handle(&mut self, msg: Built, _ctx: &mut Self::Context) {
        self.work.building = false;
        self.put_in_force(msg.rules, msg.table);
        self.in_force();
    }
}

impl Handler<RulesChanged> for Node {
    type Result = ();

    fn handle(&mut self, msg: RulesChanged, _ctx: &mut Self::Context) {
        self.follower.observe_version(msg.rules.version);
        if self.follower.pull_if_behind().is_some() {
            self.pull_confirmed();
        }
    }
}

impl Node {
    /// Asks now and then whether there is anything newer.
    pub(super) fn tick_rules(&mut self) {
        let now = self.now();
        if now < self.next_ask {
            return;
        }
        if matches!(self.sync, Sync::Starting { .. }) {
            self.next_ask = now + START_EVERY;
            self.pull_confirmed();
            return;
        }
        // The VMs of a failure domain share the work: whoever finds something
        // newer tells the others by its heartbeat.
        let live = self.members.live().count() as u32 + 1;
        let wait = ASK_EVERY * live;
        self.next_ask = now + wait.mul_f64(rand::rng().random_range(0.5..1.5));
        let control = &self.settings.control;
        if !control.is_empty() {
            let peer = &control[rand::rng().random_range(0..control.len())];
            self.pull_from(peer.address);
        }
    }

    /// Pulls from another VM that has something newer.
    pub(super) fn pull_rules(&mut self, version: u64, link: SocketAddr) {
        self.follower.observe_version(version);
        if self.follower.pull_if_behind().is_some() {
            self.pull_from(link);
        }
    }

    fn pull_again(&mut self, confirmed: bool) {
        if confirmed || matches!(self.sync, Sync::Starting { .. }) {
            return self.pull_confirmed();
        }
        // Further parts come from whoever is asked next, without delay.
        if self.follower.pull_if_behind().is_some() {
            self.next_ask = self.now();
        }
    }

    fn pull_from(&mut self, link: SocketAddr) {
        if std::mem::replace(&mut self.work.pulling, true) {
            return;
        }
        let payload = Bytes::from(self.follower.next_pull().encode_to_vec());
        let (links, me) = (self.links.clone(), self.me.clone());
        actix_rt::spawn(async move {
            let answer = links.call(link, Channel::Rules, payload, PULL_LIMIT).await;
            let push = answer.ok().and_then(|bytes| RulesPush::decode(bytes).ok());
            me.do_send(Pulled {
                push,
                confirmed: false,
            });
        });
    }

    fn pull_confirmed(&mut self) {
        if std::mem::replace(&mut self.work.asking, true) {
            return;
        }
        let pull = self.follower.next_pull();
        let (control, me) = (self.control.clone(), self.me.clone());
        actix_rt::spawn(async move {
            let push = control.pull_rules(pull).await.ok();
            me.do_send(Pulled {
                push,
                confirmed: true,
            });
        });
    }

    /// Puts the best that can be had in force when no quorum can be reached.
    fn fall_back(&mut self) {
        let Sync::Starting { since } = self.sync else {
            return;
        };
        let newest = self.follower.newest_version();
        let known = self.follower.version() > 0 && self.follower.version() >= newest;
        if known && self.now().since(since) >= GRACE {
            self.serve();
        }
    }

    /// From here on, the follower's rules are in force.
    fn serve(&mut self) {
        if self.sync != Sync::Serving {
            self.sync = Sync::Serving;
            self.in_force();
        }
    }

    /// Puts the follower's rules in force, if they are newer.
    ///
    /// A changed block table is built beside the actor, since a large one takes
    /// longer than a request may wait.
    fn in_force(&mut self) {
        let rules = self.follower.rules();
        let old = self.rules.load_full();
        if self.sync != Sync::Serving || rules.version <= old.version || self.work.building {
            return;
        }
        if rules.blocks == old.blocks {
            let table = Arc::clone(&self.table);
            return self.put_in_force(rules, table);
        }
        self.work.building = true;
        let me = self.me.clone();
        actix_rt::spawn(async move {
            let built = actix_rt::task::spawn_blocking(move || {
                let table = Arc::new(BlockTable::new(rules.blocks.iter()));
                Built { rules, table }
            });
            if let Ok(built) = built.await {
                me.do_send(built);
            }
        });
    }

    /// Passes rules to the cores and the listeners.
    fn put_in_force(&mut self, rules: Arc<Rules>, table: Arc<BlockTable>) {
        let now = self.now();
        self.table = Arc::clone(&table);
        self.steer.set_rules(now, &rules, table);
        self.members.set_version(rules.version);
        event!(self.log, Event::RulesApplied, "version" => rules.version);
        self.rules.store(rules);
    }

    /// Answers another VM that lacks rules.
    pub(super) fn serve_rules(&self, msg: Incoming) {
        let Some(reply) = msg.reply else {
            return;
        };
        if let Ok(pull) = RulesPull::decode(msg.payload) {
            reply.send(self.follower.answer_pull(&pull).encode_to_vec().into());
        }
    }
}
