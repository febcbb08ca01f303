//! Callers that wait for the log.

use crate::{query::StateQuery, wire::Answer};
use pimento_core::Time;
use pimento_rules::RulesPull;
use std::fmt;

/// Where an answer goes.
pub(crate) struct Done(Box<dyn FnOnce(Answer) + Send>);

impl Done {
    pub(crate) fn new(done: impl FnOnce(Answer) + Send + 'static) -> Self {
        Self(Box::new(done))
    }

    pub(crate) fn send(self, answer: impl Into<Answer>) {
        (self.0)(answer.into());
    }
}

impl fmt::Debug for Done {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Done")
    }
}

/// What a confirmed read is for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// Only the index that must be applied.
    Index,
    /// What a VM lacks of the rules.
    Rules(RulesPull),
    /// An operator's look at the state.
    StateQuery(StateQuery),
    /// A backup.
    Backup,
}

/// A caller whose entry is in the log.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub index: u64,
    pub term: u64,
    pub deadline: Time,
    pub done: Done,
}

/// A caller whose read waits for a quorum.
#[derive(Debug)]
pub(crate) struct Reader {
    pub id: u64,
    pub purpose: Purpose,
    pub deadline: Time,
    pub done: Done,
}

/// A local reader that waits until an index is applied here.
#[derive(Debug)]
pub(crate) struct Late {
    pub index: u64,
    pub deadline: Time,
    pub done: Done,
}
