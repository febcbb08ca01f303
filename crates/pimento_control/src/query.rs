//! Queries of the replicated state by operators.

use crate::{Control, ControlError, Fault, wire::Response};
use bytes::Bytes;
use pimento_rules::{AcceptedNote, Note};
use pimento_state::{
    State,
    ledger::{ClaimKey, ClaimState, ClaimView},
};
use serde::Serialize;

/// The maximum number of notes in a history.
const MAX_HISTORY: usize = 1_000;

/// A query of a part of the replicated state.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct StateQuery {
    /// The part to read.
    #[prost(oneof = "QueryKind", tags = "1, 2, 3")]
    pub kind: Option<QueryKind>,
}

/// The parts of the state that can be queried.
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum QueryKind {
    /// The release note with this number.
    #[prost(uint64, tag = "1")]
    Note(u64),
    /// The records of at most this many of the newest release notes.
    #[prost(uint64, tag = "2")]
    History(u64),
    /// The claim for this idempotency key.
    #[prost(message, tag = "3")]
    Claim(ClaimKey),
}

/// An accepted note, as shown to operators.
#[derive(Debug, Serialize)]
struct NoteEntry {
    number: u64,
    digest: String,
    /// When the note was proposed, in milliseconds since the Unix epoch.
    time: u64,
    /// The content, if it is still kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<Note>,
}

/// A claim, as shown to operators.
#[derive(Debug, Serialize)]
struct ClaimEntry {
    state: &'static str,
    /// When the holder's claim expires, in milliseconds of the log's time.
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline: Option<u64>,
    /// Whether the request's answer is stored, once it ran.
    #[serde(skip_serializing_if = "Option::is_none")]
    stored: Option<bool>,
    /// The VM of the holder.
    holder: String,
    /// The incarnation of the holder's process.
    instance: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    resource: Option<String>,
}

impl StateQuery {
    /// Creates a query of one part.
    pub const fn new(kind: QueryKind) -> Self {
        Self { kind: Some(kind) }
    }

    /// Runs the query on the state.
    pub(crate) fn run(&self, state: &State) -> Response {
        match &self.kind {
            Some(QueryKind::Note(number)) => json_response(note(state, *number)),
            Some(QueryKind::History(limit)) => json_response(Some(history(state, *limit))),
            Some(QueryKind::Claim(claim_key)) => {
                json_response(state.ledger().view(claim_key).map(claim_entry))
            }
            None => ControlError::not_run(Fault::Malformed).into(),
        }
    }
}

impl Control {
    /// The response with this VM's own view of the group.
    pub(crate) fn status_response(&self) -> Response {
        json_response(Some(self.status()))
    }
}

/// Encodes a result as JSON, or as empty bytes if there is none.
fn json_response(found: Option<impl Serialize>) -> Response {
    let Some(found) = found else {
        return Response::Json(Bytes::new());
    };
    match serde_json::to_vec(&found) {
        Ok(bytes) => Response::Json(bytes.into()),
        Err(_) => ControlError::not_run(Fault::Malformed).into(),
    }
}

fn note_entry(record: AcceptedNote, note: Option<Note>) -> NoteEntry {
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
    Some(note_entry(record, state.note(number)))
}

fn history(state: &State, limit: u64) -> Vec<NoteEntry> {
    let limit = usize::try_from(limit)
        .unwrap_or(MAX_HISTORY)
        .min(MAX_HISTORY);
    let newest_notes = state.history().rev().take(limit);
    newest_notes
        .map(|record| note_entry(record, None))
        .collect()
}

fn claim_entry(view: ClaimView) -> ClaimEntry {
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
