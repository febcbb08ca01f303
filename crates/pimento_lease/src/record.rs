//! The state of one target at an entry VM.

use crate::{Announcement, Candidate, LeaseConfig, LeaseRelease, TargetState, Token};
use pimento_core::{ServiceId, TargetId, Time};
use std::net::SocketAddr;

/// The maximum number of serials whose issue times are kept. At the usual
/// announcement interval, a term needs fewer than ten.
const MAX_ISSUED_SERIALS: usize = 64;

/// The state of this VM's lease on a target.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    /// This VM neither holds nor offers the lease.
    Idle,
    /// This VM offered its epoch, and the target has not echoed it yet.
    Offered,
    /// The target echoed the epoch. This VM may send from `valid_from` to
    /// `valid_until`.
    Held { valid_from: Time, valid_until: Time },
    /// The lease expired, but the target can still renew it.
    Lapsed { valid_from: Time },
    /// This VM released the lease to another VM.
    Released {
        released_at: Time,
        successor: Candidate,
    },
}

/// A target as known to one entry VM.
#[derive(Clone, Debug)]
pub(crate) struct TargetRecord {
    /// The newest announcement, without its token.
    pub announcement: Announcement,
    /// When the newest announcement was received.
    pub last_heard: Time,
    /// The highest epoch that this VM has offered or seen.
    pub epoch: u64,
    pub stage: Stage,
    /// The target's token before it accepted this VM's epoch.
    pub previous_token: Option<Token>,
    /// When this VM last referred the target to another VM.
    pub referred_at: Option<Time>,
    /// Whether an operator drains the target.
    pub drained: bool,
    /// Slots that may still be in use by requests of former holders.
    pub inherited: u32,
    /// The number of this VM's own requests at the target.
    used: u32,
    /// The minimum of `used` since the last load report.
    min_used: u32,
    /// The newest serial that the target echoed.
    echoed_serial: u64,
    /// The serials of this epoch with their issue times, in ascending order.
    issued_serials: Vec<(u64, Time)>,
}

impl TargetRecord {
    pub(crate) fn new(now: Time, announcement: &Announcement) -> Self {
        Self {
            announcement: without_token(announcement),
            last_heard: now,
            epoch: 0,
            stage: Stage::Idle,
            previous_token: None,
            referred_at: None,
            drained: false,
            inherited: 0,
            used: 0,
            min_used: 0,
            echoed_serial: 0,
            issued_serials: Vec::new(),
        }
    }

    /// Stores an announcement that is not outdated.
    ///
    /// Returns whether it differs from the previous one.
    pub(crate) fn store(&mut self, now: Time, announcement: &Announcement) -> bool {
        let announcement = without_token(announcement);
        let has_changed = self.announcement != announcement;
        self.announcement = announcement;
        self.last_heard = now;
        has_changed
    }

    /// Offers the next epoch to a target that presented `token`.
    ///
    /// There is no epoch above the maximum. A target that claims to have the
    /// maximum one accepts no offer, so it stays without a holder.
    pub(crate) fn offer(&mut self, token: Option<&Token>) {
        let seen = token.map_or(0, |t| t.epoch);
        self.epoch = self.epoch.max(seen).saturating_add(1);
        self.stage = Stage::Offered;
        self.previous_token = token.cloned();
        self.issued_serials.clear();
        self.echoed_serial = 0;
    }

    /// Stores a newer token that the target had before it accepted the offer.
    pub(crate) fn update_previous(&mut self, token: Option<&Token>) {
        let known = self.previous_token.as_ref().map_or(0, |t| t.epoch);
        if let Some(token) = token
            && matches!(self.stage, Stage::Offered)
            && token.epoch > known
        {
            self.previous_token = Some(token.clone());
        }
    }

    /// Records when a serial is issued.
    pub(crate) fn record_serial(&mut self, now: Time, serial: u64) {
        if self.issued_serials.len() == MAX_ISSUED_SERIALS {
            self.issued_serials.remove(0);
        }
        self.issued_serials.push((serial, now));
    }

    /// Whether the target has not echoed a newer serial than this one.
    pub(crate) fn is_newest(&self, serial: u64) -> bool {
        serial >= self.echoed_serial
    }

