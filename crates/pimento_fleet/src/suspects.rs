//! Processes that are left out for a while, since they did not answer.

use pimento_core::Time;
use std::{net::SocketAddr, time::Duration};

/// How long a process is left out at first; each further time doubles it.
const FIRST: Duration = Duration::from_secs(2);
/// The longest that a process is left out without being asked again.
const LONGEST: Duration = Duration::from_secs(16);
/// How long after its return a process is remembered as suspect.
const MEMORY: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Suspect {
    address: SocketAddr,
    span: Duration,
    until: Time,
}

/// Processes that are left out for a while, since they did not answer.
///
/// While most control VMs are away, nobody takes a lost VM off the roster; each
/// time that it is tried again costs requests that wait for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects(Vec<Suspect>);

impl Suspects {
    /// Leaves a process out; whether it was not left out before.
    pub(crate) fn note(&mut self, now: Time, address: SocketAddr) -> bool {
        let news = !self.holds(now, &address);
        let found = self.0.iter().position(|s| s.address == address);
        let span = match found.map(|at| self.0.swap_remove(at)) {
            // Requests that were under way tell the same.
            Some(before) if before.until > now => before.span,
            Some(before) => (before.span * 2).min(LONGEST),
            None => FIRST,
        };
        let until = now + span;
        self.0.push(Suspect {
            address,
            span,
            until,
        });
        news
    }

    /// No longer leaves a process out.
    pub(crate) fn clear(&mut self, address: &SocketAddr) {
        self.0.retain(|s| s.address != *address);
    }

    /// Whether a process is left out now.
    pub(crate) fn holds(&self, now: Time, address: &SocketAddr) -> bool {
        let left_out = |s: &Suspect| s.address == *address && s.until > now;
        self.0.iter().any(left_out)
    }

    /// Forgets processes that have been back for long.
    pub(crate) fn forget(&mut self, now: Time) {
        self.0.retain(|s| s.until + MEMORY > now);
    }
}
