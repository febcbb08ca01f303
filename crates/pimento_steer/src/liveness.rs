//! Which pooled connections may carry which request.

use pimento_core::prelude::*;

/// Remembers when each connection was last proven.
///
/// An open connection can go silent for good while new ones work. A request
/// that must not run twice can't be sent again after silence, so it goes only
/// over a connection that is new or was proven a moment ago.
#[derive(Clone, Debug)]
pub struct Liveness<K> {
    /// How long a proof counts for requests that must not run twice.
    strict: Duration,
    /// How long a proof counts for other requests.
    relaxed: Duration,
    /// The last proof of each connection, by key.
    proofs: Vec<(K, Time)>,
}

impl<K: Clone + Ord> Liveness<K> {
    /// Creates an empty record with the times that a proof counts.
    pub fn new(strict: Duration, relaxed: Duration) -> Self {
        Self {
            strict,
            relaxed,
            proofs: Vec::new(),
        }
    }

    fn find(&self, key: &K) -> Result<usize, usize> {
        self.proofs.binary_search_by(|(known, _)| known.cmp(key))
    }

    /// A connection was opened, or bytes came over it.
    pub fn record_activity(&mut self, now: Time, key: &K) {
        match self.find(key) {
            Ok(i) => self.proofs[i].1 = now,
            Err(i) => self.proofs.insert(i, (key.clone(), now)),
        }
    }

    /// A connection was closed.
    pub fn remove(&mut self, key: &K) {
        if let Ok(i) = self.find(key) {
            self.proofs.remove(i);
        }
    }

    /// Whether a request may use a connection.
    pub fn is_usable(&self, now: Time, key: &K, repeatable: bool) -> bool {
        let limit = if repeatable {
            self.relaxed
        } else {
            self.strict
        };
        let found = self.find(key);
        found.is_ok_and(|i| now.since(self.proofs[i].1) < limit)
    }

    /// Connections that no request may use any more and that can be closed.
    pub fn stale(&self, now: Time) -> impl Iterator<Item = &K> {
        let old = move |(_, proof): &&(K, Time)| now.since(*proof) >= self.relaxed;
        self.proofs.iter().filter(old).map(|(key, _)| key)
    }
}
