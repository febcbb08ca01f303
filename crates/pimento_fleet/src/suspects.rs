//! Failure suspicion: excludes processes that did not answer for a limited
//! time.

use pimento_core::Time;
use std::{net::SocketAddr, time::Duration};

/// How long a process is excluded the first time; each repetition doubles it.
const INITIAL_EXCLUSION: Duration = Duration::from_secs(2);
/// Upper bound of the exclusion, after which a process is tried again.
const MAX_EXCLUSION: Duration = Duration::from_secs(16);
/// How long after the end of its exclusion a process stays on record, so that
/// another failure doubles the exclusion.
const SUSPECT_MEMORY: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Suspect {
    address: SocketAddr,
    duration: Duration,
    until: Time,
}

/// Processes that are excluded for a while because they did not answer.
///
/// While most control VMs are down, nobody removes a dead VM from the member
/// list. Each time that it is tried again, requests wait for it in vain, hence
/// the exponential backoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects(Vec<Suspect>);

impl Suspects {
    /// Excludes a process. Returns whether it was not excluded already.
    pub(crate) fn record(&mut self, now: Time, address: SocketAddr) -> bool {
        let is_new = !self.is_excluded(now, &address);
        let index = self.0.iter().position(|s| s.address == address);
        let duration = match index.map(|i| self.0.swap_remove(i)) {
            // Other requests that were in flight report the same failure.
            Some(previous) if previous.until > now => previous.duration,
            Some(previous) => (previous.duration * 2).min(MAX_EXCLUSION),
            None => INITIAL_EXCLUSION,
        };
        let until = now + duration;
        self.0.push(Suspect {
            address,
            duration,
            until,
        });
        is_new
    }

    /// Ends the exclusion of a process from which a message arrived.
    pub(crate) fn clear(&mut self, address: &SocketAddr) {
        self.0.retain(|s| s.address != *address);
    }

    /// Whether a process is excluded now.
    pub(crate) fn is_excluded(&self, now: Time, address: &SocketAddr) -> bool {
        let excluded = |s: &Suspect| s.address == *address && s.until > now;
        self.0.iter().any(excluded)
    }

    /// Drops the records of processes whose exclusion ended a while ago.
    pub(crate) fn expire(&mut self, now: Time) {
        self.0.retain(|s| s.until + SUSPECT_MEMORY > now);
    }
}