    /// Acquires or extends the lease when the target echoes a serial.
    ///
    /// Returns whether the inherited slots changed. The lease term starts when
    /// the serial was issued, never when the echo was received: a delayed echo
    /// must not extend the lease.
    pub(crate) fn record_echo(
        &mut self,
        now: Time,
        serial: u64,
        release: Option<&LeaseRelease>,
        config: &LeaseConfig,
        load: u32,
    ) -> bool {
        let fresh = serial > self.echoed_serial;
        self.echoed_serial = self.echoed_serial.max(serial);
        let valid_until = match self
            .issued_serials
            .binary_search_by_key(&serial, |(s, _)| *s)
        {
            Ok(i) => self.issued_serials[i].1 + config.term,
            Err(_) => Time::ZERO,
        };
        let (valid_from, valid_until) = match self.stage {
            Stage::Held {
                valid_from,
                valid_until: old,
            } => (valid_from, valid_until.max(old)),
            Stage::Lapsed { valid_from } => (valid_from, valid_until),
            Stage::Offered => (self.start_lease(now, release, config), valid_until),
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
        fresh && self.lower_inherited(now, load)
    }

    /// When a new holder may start to send. Also sets the slots that it must
    /// leave to requests of the former holder.
    fn start_lease(
        &mut self,
        now: Time,
        release: Option<&LeaseRelease>,
        config: &LeaseConfig,
    ) -> Time {
        self.min_used = self.used;
        if let Some(release) = release {
            self.inherited = release.used_slots;
            self.drained |= release.drained;
            now
        } else {
            self.inherited = self.announcement.slots;
            now + config.takeover_wait()
        }
    }

    /// Whether a release ends exactly the lease that precedes the offered one.
    ///
    /// The offered epoch must directly follow the released one. Since the
    /// target only moves to higher epochs, it then had no holder in between.
    pub(crate) fn is_successor_of(&self, release: &LeaseRelease) -> bool {
        let Some(previous_token) = &self.previous_token else {
            return false;
        };
        previous_token.epoch == release.epoch
            && previous_token.epoch.checked_add(1) == Some(self.epoch)
            && previous_token.instance == release.holder_incarnation
            && previous_token.holder.as_str() == release.holder
            && self.announcement.instance == release.target_incarnation
    }

    /// Lowers the inherited slots to what a new load report shows to be in use.
    ///
    /// Reports lag behind, so each one closes only half of the gap. Reports
    /// from before this VM may send don't count, since the former holder may
    /// still have been sending. Returns whether the inherited slots changed.
    fn lower_inherited(&mut self, now: Time, load: u32) -> bool {
        let foreign = load.saturating_sub(self.min_used);
        self.min_used = self.used;
        let may_send = matches!(self.stage, Stage::Held { valid_from, .. } if valid_from <= now);
        if !may_send || foreign >= self.inherited {
            return false;
        }
        self.inherited = foreign + (self.inherited - foreign) / 2;
        true
    }

    /// Clears the inherited slots once all requests of the former holder must
    /// have ended. Returns whether they changed.
    pub(crate) fn expire_inherited(&mut self, now: Time, config: &LeaseConfig) -> bool {
        let Stage::Held { valid_from, .. } = self.stage else {
            return false;
        };
        let ended = self.inherited > 0 && now >= valid_from + config.max_runtime;
        if ended {
            self.inherited = 0;
        }
        ended
    }

    /// Sets the number of this VM's own requests at the target.
    pub(crate) fn set_used_slots(&mut self, used: u32) {
        self.used = used;
        self.min_used = self.min_used.min(used);
    }

    /// The lease as seen by admission, if this VM holds it.
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
            self.announcement.state
        };
        Some(LeaseView {
            target: &self.announcement.target,
            incarnation: self.announcement.instance,
            service: &self.announcement.service,
            address: self.announcement.address,
            slots: self.announcement.slots,
            connections: self.announcement.connections,
            state,
            load: self.announcement.load,
            last_heard: self.last_heard,
            inherited: self.inherited,
            valid_from,
            valid_until,
            epoch: self.epoch,
        })
    }
}

/// A held lease as seen by admission.
#[derive(Clone, Copy, Debug)]
pub struct LeaseView<'a> {
    /// The name of the target.
    pub target: &'a TargetId,
    /// The incarnation of the target's process.
    pub incarnation: u64,
    /// The service that the target runs.
    pub service: &'a ServiceId,
    /// The address for requests.
    pub address: SocketAddr,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The number of connections that the target accepts.
    pub connections: u32,
    /// Whether the target accepts requests; an operator's drain is taken into
    /// account.
    pub state: TargetState,
    /// The number of running requests in the target's newest report.
    pub load: u32,
    /// When that report was received.
    pub last_heard: Time,
    /// Slots that may still be in use by requests of former holders.
    pub inherited: u32,
    /// When this VM may start to send.
    pub valid_from: Time,
    /// When this VM must stop sending, unless the lease is extended.
    pub valid_until: Time,
    /// The epoch of the lease.
    pub epoch: u64,
}

fn without_token(announcement: &Announcement) -> Announcement {
    Announcement {
        token: None,
        ..announcement.clone()
    }
}
