//! What an entry VM knows of one target.

use crate::{Announcement, Candidate, LeaseConfig, LeaseRelease, TargetState, Token};
use pimento_core::{ServiceId, TargetId, Time};
use std::net::SocketAddr;

/// The most replies whose issue times are kept; announcements at the usual
/// interval need less than ten in a term.
const MAX_ISSUED: usize = 64;

/// How far this VM is from holding the lease.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// This VM has no part in the lease.
    Idle,
    /// This VM offered its epoch and the target has not echoed it yet.
    Offered,
    /// The target echoed the epoch; sending is allowed from `from` to `until`.
    Held { valid_from: Time, valid_until: Time },
    /// The lease ran out, and the target may still renew it.
    Lapsed { valid_from: Time },
    /// This VM gave the lease up in favour of another.
    Released { at: Time, to: Candidate },
}

/// A target as one entry VM knows it.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// The newest announcement; its token is left out.
    pub facts: Announcement,
    /// When the newest announcement came.
    pub last_heard: Time,
    /// The highest epoch that this VM offered or saw.
    pub epoch: u64,
    /// How far this VM is from holding the lease.
    pub stage: Stage,
    /// The target's token before it took up this VM's epoch.
    pub prev: Option<Token>,
    /// When this VM last sent the target to another one.
    pub referred: Option<Time>,
    /// Whether an operator drains the target.
    pub drained: bool,
    /// The slots that requests of former holders may still use.
    pub inherited: u32,
    /// This VM's own requests at the target.
    used: u32,
    /// The lowest count of them since the last report.
    low: u32,
    /// The newest serial that the target echoed.
    echoed: u64,
    /// The serials of this epoch with their issue times, ascending.
    issued: Vec<(u64, Time)>,
}

impl Record {
    pub(crate) fn new(now: Time, facts: &Announcement) -> Self {
        Self {
            facts: strip(facts),
            last_heard: now,
            epoch: 0,
            stage: Stage::Idle,
            prev: None,
            referred: None,
            drained: false,
            inherited: 0,
            used: 0,
            low: 0,
            echoed: 0,
            issued: Vec::new(),
        }
    }

    /// Takes the facts of an announcement that is not out of date.
    ///
    /// Returns whether they differ from what was known.
    pub(crate) fn update(&mut self, now: Time, facts: &Announcement) -> bool {
        let facts = strip(facts);
        let differs = self.facts != facts;
        self.facts = facts;
        self.last_heard = now;
        differs
    }

    /// Offers the next epoch to a target that shows `token`.
    ///
    /// There is none above the highest; a target that claims to have that one
    /// takes up no offer, so it stays without a holder.
    pub(crate) fn offer(&mut self, token: Option<&Token>) {
        let seen = token.map_or(0, |t| t.epoch);
        self.epoch = self.epoch.max(seen).saturating_add(1);
        self.stage = Stage::Offered;
        self.prev = token.cloned();
        self.issued.clear();
        self.echoed = 0;
    }

    /// Notes a later token that the target had before it took up the offer.
    pub(crate) fn follow(&mut self, token: Option<&Token>) {
        let known = self.prev.as_ref().map_or(0, |t| t.epoch);
        if let Some(token) = token
            && matches!(self.stage, Stage::Offered)
            && token.epoch > known
        {
            self.prev = Some(token.clone());
        }
    }

    /// Notes that a serial is issued.
    pub(crate) fn issue(&mut self, now: Time, serial: u64) {
        if self.issued.len() == MAX_ISSUED {
            self.issued.remove(0);
        }
        self.issued.push((serial, now));
    }

    /// Whether the target has echoed no later serial than this one.
    pub(crate) fn is_newest(&self, serial: u64) -> bool {
        serial >= self.echoed
    }

    /// Takes up or extends the lease when the target echoes a serial.
    ///
    /// Returns whether the carried slots changed. The lease runs from the issue of the serial, never from the receipt of
    /// the echo: a delayed echo must not extend it.
    pub(crate) fn echo(
        &mut self,
        now: Time,
        serial: u64,
        release: Option<&LeaseRelease>,
        config: &LeaseConfig,
        load: u32,
    ) -> bool {
        let fresh = serial > self.echoed;
        self.echoed = self.echoed.max(serial);
        let valid_until = match self.issued.binary_search_by_key(&serial, |(s, _)| *s) {
            Ok(i) => self.issued[i].1 + config.term,
            Err(_) => Time::ZERO,
        };
        let (valid_from, valid_until) = match self.stage {
            Stage::Held {
                valid_from,
                valid_until: old,
            } => (valid_from, valid_until.max(old)),
            Stage::Lapsed { valid_from } => (valid_from, valid_until),
            Stage::Offered => (self.start(now, release, config), valid_until),
            Stage::Idle | Stage::Released { .. } => return false,
        };
        self.stage = if valid_until > now {
            Stage::Held {
                valid_from,
                valid_until,
            }
        } else {
            Stage::Lapsed { valid_from }
        };
        fresh && self.settle(now, load)
    }

