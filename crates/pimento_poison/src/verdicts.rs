//! Verdicts on requests, which all VMs share.

use crate::Fingerprint;
use pimento_core::{Time, hash};
use std::time::Duration;

/// How long a refused request is remembered after its caller last sent it.
const REFUSED_TTL: Duration = Duration::from_mins(10);
/// How long the other verdicts are remembered.
const OTHER_TTL: Duration = Duration::from_mins(2);
/// How often the other VMs are told that a refused request still comes.
const RENEWAL_INTERVAL: Duration = Duration::from_mins(1);
/// The maximum number of verdicts that are remembered.
const MAX_VERDICTS: usize = 512;
/// The number of verdicts from which on there is room for serious suspects only.
const LITTLE_ROOM_VERDICTS: usize = MAX_VERDICTS / 2;

/// How much room there is for verdicts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Room {
    /// For all suspects.
    Enough,
    /// For requests that met several crashes.
    Little,
    /// Another verdict must be forgotten.
    None,
}

/// What is decided of a request, in the order in which concurrent verdicts prevail.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[repr(u8)]
pub enum Verdict {
    /// A crashed target had it; an answer acquits it.
    Watched = 1,
    /// It crashes targets and is sent to none.
    Refused = 2,
    /// It ran well, or an operator lifted the refusal.
    Acquitted = 3,
}

impl Verdict {
    /// The name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Watched => "watched",
            Self::Refused => "refused",
            Self::Acquitted => "acquitted",
        }
    }

    /// The number in messages.
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// The verdict with this number in messages.
    pub fn from_code(code: u32) -> Option<Self> {
        let all = [Self::Watched, Self::Refused, Self::Acquitted];
        all.into_iter().find(|v| v.code() == code)
    }

    /// Whether requests must be compared with it.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Watched | Self::Refused)
    }
}

/// A verdict as VMs exchange it. Clocks of different VMs are never compared, so it
/// carries ages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ruling {
    /// The request.
    pub request: Fingerprint,
    /// What is decided.
    pub verdict: Verdict,
    /// Counts the decisions on this request; the highest prevails.
    pub version: u32,
    /// How long ago it was decided.
    pub age: Duration,
    /// How long ago the request was last refused, or else `age`.
    pub unseen: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: Fingerprint,
    verdict: Verdict,
    version: u32,
    decided_at: Time,
    last_seen: Time,
    /// When the other VMs were last told of `last_seen`.
    published_at: Time,
}

impl Entry {
    fn is_expired(&self, now: Time) -> bool {
        let ttl = match self.verdict {
            Verdict::Refused => REFUSED_TTL,
            Verdict::Watched | Verdict::Acquitted => OTHER_TTL,
        };
        now.since(self.last_seen) >= ttl
    }

    const fn rank(&self) -> (u32, Verdict) {
        (self.version, self.verdict)
    }

    fn export(&self, now: Time) -> Ruling {
        Ruling {
            request: self.request,
            verdict: self.verdict,
            version: self.version,
            age: now.since(self.decided_at),
            unseen: now.since(self.last_seen),
        }
    }
}

/// The verdicts that a VM knows. They can be merged in any order, and repeatedly.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verdicts {
    /// Sorted by request.
    entries: Vec<Entry>,
    /// The XOR of the hashes of all entries; 0 without any.
    digest: u64,
}

impl Verdicts {
    pub(crate) fn get(&self, request: Fingerprint) -> Option<Verdict> {
        self.find(request).ok().map(|i| self.entries[i].verdict)
    }

    /// How much room there is without forgetting a verdict.
    pub(crate) const fn room(&self) -> Room {
        match self.entries.len() {
            0..LITTLE_ROOM_VERDICTS => Room::Enough,
            LITTLE_ROOM_VERDICTS..MAX_VERDICTS => Room::Little,
            _ => Room::None,
        }
    }

