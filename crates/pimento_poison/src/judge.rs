//! Decides which requests crash targets.

use crate::{
    Fingerprint, Ruling, Verdict,
    evidence::{Evidence, FULL_BLAME, Suspect},
    verdicts::{Room, Verdicts},
};
use pimento_core::Time;
use std::time::Duration;

/// The crashes, without another suspect, after which a request is refused.
const MAX_CRASHES: u32 = 3;
/// How long a request is watched before it is refused. By then all VMs know that an
/// answer acquits it, and one that is no poison has got an answer somewhere.
const WATCH_TIME: Duration = Duration::from_millis(1_200);

/// A decision that this VM made or learned of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The request, the verdict and their version.
    pub ruling: Ruling,
    /// The number of crashed targets that had the request, if this VM decided by its
    /// own evidence.
    pub crashes: Option<u32>,
    /// Whether the request was refused before.
    pub was_refused: bool,
}

/// The evidence and the verdicts that a VM knows.
///
/// Crashes are reported to several VMs, each of which decides by itself; verdicts
/// are merged. So a VM that starts, or that was cut off, needs the verdicts only.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    evidence: Evidence,
    verdicts: Verdicts,
    /// When evidence that has not been considered yet counts.
    due_at: Option<Time>,
}

impl Judge {
    /// Records that a target crashed `age` ago, whichever requests it had: that many
    /// crash together speaks for all of them. `incarnation` is the hash of the
    /// target's name and incarnation.
    pub fn record_end(&mut self, now: Time, incarnation: u64, age: Duration) {
        self.evidence.record_crash(incarnation, now - age);
    }

    /// Records that a target which had a request crashed `age` ago. `incarnation`
    /// is the hash of the target's name and incarnation.
    pub fn record_crash(
        &mut self,
        now: Time,
        incarnation: u64,
        request: Fingerprint,
        age: Duration,
    ) {
        let at = now - age;
        // What was answered since is no poison request.
        let acquitted_at = match self.verdicts.get(request) {
            Some(Verdict::Acquitted) => self.verdicts.decided_at(request),
            _ => None,
        };
        if acquitted_at.is_none_or(|acquitted| acquitted < at)
            && self.evidence.record(incarnation, request, at)
        {
            self.due_at = Some(now);
        }
    }

    /// Decides by the evidence that counts by now. It must be called every few tens
    /// of milliseconds.
    pub fn decide(&mut self, now: Time) -> Vec<Decision> {
        if self.due_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.due_at = self.evidence.next_settling(now);
        let mut decisions = Vec::new();
        for suspect in self.evidence.suspects(now) {
            if let Some(verdict) = self.next_verdict(now, &suspect) {
                let ruling = self.verdicts.decide(now, suspect.request, verdict);
                decisions.push(Decision {
                    ruling,
                    crashes: Some(suspect.crashes),
                    was_refused: false,
                });
            }
        }
        decisions
    }

    /// The verdict that is due on a suspect, if it is another one.
    fn next_verdict(&mut self, now: Time, suspect: &Suspect) -> Option<Verdict> {
        let is_blamed = suspect.blame >= MAX_CRASHES * FULL_BLAME;
        match self.verdicts.get(suspect.request) {
            None | Some(Verdict::Acquitted) => match self.verdicts.room() {
                Room::None => is_blamed.then_some(Verdict::Refused),
                Room::Little if suspect.crashes == 1 => None,
                Room::Little | Room::Enough => {
                    self.be_due_at(now + WATCH_TIME);
                    Some(Verdict::Watched)
                }
            },
            Some(Verdict::Watched) if is_blamed => {
                let refused_at = self.verdicts.decided_at(suspect.request)? + WATCH_TIME;
                if now < refused_at {
                    self.be_due_at(refused_at);
                }
                (now >= refused_at).then_some(Verdict::Refused)
            }
            Some(Verdict::Watched | Verdict::Refused) => None,
        }
    }

    /// Considers the evidence again at this time at the latest.
    fn be_due_at(&mut self, at: Time) {
        self.due_at = Some(self.due_at.map_or(at, |due| due.min(at)));
    }

    /// Acquits a request that got an answer, or whose refusal an operator lifts.
    /// Returns `None` if nothing speaks against it.
    pub fn acquit(&mut self, now: Time, request: Fingerprint) -> Option<Decision> {
        self.evidence.acquit(request);
        let known = self.verdicts.get(request).filter(|v| v.is_open())?;
        Some(Decision {
            ruling: self.verdicts.decide(now, request, Verdict::Acquitted),
            crashes: None,
            was_refused: known == Verdict::Refused,
        })
    }

    /// Records that a refused request came again. Returns the ruling if the other
    /// VMs should be told, so that they remember it as long.
    pub fn renew(&mut self, now: Time, request: Fingerprint) -> Option<Ruling> {
        self.verdicts.renew(now, request)
    }

    /// Merges the rulings of another VM and returns those that are news.
    pub fn merge(&mut self, now: Time, rulings: &[Ruling]) -> Vec<Decision> {
        let mut news = Vec::new();
        for ruling in rulings {
            let known = self.verdicts.get(ruling.request);
            if !self.verdicts.merge(now, ruling) {
                continue;
            }
            if ruling.verdict == Verdict::Acquitted {
                self.evidence.acquit(ruling.request);
            }
            news.push(Decision {
                ruling: *ruling,
                crashes: None,
                was_refused: known == Some(Verdict::Refused),
            });
        }
        news
    }

    /// The rulings that another VM lacks if these are all that it has.
    pub fn missing(&self, now: Time, known: &[Ruling]) -> Vec<Ruling> {
        let other = |own: &Ruling| known.iter().find(|r| r.request == own.request);
        let own = self.verdicts.export(now);
        own.filter(|own| Verdicts::is_newer_than(own, other(own)))
            .collect()
    }

    /// All rulings, for another VM.
    pub fn rulings(&self, now: Time) -> Vec<Ruling> {
        self.verdicts.export(now).collect()
    }

    /// Equal if two VMs have the same verdicts; 0 without any.
    pub const fn digest(&self) -> u64 {
        self.verdicts.digest()
    }

    /// The verdict on a request.
    pub fn verdict(&self, request: Fingerprint) -> Option<Verdict> {
        self.verdicts.get(request)
    }

    /// The verdicts that requests must be compared with, sorted by request.
    pub fn open_verdicts(&self) -> Vec<(Fingerprint, Verdict)> {
        self.verdicts.open().collect()
    }

    /// The number of requests that are remembered, with a verdict or for a crash.
    pub fn memory_entries(&self) -> usize {
        self.evidence.len() + self.verdicts.len()
    }

    /// Forgets what is old. Returns whether a verdict was forgotten.
    pub fn expire(&mut self, now: Time) -> bool {
        self.evidence.expire(now);
        self.verdicts.expire(now)
    }
}
