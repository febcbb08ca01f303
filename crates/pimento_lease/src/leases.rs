//! The entry VM's side of the lease.

use crate::{
    AnnounceReply, Announcement, Candidate, Cause, Effect, LeaseConfig, LeaseRelease, LeaseView,
    Token,
    record::{Record, Stage},
};
use pimento_core::{TargetId, Time};
use std::{net::SocketAddr, time::Duration};

/// The most targets that one VM keeps in mind.
pub(crate) const MAX_TARGETS: usize = 4_096;

/// The terms after which a silent target or an unused release is forgotten.
const FORGET: u32 = 10;

/// The interval before the echo of an offer or a visit to another VM.
const HURRY: Duration = Duration::from_millis(20);

/// The leases that one entry VM holds, offers or has given up.
#[derive(Debug)]
pub struct Leases {
    pub(crate) config: LeaseConfig,
    /// Ascending by target.
    pub(crate) records: Vec<Record>,
    /// Releases by other VMs, ascending by target.
    pub(crate) releases: Vec<(Time, LeaseRelease)>,
    /// The newest serial; serials are unique within the process.
    pub(crate) serial: u64,
}

/// What an announcement leads to.
enum Answer {
    /// This VM's own token.
    Own,
    /// Another VM.
    Refer(SocketAddr),
}

impl Leases {
    /// No leases yet.
    pub fn new(config: LeaseConfig) -> Self {
        Self {
            config,
            records: Vec::new(),
            releases: Vec::new(),
            serial: 0,
        }
    }

    /// Takes an announcement and gives the reply to it.
    ///
    /// `live` lists the entry VMs of the failure domain that seem alive. It
    /// decides who is offered the lease, and the safety of the lease doesn't
    /// rest on it. A VM that is stopping leaves itself out, and then takes no
    /// lease that another one could.
    pub fn handle_announcement(
        &mut self,
        now: Time,
        ann: &Announcement,
        live: &[Candidate],
    ) -> (AnnounceReply, Vec<Effect>) {
        let mut effects = Vec::new();
        let i = self.record(now, ann);
        expire(now, &mut self.records[i], &mut effects);
        self.renew(now, i, ann, &mut effects);
        let answer = if self.is_own(i, ann) {
            self.echo(now, i, ann, &mut effects);
            Answer::Own
        } else {
            self.decide(now, i, ann, live, &mut effects)
        };
        let reply = match answer {
            Answer::Own => self.own_reply(now, i),
            Answer::Refer(to) => self.referral(ann, to),
        };
        (reply, effects)
    }