    /// When the verdict on a request was made.
    pub(crate) fn decided_at(&self, request: Fingerprint) -> Option<Time> {
        self.find(request).ok().map(|i| self.entries[i].decided_at)
    }

    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) const fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn export(&self, now: Time) -> impl Iterator<Item = Ruling> {
        self.entries.iter().map(move |e| e.export(now))
    }

    /// The verdicts that requests must be compared with, sorted by request.
    pub(crate) fn open(&self) -> impl Iterator<Item = (Fingerprint, Verdict)> {
        let open = self.entries.iter().filter(|e| e.verdict.is_open());
        open.map(|e| (e.request, e.verdict))
    }

    /// Decides anew and returns the ruling for the other VMs.
    pub(crate) fn decide(&mut self, now: Time, request: Fingerprint, verdict: Verdict) -> Ruling {
        let previous = self.find(request).ok().map(|i| self.entries[i].version);
        let entry = Entry {
            request,
            verdict,
            version: previous.unwrap_or(0).saturating_add(1),
            decided_at: now,
            last_seen: now,
            published_at: now,
        };
        self.set(entry);
        entry.export(now)
    }

    /// Merges another VM's ruling. Returns whether it is news for others.
    pub(crate) fn merge(&mut self, now: Time, ruling: &Ruling) -> bool {
        let entry = Entry {
            request: ruling.request,
            verdict: ruling.verdict,
            version: ruling.version,
            decided_at: now - ruling.age,
            last_seen: now - ruling.unseen,
            published_at: now,
        };
        if entry.is_expired(now) {
            return false;
        }
        let Ok(i) = self.find(ruling.request) else {
            self.set(entry);
            return true;
        };
        let known = &mut self.entries[i];
        if entry.rank() > known.rank() {
            self.set(entry);
            return true;
        }
        let is_renewal = entry.rank() == known.rank()
            && entry.last_seen > known.last_seen + RENEWAL_INTERVAL / 2;
        if is_renewal {
            known.last_seen = entry.last_seen;
            known.published_at = now;
        }
        is_renewal
    }

    /// Whether a ruling prevails over the one that another VM has, if any.
    pub(crate) fn is_newer_than(own: &Ruling, ruling: Option<&Ruling>) -> bool {
        let rank = |r: &Ruling| (r.version, r.verdict);
        ruling.is_none_or(|other| rank(own) > rank(other))
    }

    /// Records that a refused request came again. Returns the ruling if the other
    /// VMs should be told.
    pub(crate) fn renew(&mut self, now: Time, request: Fingerprint) -> Option<Ruling> {
        let i = self.find(request).ok()?;
        let entry = &mut self.entries[i];
        entry.last_seen = now;
        if now.since(entry.published_at) < RENEWAL_INTERVAL {
            return None;
        }
        entry.published_at = now;
        Some(entry.export(now))
    }

    /// Forgets expired verdicts. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        let count = self.entries.len();
        self.entries.retain(|e| !e.is_expired(now));
        let has_changed = self.entries.len() < count;
        if has_changed {
            self.digest = self.entries.iter().fold(0, |sum, e| sum ^ entry_hash(e));
        }
        has_changed
    }

    fn find(&self, request: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&request, |e| e.request)
    }

    fn set(&mut self, entry: Entry) {
        self.digest ^= entry_hash(&entry);
        match self.find(entry.request) {
            Ok(i) => {
                self.digest ^= entry_hash(&self.entries[i]);
                self.entries[i] = entry;
            }
            Err(i) => self.entries.insert(i, entry),
        }
        if self.entries.len() > MAX_VERDICTS {
            self.evict();
        }
    }

    /// Forgets the verdict that is missed least: refused requests are kept longest.
    fn evict(&mut self) {
        let key = |e: &Entry| (e.verdict == Verdict::Refused, e.last_seen);
        let least = (0..self.entries.len()).min_by_key(|i| key(&self.entries[*i]));
        if let Some(i) = least {
            self.digest ^= entry_hash(&self.entries.remove(i));
        }
    }
}

fn entry_hash(entry: &Entry) -> u64 {
    let rank = u64::from(entry.version) << 8 | u64::from(entry.verdict.code());
    hash::mix(hash::fnv([entry.request.as_bytes(), &rank.to_le_bytes()]))
}
