//! Which requests targets had when they crashed, and whom to blame.

use crate::Fingerprint;
use pimento_core::Time;
use std::time::Duration;

/// The blame for a crash whose only suspect is one request.
pub(crate) const FULL_BLAME: u32 = 60;
/// How long after a crash it counts: by then all VMs have reported the requests that
/// the target had.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How long after a crash it counts if many targets crashed together: a request that
/// is not the cause gets an answer elsewhere meanwhile, and is acquitted.
const MASS_SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Crashes within this time of each other may have one cause.
const MASS_WINDOW: Duration = Duration::from_millis(150);
/// The number of other crashes beside one that may show a cause outside of all
/// requests.
const MASS_SIZE: usize = 2;
/// The number of crashes that a request must have met to explain each of them, also
/// those among many that others explain better.
const EXPLAINING_CRASHES: u32 = 3;
/// How long a crash is remembered.
const CRASH_TTL: Duration = Duration::from_mins(10);
/// The maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 1_024;
/// The maximum number of requests that are remembered of one crash: more than the
/// places of any target.
const MAX_REQUESTS: usize = 64;

/// A crash of one incarnation of a target.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    /// The hash of the target's name and incarnation.
    incarnation: u64,
    at: Time,
    /// The requests that the target had, sorted.
    requests: Vec<Fingerprint>,
}

/// A crash, and whether one of its requests explains it.
#[derive(Debug)]
struct Moment<'a> {
    crash: &'a Crash,
    is_explained: bool,
}

/// A request that crashed targets had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Suspect {
    pub request: Fingerprint,
    /// The number of crashed targets that had it.
    pub crashes: u32,
    /// The sum of its blame for each of them, in parts of [`FULL_BLAME`].
    pub blame: u32,
}

/// Which requests targets had when they crashed.
///
/// The blame for a crash goes to those of its requests that met the most crashes,
/// in equal parts: what only ran beside the cause met fewer. Where many targets crash
/// together, as by a loss of power, a request is blamed only if most of them had it
/// or another one explains the rest. The order in which reports arrive makes no
/// difference, so all VMs with the same reports agree.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// Sorted by incarnation.
    crashes: Vec<Crash>,
}

impl Evidence {
    /// Records that a target which had a request crashed. Returns whether that is
    /// new.
    pub(crate) fn record(&mut self, incarnation: u64, request: Fingerprint, at: Time) -> bool {
        let crash = self.record_crash(incarnation, at);
        let Err(place) = crash.requests.binary_search(&request) else {
            return false;
        };
        if crash.requests.len() >= MAX_REQUESTS {
            return false;
        }
        crash.requests.insert(place, request);
        true
    }

