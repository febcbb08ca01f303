//! The target's side of the lease.

use crate::{AnnounceReply, Announcement, TargetState, Token};
use pimento_core::{ServiceId, TargetId, Time};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, time::Duration};

/// Failures in a row after which a target leaves its holder.
const PATIENCE: u32 = 3;

/// The wait after a failed announcement.
const RETRY: Duration = Duration::from_millis(200);

/// The longest interval that a reply may ask for, in milliseconds.
const MAX_INTERVAL: u64 = 10_000;

/// What a target says of itself for as long as its process lives.
#[derive(Clone, Debug)]
pub struct TargetInfo {
    /// The name of the target.
    pub target: TargetId,
    /// The start of the target's process; it must differ after a restart.
    pub instance: u64,
    /// The service that the target serves.
    pub service: ServiceId,
    /// Where the target takes requests.
    pub address: SocketAddr,
    /// The requests that the target runs at a time.
    pub slots: u32,
    /// The connections that the target accepts.
    pub connections: u32,
}

/// Announces a target and keeps its lease token.
///
/// The target is the witness of the lease: it follows only higher epochs and
/// leaves its holder only when it can't reach it. A restarted target starts a
/// new `Announcer`.
#[derive(Debug)]
pub struct Announcer {
    facts: TargetInfo,
    entries: Vec<SocketAddr>,
    rng: SmallRng,
    token: Option<Token>,
    at: Option<SocketAddr>,
    due: Time,
    failures: u32,
    waiting: bool,
    state: TargetState,
    load: u32,
}

impl Announcer {
    /// An announcer that knows the listeners of some entry VMs of its failure
    /// domain.
    pub fn new(facts: TargetInfo, entries: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            facts,
            entries,
            rng: SmallRng::seed_from_u64(seed),
            token: None,
            at: None,
            due: Time::ZERO,
            failures: 0,
            waiting: false,
            state: TargetState::default(),
            load: 0,
        }
    }

    /// The announcement that is due, and the listener that it goes to.
    ///
    /// Afterwards the caller reports the outcome with [`Self::handle_reply`] or
    /// [`Self::handle_failure`]; until then nothing else is due.
    pub fn next_announcement(&mut self, now: Time) -> Option<(SocketAddr, Announcement)> {
        if self.waiting || now < self.due {
            return None;
        }
        let to = match self.at {
            Some(at) => at,
            None => self.pick()?,
        };
        self.at = Some(to);
        self.waiting = true;
        Some((to, self.announcement()))
    }

    /// Takes the reply to an announcement, perhaps a late one.
    ///
    /// A token is kept only if it moves forward: a higher epoch, or a newer
    /// serial of the same holder. So a late reply can't bring an older epoch
    /// back.
    pub fn handle_reply(&mut self, now: Time, reply: AnnounceReply) {
        let ours = self.waiting;
        let forward = self.is_forward(&reply.token);
        if forward {
            self.token = Some(reply.token);
        }
        if forward || ours {
            self.at = Some(reply.holder);
        }
        if ours {
            self.waiting = false;
            self.failures = 0;
            self.due = now + Duration::from_millis(reply.interval_ms.min(MAX_INTERVAL));
        }
    }

    /// Notes that the announcement got no reply.
    pub fn handle_failure(&mut self, now: Time) {
        self.waiting = false;
        self.failures += 1;
        self.due = now + RETRY;
        let left = self.token.is_none() || self.failures >= PATIENCE;
        if left {
            self.at = self.pick();
            self.failures = 0;
        }
    }

    /// Sets whether the target takes work; a change is announced at once.
    pub fn set_state(&mut self, state: TargetState) {
        if self.state != state {
            self.state = state;
            self.due = Time::ZERO;
        }
    }

    /// Sets the requests that run now.
    pub fn set_load(&mut self, load: u32) {
        self.load = load;
    }

    /// The newest token, for diagnosis.
    pub fn token(&self) -> Option<&Token> {
        self.token.as_ref()
    }

    /// Whether a token is newer than the kept one.
    fn is_forward(&self, token: &Token) -> bool {
        let Some(kept) = &self.token else {
            return token.epoch > 0;
        };
        let same = token.holder == kept.holder && token.instance == kept.instance;
        token.epoch > kept.epoch
            || (token.epoch == kept.epoch && same && token.serial > kept.serial)
    }

    /// A random known entry VM, another one than the last if there is one.
    fn pick(&mut self) -> Option<SocketAddr> {
        let others = self.entries.iter().filter(|e| Some(**e) != self.at);
        let others: Vec<_> = others.copied().collect();
        if others.is_empty() {
            return self.entries.first().copied();
        }
        Some(others[self.rng.random_range(0..others.len())])
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            target: self.facts.target.clone(),
            instance: self.facts.instance,
            service: self.facts.service.clone(),
            address: self.facts.address,
            slots: self.facts.slots,
            connections: self.facts.connections,
            state: self.state,
            load: self.load,
            token: self.token.clone(),
        }
    }
}
