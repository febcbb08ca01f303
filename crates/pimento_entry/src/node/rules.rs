//! Keeps this VM's rules up to date with the control group.

use super::{Node, RulesPulled};
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

/// Timeout of a pull from another VM.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a starting VM looks for a quorum of control VMs before it falls
/// back to the rules that the peers of its failure domain have.
const QUORUM_GRACE: Duration = Duration::from_secs(6);

/// Mean interval between polls of the control VMs by one failure domain.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between pulls of a VM that has no confirmed rules yet.
const START_PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks background tasks; each kind runs at most once at a time.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    /// A pull from another VM is running.
    pulling: bool,
    /// A pull of confirmed rules from the control group is running.
    confirming: bool,
    /// The block table of newer rules is being built.
    building: bool,
}

/// Newer rules whose block table has been built.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct TableBuilt {
    rules: Arc<Rules>,
    table: Arc<BlockTable>,
}

/// Whether this VM applies rules yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RulesState {
    /// No rules are in force. A pulled version might be older than the one in
    /// force before the restart, unless a quorum has confirmed it.
    Starting { since: Time },
    /// Rules are in force.
    Serving,
}

impl Handler<RulesPulled> for Node {
    type Result = ();

    fn handle(&mut self, msg: RulesPulled, _ctx: &mut Self::Context) {
        if msg.confirmed {
            self.tasks.confirming = false;
        } else {
            self.tasks.pulling = false;
        }
        let Some(push) = msg.push else {
            return self.try_fallback();
        };
        match self.follower.receive(&push) {
            Ok(PushOutcome::Unchanged)
                if msg.confirmed && push.version == self.follower.version() =>
            {
                self.start_serving();
            }
            Ok(PushOutcome::Unchanged) => {}
            Ok(PushOutcome::Partial | PushOutcome::Applied(_)) => {
                self.apply_rules();
                self.pull_next(msg.confirmed);
            }
            Err(e) => event!(self.log, Event::NoteRefused, "reason" => %e),
        }
    }
}

impl Handler<TableBuilt> for Node {
    type Result = ();

    fn handle(&mut self, msg: TableBuilt, _ctx: &mut Self::Context) {
        self.tasks.building = false;
        self.install_rules(msg.rules, msg.table);
        self.apply_rules();
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
    /// Polls for newer rules when the poll interval has passed.
    pub(super) fn tick_rules(&mut self) {
        let now = self.now();
        if now < self.next_poll {
            return;
        }
        if matches!(self.rules_state, RulesState::Starting { .. }) {
            self.next_poll = now + START_PULL_INTERVAL;
            self.pull_confirmed();
            return;
        }
        // The VMs of a failure domain share the polling: a VM that finds a
        // newer version announces it in its heartbeats.
        let live = self.members.live().count() as u32 + 1;
        let interval = POLL_INTERVAL * live;
        self.next_poll = now + interval.mul_f64(rand::rng().random_range(0.5..1.5));
        let control = &self.settings.control;
        if !control.is_empty() {
            let peer = &control[rand::rng().random_range(0..control.len())];
            self.pull_from(peer.address);
        }
    }

    /// Pulls the rules from another VM that has a newer version.
    pub(super) fn pull_newer(&mut self, version: u64, link: SocketAddr) {
        self.follower.observe_version(version);
        if self.follower.pull_if_behind().is_some() {
            self.pull_from(link);
        }
    }

    fn pull_next(&mut self, confirmed: bool) {
        if confirmed || matches!(self.rules_state, RulesState::Starting { .. }) {
            return self.pull_confirmed();
        }
        // The remaining parts are pulled with the next tick, from any control
        // VM.
        if self.follower.pull_if_behind().is_some() {
            self.next_poll = self.now();
        }
    }

    fn pull_from(&mut self, link: SocketAddr) {
        if std::mem::replace(&mut self.tasks.pulling, true) {
            return;
        }
        let payload = Bytes::from(self.follower.next_pull().encode_to_vec());
        let (links, node) = (self.links.clone(), self.self_addr.clone());
        actix_rt::spawn(async move {
            let answer = links
                .call(link, Channel::Rules, payload, PULL_TIMEOUT)
                .await;
            let push = answer.ok().and_then(|bytes| RulesPush::decode(bytes).ok());
            node.do_send(RulesPulled {
                push,
                confirmed: false,
            });
        });
    }

    fn pull_confirmed(&mut self) {
        if std::mem::replace(&mut self.tasks.confirming, true) {
            return;
        }
        let pull = self.follower.next_pull();
        let (control, node) = (self.control.clone(), self.self_addr.clone());
        actix_rt::spawn(async move {
            let push = control.pull_rules(pull).await.ok();
            node.do_send(RulesPulled {
                push,
                confirmed: true,
            });
        });
    }

    /// Applies the newest version known in the failure domain if no quorum has
    /// been reached within the grace period.
    fn try_fallback(&mut self) {
        let RulesState::Starting { since } = self.rules_state else {
            return;
        };
        let newest = self.follower.newest_version();
        let is_newest = self.follower.version() > 0 && self.follower.version() >= newest;
        if is_newest && self.now().since(since) >= QUORUM_GRACE {
            self.start_serving();
        }
    }

    /// Starts to apply the follower's rules.
    fn start_serving(&mut self) {
        if self.rules_state != RulesState::Serving {
            self.rules_state = RulesState::Serving;
            self.apply_rules();
        }
    }

    /// Applies the follower's rules if they are newer.
    ///
    /// A changed block table is built on a blocking thread, since building a
    /// large one takes longer than a request may wait for the actor.
    fn apply_rules(&mut self) {
        let rules = self.follower.rules();
        let old = self.rules.load_full();
        if self.rules_state != RulesState::Serving
            || rules.version <= old.version
            || self.tasks.building
        {
            return;
        }
        if rules.blocks == old.blocks {
            let table = Arc::clone(&self.block_table);
            return self.install_rules(rules, table);
        }
        self.tasks.building = true;
        let node = self.self_addr.clone();
        actix_rt::spawn(async move {
            let built = actix_rt::task::spawn_blocking(move || {
                let table = Arc::new(BlockTable::new(rules.blocks.iter()));
                TableBuilt { rules, table }
            });
            if let Ok(built) = built.await {
                node.do_send(built);
            }
        });
    }

    /// Installs rules in the cores and the listeners.
    fn install_rules(&mut self, rules: Arc<Rules>, table: Arc<BlockTable>) {
        let now = self.now();
        self.block_table = Arc::clone(&table);
        self.steering.set_rules(now, &rules, table);
        self.members.set_version(rules.version);
        event!(self.log, Event::RulesApplied, "version" => rules.version);
        self.rules.store(rules);
    }

    /// Handles a pull by another VM.
    pub(super) fn answer_pull(&self, msg: Incoming) {
        let Some(reply) = msg.reply else {
            return;
        };
        if let Ok(pull) = RulesPull::decode(msg.payload) {
            reply.send(self.follower.answer_pull(&pull).encode_to_vec().into());
        }
    }
}
