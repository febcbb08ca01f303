//! What operators can look at in the replicated state.

use crate::{Control, ControlError, Fault, wire::Answer};
use bytes::Bytes;
use pimento_rules::{AcceptedNote, Note};
use pimento_state::{
    State,
    ledger::{ClaimKey, ClaimState, ClaimView},
};
use serde::Serialize;

/// The most notes that a look at the history lists.
const MAX_HISTORY: usize = 1_000;

/// Asks for a part of the state.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct StateQuery {
    /// What to look at.
    #[prost(oneof = "QueryKind", tags = "1, 2, 3")]
    pub kind: Option<QueryKind>,
}

/// The parts of the state that can be looked at.
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum QueryKind {
    /// The note with this number.
    #[prost(uint64, tag = "1")]
    Note(u64),
    /// The newest notes, this many at most.
    #[prost(uint64, tag = "2")]
    History(u64),
    /// A claim.
    #[prost(message, tag = "3")]
    Claim(ClaimKey),
}

/// An accepted note as operators see it.
#[derive(Debug, Serialize)]
struct NoteEntry {
    number: u64,
    digest: String,
    /// When it was proposed, in milliseconds since the Unix epoch.
    time: u64,
    /// Its content, if it is still kept whole.
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<Note>,
}

/// A claim as operators see it.
#[derive(Debug, Serialize)]
struct ClaimEntry {
    state: &'static str,
    /// The end of the holder's time, in milliseconds of the log's time.
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline: Option<u64>,
    /// Whether the answer is stored, once the request ran.
    #[serde(skip_serializing_if = "Option::is_none")]
    stored: Option<bool>,
    holder: String,
    instance: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    resource: Option<String>,
}

impl StateQuery {
    /// A look at one part.
    pub const fn new(kind: QueryKind) -> Self {
        Self { kind: Some(kind) }
    }

    /// Reads the state.
    pub(crate) fn answer(&self, state: &State) -> Answer {
        match &self.kind {
            Some(QueryKind::Note(number)) => json(note(state, *number)),
            Some(QueryKind::History(limit)) => json(Some(history(state, *limit))),
            Some(QueryKind::Claim(slot)) => json(state.ledger().view(slot).map(claim)),
            None => ControlError::not_run(Fault::Malformed).into(),
        }
    }
}

impl Control {
    /// This VM's own view of the group, as an answer.
    pub(crate) fn status_answer(&self) -> Answer {
        json(Some(self.status()))
    }
}

/// Encodes what was found; nothing found is empty.
fn json(found: Option<impl Serialize>) -> Answer {
    let Some(found) = found else {
        return Answer::Json(Bytes::new());
    };
    match serde_json::to_vec(&found) {
        Ok(bytes) => Answer::Json(bytes.into()),
        Err(_) => ControlError::not_run(Fault::Malformed).into(),
    }
}

fn entry(record: AcceptedNote, note: Option<Note>) -> NoteEntry {
    NoteEntry {
        number: record.number,
        digest: record.digest.to_string(),
        time: record.time,
        note,
    }
}

fn note(state: &State, number: u64) -> Option<NoteEntry> {
    let record = state
        .history()
        .rev()
        .find(|record| record.number == number)?;
    Some(entry(record, state.note(number)))
}

fn history(state: &State, limit: u64) -> Vec<NoteEntry> {
    let limit = usize::try_from(limit)
        .unwrap_or(MAX_HISTORY)
        .min(MAX_HISTORY);
    let newest = state.history().rev().take(limit);
    newest.map(|record| entry(record, None)).collect()
}

fn claim(view: ClaimView) -> ClaimEntry {
    let (state, deadline, stored) = match view.state {
        ClaimState::Held { deadline } => ("held", Some(deadline), None),
        ClaimState::Done { stored } => ("done", None, Some(stored)),
        ClaimState::Free => ("free", None, None),
    };
    ClaimEntry {
        state,
        deadline,
        stored,
        holder: view.holder.vm,
        instance: view.holder.incarnation,
        resource: view.resource,
    }
}
