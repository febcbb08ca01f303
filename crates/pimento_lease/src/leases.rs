//! The entry VM's side of the lease.

use crate::{
    AnnounceReply, Announcement, Candidate, Cause, Effect, LeaseConfig, LeaseRelease, LeaseView,
    Token,
    record::{Stage, TargetRecord},
};
use pimento_core::{TargetId, Time};
use std::{net::SocketAddr, time::Duration};

/// The maximum number of targets, and of releases, that one VM keeps.
pub(crate) const MAX_TARGETS: usize = 4_096;

/// The number of terms after which a silent target or an unused release is
/// removed.
const FORGET_TERMS: u32 = 10;

/// The announcement interval until a target has echoed an offer or has reached
/// the VM that it was referred to.
const HANDSHAKE_INTERVAL: Duration = Duration::from_millis(20);

/// The leases that one entry VM holds, has offered or has released.
#[derive(Debug)]
pub struct Leases {
    pub(crate) config: LeaseConfig,
    /// Sorted by target.
    pub(crate) records: Vec<TargetRecord>,
    /// Releases by other VMs and when they were received, sorted by target.
    pub(crate) releases: Vec<(Time, LeaseRelease)>,
    /// The newest serial; serials are unique within the process.
    pub(crate) serial: u64,
}

/// How to reply to an announcement.
enum ReplyKind {
    /// With this VM's own token.
    OwnToken,
    /// With a referral to another VM.
    Refer(SocketAddr),
}

impl Leases {
    /// Creates an instance without leases.
    pub fn new(config: LeaseConfig) -> Self {
        Self {
            config,
            records: Vec::new(),
            releases: Vec::new(),
            serial: 0,
        }
    }

    /// Handles an announcement and returns the reply to it.
    ///
    /// `live` lists the entry VMs of the failure domain that seem to be live.
    /// It decides which VM is offered the lease, but the safety of the lease
    /// doesn't depend on it. A VM that is stopping excludes itself, and then
    /// takes no lease that another VM could take.
    pub fn handle_announcement(
        &mut self,
        now: Time,
        ann: &Announcement,
        live: &[Candidate],
    ) -> (AnnounceReply, Vec<Effect>) {
        let mut effects = Vec::new();
        let i = self.record_index(now, ann);
        expire_lease(now, &mut self.records[i], &mut effects);
        self.reset_restarted(now, i, ann, &mut effects);
        let reply_kind = if self.echoes_own_epoch(i, ann) {
            self.handle_echo(now, i, ann, &mut effects);
            ReplyKind::OwnToken
        } else {
            self.handle_foreign(now, i, ann, live, &mut effects)
        };
        let reply = match reply_kind {
            ReplyKind::OwnToken => self.token_reply(now, i),
            ReplyKind::Refer(to) => self.referral_reply(ann, to),
        };
        (reply, effects)
    }

