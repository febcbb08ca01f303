//! What targets say of themselves in their responses: that they leave, that they
//! want no requests for a while, or how many they take.

use crate::StatedLimit;
use pimento_core::Time;
use std::{sync::Arc, time::Duration};

/// The longest pause that a target can ask for; a longer one is an error of the
/// target and is cut to this.
pub const MAX_PAUSE: Duration = Duration::from_mins(5);

/// The maximum number of incarnations whose notices are kept.
const MAX_NOTICES: usize = 4_096;

/// What a target says of itself in one response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// The target shuts down and accepts no further requests.
    pub leaving: bool,
    /// How long the target wants no requests.
    pub pause: Option<Duration>,
    /// What the target last said of the requests that it takes; `None` if it
    /// never named a limit.
    pub limit: Option<StatedLimit>,
}

impl TargetNotice {
    /// The target said nothing.
    pub const NONE: Self = Self {
        leaving: false,
        pause: None,
        limit: None,
    };
}

/// Why a target gets no requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hold {
    /// It shuts down.
    Leaving,
    /// It wants no requests for this much longer.
    Paused(Duration),
}

/// A pause of a target that is over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedPause {
    /// The name of the target.
    pub target: Arc<str>,
    /// The target's incarnation.
    pub incarnation: u64,
    /// How long ago the pause ended.
    pub ended_for: Duration,
}

/// What one incarnation of a target has said.
#[derive(Clone, Debug)]
struct Entry {
    target: Arc<str>,
    incarnation: u64,
    leaving: bool,
    paused_until: Time,
    /// The newest limit and when it was stated.
    limit: Option<(Time, StatedLimit)>,
    last_heard: Time,
}

impl Entry {
    /// Whether nothing that was said is in force any more. A limit is, until the
    /// target states that there is none.
    fn is_over(&self, now: Time) -> bool {
        let has_limit = self.limit.is_some_and(|(_, limit)| limit.rate.is_some());
        !self.leaving && !has_limit && self.paused_until <= now
    }

    /// Keeps the limit that was stated last; reports arrive in any order.
    fn record_limit(&mut self, now: Time, limit: StatedLimit) {
        let stated_at = now - limit.age;
        if self.limit.is_none_or(|(at, _)| at <= stated_at) {
            self.limit = Some((stated_at, limit));
        }
    }
}

/// The notices that a VM has received, by the target's name and incarnation.
///
/// A notice binds one incarnation only, so that a target that restarts under the
/// same name or address gets requests at once. A pause ends by itself; leaving
/// lasts as long as the incarnation. See `docs/design/notices.md`.
#[derive(Clone, Debug, Default)]
pub struct TargetNotices {
    /// Sorted by name and incarnation.
    entries: Vec<Entry>,
}

impl TargetNotices {
    /// Records a notice. It never shortens an earlier pause: responses to
    /// concurrent requests arrive in any order. Of limits, the one that was
    /// stated last counts; that there is none counts only if one was stated
    /// before.
    ///
    /// Returns what is new: that the target leaves, a pause of a target that did
    /// not pause before, or another limit.
    pub fn record(
        &mut self,
        now: Time,
        target: &Arc<str>,
        incarnation: u64,
        notice: TargetNotice,
    ) -> TargetNotice {
        let says_limit =
            |limit: StatedLimit| limit.rate.is_some() || self.find(target, incarnation).is_ok();
        let notice = TargetNotice {
            limit: notice.limit.filter(|limit| says_limit(*limit)),
            ..notice
        };
        if notice == TargetNotice::NONE {
            return notice;
        }
        let before = self.notice(now, target, incarnation);
        let at = match self.find(target, incarnation) {
            Ok(at) => at,
            Err(_) => self.insert(now, target, incarnation),
        };
        let entry = &mut self.entries[at];
        entry.last_heard = now;
        entry.leaving |= notice.leaving;
        if let Some(pause) = notice.pause {
            entry.paused_until = entry.paused_until.max(now + pause.min(MAX_PAUSE));
        }
        if let Some(limit) = notice.limit {
            entry.record_limit(now, limit);
        }
        let after = self.notice(now, target, incarnation);
        let rate = |notice: TargetNotice| notice.limit.and_then(|limit| limit.rate);
        TargetNotice {
            leaving: after.leaving && !before.leaving,
            pause: after.pause.filter(|_| before.pause.is_none()),
            limit: after.limit.filter(|_| rate(after) != rate(before)),
        }
    }

