//! The target's side of the lease.

use crate::{AnnounceReply, Announcement, TargetState, Token};
use pimento_core::{ServiceId, TargetId, Time};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, time::Duration};

/// The number of consecutive failures after which a target gives up on its
/// lease holder.
const MAX_FAILURES: u32 = 3;

/// The delay after a failed announcement.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The upper limit of the interval that a reply may ask for.
const MAX_INTERVAL_MS: u64 = 10_000;

/// The properties of a target that stay the same for the lifetime of its
/// process.
#[derive(Clone, Debug)]
pub struct TargetInfo {
    /// The name of the target.
    pub target: TargetId,
    /// The incarnation of the target's process; it must change with each
    /// restart.
    pub incarnation: u64,
    /// The service that the target runs.
    pub service: ServiceId,
    /// The address for requests.
    pub address: SocketAddr,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The number of connections that the target accepts.
    pub connections: u32,
}

/// Announces a target and keeps its lease token.
///
/// The target serves as the witness of its lease: it only moves to higher
/// epochs, and only leaves its holder if it can't reach it. A restarted target
/// must start with a new `Announcer`.
#[derive(Debug)]
pub struct Announcer {
    info: TargetInfo,
    entries: Vec<SocketAddr>,
    rng: SmallRng,
    token: Option<Token>,
    current_entry: Option<SocketAddr>,
    next_due: Time,
    failures: u32,
    awaiting_reply: bool,
    state: TargetState,
    load: u32,
}

impl Announcer {
    /// Creates an announcer that knows the listeners of some entry VMs of its
    /// failure domain.
    pub fn new(info: TargetInfo, entries: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            info,
            entries,
            rng: SmallRng::seed_from_u64(seed),
            token: None,
            current_entry: None,
            next_due: Time::ZERO,
            failures: 0,
            awaiting_reply: false,
            state: TargetState::default(),
            load: 0,
        }
    }

    /// The announcement that is due, and the listener to send it to.
    ///
    /// The caller must report the outcome with [`Self::handle_reply`] or
    /// [`Self::handle_failure`]; no other announcement is due until then.
    pub fn next_announcement(&mut self, now: Time) -> Option<(SocketAddr, Announcement)> {
        if self.awaiting_reply || now < self.next_due {
            return None;
        }
        let to = match self.current_entry {
            Some(at) => at,
            None => self.pick_entry()?,
        };
        self.current_entry = Some(to);
        self.awaiting_reply = true;
        Some((to, self.announcement()))
    }

    /// Handles the reply to an announcement, which may be a late one.
    ///
    /// A token is only kept if it is newer: it has a higher epoch, or a higher
    /// serial of the same holder. A late reply therefore can't bring back an
    /// older epoch.
    pub fn handle_reply(&mut self, now: Time, reply: AnnounceReply) {
        let is_awaited = self.awaiting_reply;
        let is_newer = self.is_newer(&reply.token);
        if is_newer {
            self.token = Some(reply.token);
        }
        if is_newer || is_awaited {
            self.current_entry = Some(reply.holder);
        }
        if is_awaited {
            self.awaiting_reply = false;
            self.failures = 0;
            self.next_due = now + Duration::from_millis(reply.interval_ms.min(MAX_INTERVAL_MS));
        }
    }

    /// Handles an announcement that got no reply.
    pub fn handle_failure(&mut self, now: Time) {
        self.awaiting_reply = false;
        self.failures += 1;
        self.next_due = now + RETRY_DELAY;
        let gives_up = self.token.is_none() || self.failures >= MAX_FAILURES;
        if gives_up {
            self.current_entry = self.pick_entry();
            self.failures = 0;
        }
    }

    /// Sets whether the target accepts requests; a change is announced at once.
    pub fn set_state(&mut self, state: TargetState) {
        if self.state != state {
            self.state = state;
            self.next_due = Time::ZERO;
        }
    }

    /// Sets the number of requests that the target currently runs.
    pub fn set_load(&mut self, load: u32) {
        self.load = load;
    }

    /// The newest token, for diagnostics.
    pub fn token(&self) -> Option<&Token> {
        self.token.as_ref()
    }

    fn is_newer(&self, token: &Token) -> bool {
        let Some(current) = &self.token else {
            return token.epoch > 0;
        };
        let same_holder = token.holder == current.holder && token.instance == current.instance;
        token.epoch > current.epoch
            || (token.epoch == current.epoch && same_holder && token.serial > current.serial)
    }

    /// A random known entry VM, different from the last one if possible.
    fn pick_entry(&mut self) -> Option<SocketAddr> {
        let others = self
            .entries
            .iter()
            .filter(|e| Some(**e) != self.current_entry);
        let others: Vec<_> = others.copied().collect();
        if others.is_empty() {
            return self.entries.first().copied();
        }
        Some(others[self.rng.random_range(0..others.len())])
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            target: self.info.target.clone(),
            instance: self.info.incarnation,
            service: self.info.service.clone(),
            address: self.info.address,
            slots: self.info.slots,
            connections: self.info.connections,
            state: self.state,
            load: self.load,
            token: self.token.clone(),
        }
    }
}