    /// Ends expired leases and removes targets that stopped announcing
    /// themselves.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for record in &mut self.records {
            expire_lease(now, record, &mut effects);
            if record.expire_inherited(now, &self.config) {
                effects.push(changed_effect(record));
            }
        }
        let max_silence = self.config.term * FORGET_TERMS;
        self.records.retain(|r| {
            let is_held = matches!(r.stage, Stage::Held { .. });
            is_held || now.since(r.last_heard) < max_silence
        });
        self.releases.retain(|(at, _)| now.since(*at) < max_silence);
        effects
    }

    /// Until when this VM may send to a target; `None` if it may not send now.
    ///
    /// This must be checked again right before each request is sent: the
    /// process may have been paused since the last check.
    pub fn send_deadline(&self, now: Time, target: &TargetId) -> Option<Time> {
        let record = &self.records[self.find(target).ok()?];
        match record.stage {
            Stage::Held {
                valid_from,
                valid_until,
            } if valid_from <= now && now < valid_until => Some(valid_until),
            _ => None,
        }
    }

    /// Starts or ends an operator's drain of a target.
    pub fn set_drained(&mut self, target: &TargetId, drained: bool) -> Vec<Effect> {
        let Ok(i) = self.find(target) else {
            return Vec::new();
        };
        let record = &mut self.records[i];
        record.drained = drained;
        vec![changed_effect(record)]
    }

    /// Sets the number of this VM's own requests that a target runs, so that
    /// load reports can tell them from those of a former holder.
    pub fn set_used_slots(&mut self, target: &TargetId, used: u32) {
        if let Ok(i) = self.find(target) {
            self.records[i].set_used_slots(used);
        }
    }

    /// All leases that this VM holds, including those it may not use yet,
    /// sorted by target.
    pub fn held_leases(&self, now: Time) -> impl Iterator<Item = LeaseView<'_>> {
        let views = self.records.iter().filter_map(TargetRecord::lease_view);
        views.filter(move |view| now < view.valid_until)
    }

    /// The lease on a target, if this VM holds it.
    pub fn held_lease(&self, now: Time, target: &TargetId) -> Option<LeaseView<'_>> {
        let view = self.records[self.find(target).ok()?].lease_view()?;
        (now < view.valid_until).then_some(view)
    }

    pub(crate) fn find(&self, target: &TargetId) -> Result<usize, usize> {
        self.records
            .binary_search_by(|r| r.announcement.target.cmp(target))
    }

    /// The index of the target's record, which is created if it doesn't exist.
    fn record_index(&mut self, now: Time, ann: &Announcement) -> usize {
        if self.records.len() >= MAX_TARGETS && self.find(&ann.target).is_err() {
            self.evict_oldest();
        }
        match self.find(&ann.target) {
            Ok(i) => i,
            Err(i) => {
                self.records.insert(i, TargetRecord::new(now, ann));
                i
            }
        }
    }

    /// Removes the target that was silent for longest. Targets whose leases are
    /// held are removed last.
    ///
    /// This is safe: without the record, this VM holds no lease, and treats a
    /// token that it issued like another holder's.
    fn evict_oldest(&mut self) {
        let key = |r: &TargetRecord| (matches!(r.stage, Stage::Held { .. }), r.last_heard);
        let oldest = (0..self.records.len()).min_by_key(|i| key(&self.records[*i]));
        if let Some(i) = oldest {
            self.records.remove(i);
        }
    }

    /// Resets the record of a target whose process restarted.
    ///
    /// The new process doesn't know the old one's token, so another VM may have
    /// become the holder in the meantime. This VM must therefore offer a lease
    /// and wait again.
    fn reset_restarted(
        &mut self,
        now: Time,
        i: usize,
        ann: &Announcement,
        effects: &mut Vec<Effect>,
    ) {
        let record = &mut self.records[i];
        if record.announcement.instance == ann.instance {
            return;
        }
        end_lease(record, Cause::Restarted, effects);
        record.previous_token = None;
        record.store(now, ann);
    }

    /// Whether the announcement echoes this VM's own epoch.
    fn echoes_own_epoch(&self, i: usize, ann: &Announcement) -> bool {
        let record = &self.records[i];
        let is_involved = matches!(
            record.stage,
            Stage::Offered | Stage::Held { .. } | Stage::Lapsed { .. }
        );
        let echoes_token = ann.token.as_ref().is_some_and(|token| {
            token.epoch == record.epoch
                && token.holder == self.config.vm
                && token.instance == self.config.incarnation
        });
        is_involved && echoes_token
    }

    /// Acquires or extends the lease.
    fn handle_echo(&mut self, now: Time, i: usize, ann: &Announcement, effects: &mut Vec<Effect>) {
        let release = self.matching_release(i).cloned();
        let record = &mut self.records[i];
        let serial = ann.token.as_ref().map_or(0, |t| t.serial);
        let was_held = matches!(record.stage, Stage::Held { .. });
        let mut has_changed =
            record.record_echo(now, serial, release.as_ref(), &self.config, ann.load);
        if record.is_newest(serial) {
            has_changed |= record.store(now, ann);
        }
        match record.stage {
            Stage::Held { valid_from, .. } if !was_held => effects.push(Effect::Acquired {
                target: record.announcement.target.clone(),
                valid_from,
                epoch: record.epoch,
            }),
            Stage::Held { .. } if has_changed => effects.push(changed_effect(record)),
            _ => {}
        }
    }

    /// Handles an announcement that doesn't echo this VM's epoch.
    fn handle_foreign(
        &mut self,
        now: Time,
        i: usize,
        ann: &Announcement,
        live: &[Candidate],
        effects: &mut Vec<Effect>,
    ) -> ReplyKind {
        let epoch = ann.token.as_ref().map_or(0, |t| t.epoch);
        let record = &mut self.records[i];
        let is_involved = !matches!(record.stage, Stage::Idle | Stage::Released { .. });
        if is_involved && epoch < record.epoch {
            // Either the announcement was delayed, or the target has not
            // received the offer yet.
            record.update_previous(ann.token.as_ref());
            return ReplyKind::OwnToken;
        }
        if is_involved {
            end_lease(record, Cause::Superseded, effects);
        }
        record.store(now, ann);
        if let Some(to) = self.referral_target(now, i, ann, live) {
            return ReplyKind::Refer(to);
        }
        self.records[i].offer(ann.token.as_ref());
        ReplyKind::OwnToken
    }

    /// A reply with this VM's own token and a new serial.
    fn token_reply(&mut self, now: Time, i: usize) -> AnnounceReply {
        self.serial += 1;
        let record = &mut self.records[i];
        record.record_serial(now, self.serial);
        let interval = match record.stage {
            Stage::Held { .. } => self.config.announce_interval,
            _ => HANDSHAKE_INTERVAL.min(self.config.announce_interval),
        };
        AnnounceReply {
            token: Token {
                epoch: record.epoch,
                holder: self.config.vm.clone(),
                instance: self.config.incarnation,
                serial: self.serial,
            },
            holder: self.config.listener,
            interval_ms: millis(interval),
        }
    }

    /// A reply that refers the target to another VM and leaves its token
    /// unchanged.
    fn referral_reply(&self, ann: &Announcement, to: SocketAddr) -> AnnounceReply {
        // Epoch 0 is lower than that of any lease, so the target does not keep
        // this token.
        let empty_token = || Token {
            epoch: 0,
            holder: self.config.vm.clone(),
            instance: self.config.incarnation,
            serial: 0,
        };
        AnnounceReply {
            token: ann.token.clone().unwrap_or_else(empty_token),
            holder: to,
            interval_ms: millis(HANDSHAKE_INTERVAL.min(self.config.announce_interval)),
        }
    }
}

/// Ends the lease if it has expired.
fn expire_lease(now: Time, record: &mut TargetRecord, effects: &mut Vec<Effect>) {
    if let Stage::Held {
        valid_from,
        valid_until,
    } = record.stage
        && valid_until <= now
    {
        record.stage = Stage::Lapsed { valid_from };
        effects.push(Effect::Lost {
            target: record.announcement.target.clone(),
            cause: Cause::Expired,
        });
    }
}

/// Ends this VM's lease or offer at once.
fn end_lease(record: &mut TargetRecord, cause: Cause, effects: &mut Vec<Effect>) {
    let is_held = matches!(record.stage, Stage::Held { .. });
    record.stage = Stage::Idle;
    if is_held {
        effects.push(Effect::Lost {
            target: record.announcement.target.clone(),
            cause,
        });
    }
}

pub(crate) fn changed_effect(record: &TargetRecord) -> Effect {
    Effect::Changed {
        target: record.announcement.target.clone(),
    }
}

fn millis(interval: Duration) -> u64 {
    u64::try_from(interval.as_millis()).unwrap_or(u64::MAX)
}