    /// Ends leases that ran out and forgets targets that have gone.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for record in &mut self.records {
            expire(now, record, &mut effects);
            if record.end_carry(now, &self.config) {
                effects.push(changed(record));
            }
        }
        let old = self.config.term * FORGET;
        self.records.retain(|r| {
            let held = matches!(r.stage, Stage::Held { .. });
            held || now.since(r.last_heard) < old
        });
        self.releases.retain(|(at, _)| now.since(*at) < old);
        effects
    }

    /// Until when this VM may send to a target, if it may now.
    ///
    /// Ask again right before each dispatch: the process may have been paused
    /// since the last answer.
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

    /// Starts or ends an operator's drain of a held target.
    pub fn set_drained(&mut self, target: &TargetId, drained: bool) -> Vec<Effect> {
        let Ok(i) = self.find(target) else {
            return Vec::new();
        };
        let record = &mut self.records[i];
        record.drained = drained;
        vec![changed(record)]
    }

    /// Notes how many of this VM's own requests a target runs, so that reports
    /// can tell them from those of a former holder.
    pub fn set_used_slots(&mut self, target: &TargetId, used: u32) {
        if let Ok(i) = self.find(target) {
            self.records[i].set_used_slots(used);
        }
    }

    /// The held leases, those that still wait included, ascending by target.
    pub fn held_leases(&self, now: Time) -> impl Iterator<Item = LeaseView<'_>> {
        let views = self.records.iter().filter_map(Record::lease_view);
        views.filter(move |view| now < view.valid_until)
    }

    /// One held lease.
    pub fn held_lease(&self, now: Time, target: &TargetId) -> Option<LeaseView<'_>> {
        let view = self.records[self.find(target).ok()?].lease_view()?;
        (now < view.valid_until).then_some(view)
    }

    pub(crate) fn find(&self, target: &TargetId) -> Result<usize, usize> {
        self.records
            .binary_search_by(|r| r.facts.target.cmp(target))
    }

    /// The index of the target's record, which is created if there is none.
    fn record(&mut self, now: Time, ann: &Announcement) -> usize {
        if self.records.len() >= MAX_TARGETS && self.find(&ann.target).is_err() {
            self.evict();
        }
        match self.find(&ann.target) {
            Ok(i) => i,
            Err(i) => {
                self.records.insert(i, Record::new(now, ann));
                i
            }
        }
    }

    /// Forgets the target that was silent for longest, a held one last.
    ///
    /// Forgetting is safe: without its record, this VM holds nothing, and a
    /// token that it issued counts as another holder's.
    fn evict(&mut self) {
        let key = |r: &Record| (matches!(r.stage, Stage::Held { .. }), r.last_heard);
        let oldest = (0..self.records.len()).min_by_key(|i| key(&self.records[*i]));
        if let Some(i) = oldest {
            self.records.remove(i);
        }
    }

    /// Starts over with a target whose process restarted.
    ///
    /// The new process knows nothing of the old one's token, so another VM may
    /// have been made holder between: this VM has to offer and wait again.
    fn renew(&mut self, now: Time, i: usize, ann: &Announcement, effects: &mut Vec<Effect>) {
        let record = &mut self.records[i];
        if record.facts.instance == ann.instance {
            return;
        }
        lose(record, Cause::Restarted, effects);
        record.prev = None;
        record.update(now, ann);
    }

    /// Whether the announcement echoes this VM's own epoch.
    fn is_own(&self, i: usize, ann: &Announcement) -> bool {
        let record = &self.records[i];
        let ours = matches!(
            record.stage,
            Stage::Offered | Stage::Held { .. } | Stage::Lapsed { .. }
        );
        let echo = ann.token.as_ref().is_some_and(|token| {
            token.epoch == record.epoch
                && token.holder == self.config.vm
                && token.instance == self.config.instance
        });
        ours && echo
    }

    /// Takes up or extends the lease.
    fn echo(&mut self, now: Time, i: usize, ann: &Announcement, effects: &mut Vec<Effect>) {
        let release = self.matching(i).cloned();
        let record = &mut self.records[i];
        let serial = ann.token.as_ref().map_or(0, |t| t.serial);
        let before = matches!(record.stage, Stage::Held { .. });
        let mut differs = record.echo(now, serial, release.as_ref(), &self.config, ann.load);
        if record.is_newest(serial) {
            differs |= record.update(now, ann);
        }
        match record.stage {
            Stage::Held { valid_from, .. } if !before => effects.push(Effect::Acquired {
                target: record.facts.target.clone(),
                valid_from,
                epoch: record.epoch,
            }),
            Stage::Held { .. } if differs => effects.push(changed(record)),
            _ => {}
        }
    }

    /// Decides about an announcement that doesn't echo this VM's epoch.
    fn decide(
        &mut self,
        now: Time,
        i: usize,
        ann: &Announcement,
        live: &[Candidate],
        effects: &mut Vec<Effect>,
    ) -> Answer {
        let epoch = ann.token.as_ref().map_or(0, |t| t.epoch);
        let record = &mut self.records[i];
        let ours = !matches!(record.stage, Stage::Idle | Stage::Released { .. });
        if ours && epoch < record.epoch {
            // The announcement was delayed, or the offer has yet to arrive.
            record.follow(ann.token.as_ref());
            return Answer::Own;
        }
        if ours {
            lose(record, Cause::Superseded, effects);
        }
        record.update(now, ann);
        if let Some(to) = self.refer(now, i, ann, live) {
            return Answer::Refer(to);
        }
        self.records[i].offer(ann.token.as_ref());
        Answer::Own
    }

    /// A reply with this VM's own token and a new serial.
    fn own_reply(&mut self, now: Time, i: usize) -> AnnounceReply {
        self.serial += 1;
        let record = &mut self.records[i];
        record.issue(now, self.serial);
        let interval = match record.stage {
            Stage::Held { .. } => self.config.announce_interval,
            _ => HURRY.min(self.config.announce_interval),
        };
        AnnounceReply {
            token: Token {
                epoch: record.epoch,
                holder: self.config.vm.clone(),
                instance: self.config.instance,
                serial: self.serial,
            },
            holder: self.config.listener,
            interval_ms: millis(interval),
        }
    }

    /// A reply that sends the target to another VM and leaves its token alone.
    fn referral(&self, ann: &Announcement, to: SocketAddr) -> AnnounceReply {
        // Epoch 0 is below every lease, so the target keeps nothing of it.
        let none = || Token {
            epoch: 0,
            holder: self.config.vm.clone(),
            instance: self.config.instance,
            serial: 0,
        };
        AnnounceReply {
            token: ann.token.clone().unwrap_or_else(none),
            holder: to,
            interval_ms: millis(HURRY.min(self.config.announce_interval)),
        }
    }
}

/// Ends the lease if it ran out.
fn expire(now: Time, record: &mut Record, effects: &mut Vec<Effect>) {
    if let Stage::Held {
        valid_from,
        valid_until,
    } = record.stage
        && valid_until <= now
    {
        record.stage = Stage::Lapsed { valid_from };
        effects.push(Effect::Lost {
            target: record.facts.target.clone(),
            cause: Cause::Expired,
        });
    }
}

/// Ends this VM's part in the lease at once.
fn lose(record: &mut Record, cause: Cause, effects: &mut Vec<Effect>) {
    let held = matches!(record.stage, Stage::Held { .. });
    record.stage = Stage::Idle;
    if held {
        effects.push(Effect::Lost {
            target: record.facts.target.clone(),
            cause,
        });
    }
}

pub(crate) fn changed(record: &Record) -> Effect {
    Effect::Changed {
        target: record.facts.target.clone(),
    }
}

fn millis(interval: Duration) -> u64 {
    u64::try_from(interval.as_millis()).unwrap_or(u64::MAX)
}