    /// Records that a target crashed, whichever requests it had.
    pub(crate) fn record_crash(&mut self, incarnation: u64, at: Time) -> &mut Crash {
        let is_known = self.find(incarnation).is_ok();
        if !is_known && self.crashes.len() >= MAX_CRASHES {
            self.evict();
        }
        let index = self.find(incarnation).unwrap_or_else(|i| {
            let crash = Crash {
                incarnation,
                at,
                requests: Vec::new(),
            };
            self.crashes.insert(i, crash);
            i
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        crash
    }

    fn find(&self, incarnation: u64) -> Result<usize, usize> {
        self.crashes
            .binary_search_by_key(&incarnation, |c| c.incarnation)
    }

    /// Forgets what speaks against a request.
    pub(crate) fn acquit(&mut self, request: Fingerprint) {
        for crash in &mut self.crashes {
            if let Ok(i) = crash.requests.binary_search(&request) {
                crash.requests.remove(i);
            }
        }
    }

    /// Forgets old crashes.
    pub(crate) fn expire(&mut self, now: Time) {
        self.crashes.retain(|c| now.since(c.at) < CRASH_TTL);
    }

    /// The number of requests that are remembered, for each crash.
    pub(crate) fn len(&self) -> usize {
        self.crashes.iter().map(|c| c.requests.len()).sum()
    }

    /// When the next crash counts that doesn't yet.
    pub(crate) fn next_settling(&self, now: Time) -> Option<Time> {
        let spans = [SETTLE_TIME, MASS_SETTLE_TIME];
        let times = self.crashes.iter();
        let times = times.flat_map(|c| spans.map(|span| c.at + span));
        times.filter(|at| *at > now).min()
    }

    /// The requests that crashed targets had.
    pub(crate) fn suspects(&self, now: Time) -> Vec<Suspect> {
        let counts = self.counts();
        let moments = self.moments(&counts);
        let mut blames = vec![0; counts.len()];
        for crash in self.crashes.iter().filter(|c| now >= c.at + SETTLE_TIME) {
            let most = most_suspect(&crash.requests, &counts);
            let share = FULL_BLAME / most.len().max(1) as u32;
            for i in most {
                let (request, crashes) = counts[i];
                if crashes >= 2 && counts_against(now, request, crash.at, &moments) {
                    blames[i] += share;
                }
            }
        }
        let all = counts.into_iter().zip(blames);
        let suspect = |((request, crashes), blame)| Suspect {
            request,
            crashes,
            blame,
        };
        all.map(suspect).collect()
    }

    /// The number of crashes of each request, sorted by request.
    fn counts(&self) -> Vec<(Fingerprint, u32)> {
        let all = self.crashes.iter().flat_map(|c| &c.requests);
        let mut all: Vec<_> = all.copied().collect();
        all.sort_unstable();
        let groups = all.chunk_by(|a, b| a == b);
        groups.map(|g| (g[0], g.len() as u32)).collect()
    }

    /// All crashes in the order of their times.
    fn moments(&self, counts: &[(Fingerprint, u32)]) -> Vec<Moment<'_>> {
        let moment = |crash| Moment {
            crash,
            is_explained: most_crashes(&crash.requests, counts) >= EXPLAINING_CRASHES,
        };
        let mut moments: Vec<_> = self.crashes.iter().map(moment).collect();
        moments.sort_by_key(|m| m.crash.at);
        moments
    }

    /// Forgets the oldest crash that no repeated request met; if there is none, the
    /// oldest of all. A flood of different requests can't displace a suspect.
    fn evict(&mut self) {
        let counts = self.counts();
        let key = |c: &Crash| (most_crashes(&c.requests, &counts) > 1, c.at);
        let oldest = (0..self.crashes.len()).min_by_key(|i| key(&self.crashes[*i]));
        if let Some(i) = oldest {
            self.crashes.remove(i);
        }
    }
}

/// Which of the requests of a crash met the most crashes, as indices of `counts`.
fn most_suspect(requests: &[Fingerprint], counts: &[(Fingerprint, u32)]) -> Vec<usize> {
    let most = most_crashes(requests, counts);
    let indices = requests.iter().filter_map(|r| index_of(*r, counts));
    indices.filter(|i| counts[*i].1 == most).collect()
}

/// Whether a crash at this time speaks against a request that met it.
///
/// It does not if most targets that crashed then did not have the request, nor
/// another one that explains it. If many of them had it, it does once the request
/// had time to be answered by a target that did not crash.
fn counts_against(now: Time, request: Fingerprint, at: Time, moments: &[Moment<'_>]) -> bool {
    let first = moments.partition_point(|m| m.crash.at < at - MASS_WINDOW);
    let end = moments.partition_point(|m| m.crash.at <= at + MASS_WINDOW);
    let (own, others): (Vec<_>, Vec<_>) = moments[first..end]
        .iter()
        .partition(|m| m.crash.requests.binary_search(&request).is_ok());
    let others = others.iter().filter(|m| !m.is_explained).count();
    let is_mass = others >= MASS_SIZE && others > own.len();
    let is_everywhere = own.len() >= EXPLAINING_CRASHES as usize;
    !is_mass || (is_everywhere && now >= at + MASS_SETTLE_TIME)
}

fn most_crashes(requests: &[Fingerprint], counts: &[(Fingerprint, u32)]) -> u32 {
    let indices = requests.iter().filter_map(|r| index_of(*r, counts));
    indices.map(|i| counts[i].1).max().unwrap_or(0)
}

fn index_of(request: Fingerprint, counts: &[(Fingerprint, u32)]) -> Option<usize> {
    counts.binary_search_by_key(&request, |(r, _)| *r).ok()
}