    /// When a new holder may begin to send, and what it must leave free.
    fn start(&mut self, now: Time, release: Option<&LeaseRelease>, config: &LeaseConfig) -> Time {
        self.low = self.used;
        if let Some(release) = release {
            self.inherited = release.used_slots;
            self.drained |= release.drained;
            now
        } else {
            self.inherited = self.facts.slots;
            now + config.wait()
        }
    }

    /// Whether a release ends exactly the lease before the one offered.
    ///
    /// The offered epoch must follow the released one directly. Then the
    /// target, which only moves to higher epochs, had no holder between.
    pub(crate) fn follows(&self, release: &LeaseRelease) -> bool {
        let Some(prev) = &self.prev else {
            return false;
        };
        prev.epoch == release.epoch
            && prev.epoch.checked_add(1) == Some(self.epoch)
            && prev.instance == release.holder_instance
            && prev.holder.as_str() == release.holder
            && self.facts.instance == release.target_instance
    }

    /// Lowers the carried slots by what a new report shows to be free.
    ///
    /// Reports lag, so each closes only half of the gap; those from before
    /// this VM may send don't count, since the former holder may still have
    /// been sending. Returns whether the carried slots changed.
    fn settle(&mut self, now: Time, load: u32) -> bool {
        let foreign = load.saturating_sub(self.low);
        self.low = self.used;
        let may_send = matches!(self.stage, Stage::Held { valid_from, .. } if valid_from <= now);
        if !may_send || foreign >= self.inherited {
            return false;
        }
        self.inherited = foreign + (self.inherited - foreign) / 2;
        true
    }

    /// Frees the carried slots when the former holder's requests must have
    /// ended. Returns whether they changed.
    pub(crate) fn end_carry(&mut self, now: Time, config: &LeaseConfig) -> bool {
        let Stage::Held { valid_from, .. } = self.stage else {
            return false;
        };
        let ended = self.inherited > 0 && now >= valid_from + config.max_runtime;
        if ended {
            self.inherited = 0;
        }
        ended
    }

    /// Notes this VM's own requests at the target.
    pub(crate) fn set_used_slots(&mut self, used: u32) {
        self.used = used;
        self.low = self.low.min(used);
    }

    /// The lease as admission sees it, if this VM holds it.
    pub(crate) fn lease_view(&self) -> Option<LeaseView<'_>> {
        let Stage::Held {
            valid_from,
            valid_until,
        } = self.stage
        else {
            return None;
        };
        let state = if self.drained {
            TargetState::Draining
        } else {
            self.facts.state
        };
        Some(LeaseView {
            target: &self.facts.target,
            instance: self.facts.instance,
            service: &self.facts.service,
            address: self.facts.address,
            slots: self.facts.slots,
            connections: self.facts.connections,
            state,
            load: self.facts.load,
            last_heard: self.last_heard,
            inherited: self.inherited,
            valid_from,
            valid_until,
            epoch: self.epoch,
        })
    }
}

/// A held lease as admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct LeaseView<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// The start of the target's process.
    pub instance: u64,
    /// The service that the target serves.
    pub service: &'a ServiceId,
    /// Where the target takes requests.
    pub address: SocketAddr,
    /// The requests that the target runs at a time.
    pub slots: u32,
    /// The connections that the target accepts.
    pub connections: u32,
    /// Whether the target takes work, an operator's drain included.
    pub state: TargetState,
    /// The requests that the target last reported.
    pub load: u32,
    /// When that report came.
    pub last_heard: Time,
    /// The slots that requests of former holders may still use.
    pub inherited: u32,
    /// When this VM may begin to send.
    pub valid_from: Time,
    /// When this VM must stop, unless the lease is extended.
    pub valid_until: Time,
    /// The epoch of the lease.
    pub epoch: u64,
}

fn strip(facts: &Announcement) -> Announcement {
    Announcement {
        token: None,
        ..facts.clone()
    }
}
