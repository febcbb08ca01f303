//! Decides which pooled connections may carry a request.

use pimento_core::prelude::*;

/// Tracks when each pooled connection last showed activity.
///
/// An open connection can stop delivering data for good while new connections
/// work. A request that must not run twice can't be retried after such silence,
/// so it is only sent over a connection that is new or was active a moment ago.
#[derive(Clone, Debug)]
pub struct Liveness<K> {
    /// The maximum idle time of a connection for requests that must not run
    /// twice.
    strict_idle: Duration,
    /// The maximum idle time of a connection for all other requests.
    relaxed_idle: Duration,
    /// The time of the last activity of each connection, sorted by key.
    last_active: Vec<(K, Time)>,
}

impl<K: Clone + Ord> Liveness<K> {
    /// Creates an empty tracker. `strict` is the maximum idle time for requests
    /// that must not run twice, `relaxed` the one for all others.
    pub fn new(strict: Duration, relaxed: Duration) -> Self {
        Self {
            strict_idle: strict,
            relaxed_idle: relaxed,
            last_active: Vec::new(),
        }
    }

    fn find(&self, key: &K) -> Result<usize, usize> {
        self.last_active
            .binary_search_by(|(known, _)| known.cmp(key))
    }

    /// Records that a connection was opened or received data.
    pub fn record_activity(&mut self, now: Time, key: &K) {
        match self.find(key) {
            Ok(i) => self.last_active[i].1 = now,
            Err(i) => self.last_active.insert(i, (key.clone(), now)),
        }
    }

    /// Forgets a closed connection.
    pub fn remove(&mut self, key: &K) {
        if let Ok(i) = self.find(key) {
            self.last_active.remove(i);
        }
    }

    /// Whether a request may be sent over a connection.
    pub fn is_usable(&self, now: Time, key: &K, repeatable: bool) -> bool {
        let max_idle = if repeatable {
            self.relaxed_idle
        } else {
            self.strict_idle
        };
        let found = self.find(key);
        found.is_ok_and(|i| now.since(self.last_active[i].1) < max_idle)
    }

    /// Connections that no request may use any more and that can be closed.
    pub fn stale(&self, now: Time) -> impl Iterator<Item = &K> {
        let is_stale = move |(_, last): &&(K, Time)| now.since(*last) >= self.relaxed_idle;
        self.last_active.iter().filter(is_stale).map(|(key, _)| key)
    }
}