    /// Forgets and returns the pauses that have ended.
    pub fn take_ended(&mut self, now: Time) -> Vec<EndedPause> {
        let has_ended = |e: &mut Entry| e.is_over(now);
        let ended = self.entries.extract_if(.., has_ended);
        let paused = ended.filter(|e| e.paused_until > Time::ZERO);
        let ended = paused.map(|e| EndedPause {
            target: e.target,
            incarnation: e.incarnation,
            ended_for: now.since(e.paused_until),
        });
        ended.collect()
    }

    /// What is in force for an incarnation now, with the pause that is left.
    pub fn notice(&self, now: Time, target: &str, incarnation: u64) -> TargetNotice {
        let Ok(at) = self.find(target, incarnation) else {
            return TargetNotice::NONE;
        };
        let entry = &self.entries[at];
        let left = entry.paused_until.since(now);
        TargetNotice {
            leaving: entry.leaving,
            pause: (!left.is_zero()).then_some(left),
            limit: entry.limit.map(|(at, limit)| StatedLimit {
                age: now.since(at),
                ..limit
            }),
        }
    }

    /// Why no request that is meant for an incarnation may be sent now; `None`
    /// if it may.
    ///
    /// Requests name the target and not its incarnation, so that one meant for a
    /// predecessor reaches a later incarnation, and what that one said binds too.
    pub fn hold(&self, now: Time, target: &str, incarnation: u64) -> Option<Hold> {
        let (Ok(first) | Err(first)) = self.find(target, incarnation);
        let entries = self.entries[first..].iter();
        let later = entries.take_while(|e| *e.target == *target);
        let (mut leaving, mut paused_until) = (false, Time::ZERO);
        for entry in later {
            leaving |= entry.leaving;
            paused_until = paused_until.max(entry.paused_until);
        }
        if leaving {
            return Some(Hold::Leaving);
        }
        let left = paused_until.since(now);
        (!left.is_zero()).then_some(Hold::Paused(left))
    }

    /// Forgets what the earlier incarnations of a target said.
    pub fn forget_others(&mut self, target: &str, incarnation: u64) {
        self.entries
            .retain(|e| *e.target != *target || e.incarnation == incarnation);
    }

    /// The number of incarnations whose notices are kept.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no notices are kept.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn find(&self, target: &str, incarnation: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| (&*e.target, e.incarnation).cmp(&(target, incarnation)))
    }

    /// Inserts an entry without notices; returns its index.
    fn insert(&mut self, now: Time, target: &Arc<str>, incarnation: u64) -> usize {
        if self.entries.len() >= MAX_NOTICES {
            self.make_room(now);
        }
        let key = (&**target, incarnation);
        let at = self
            .entries
            .partition_point(|e| (&*e.target, e.incarnation) < key);
        let entry = Entry {
            target: Arc::clone(target),
            incarnation,
            leaving: false,
            paused_until: Time::ZERO,
            limit: None,
            last_heard: now,
        };
        self.entries.insert(at, entry);
        at
    }

    /// Forgets the pauses that have ended; if there are none, the incarnation
    /// that was silent for longest, which has most likely exited.
    fn make_room(&mut self, now: Time) {
        self.entries.retain(|e| !e.is_over(now));
        if self.entries.len() < MAX_NOTICES {
            return;
        }
        let entries = self.entries.iter().enumerate();
        if let Some((oldest, _)) = entries.min_by_key(|(_, e)| e.last_heard) {
            self.entries.remove(oldest);
        }
    }
}
