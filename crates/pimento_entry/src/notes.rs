//! HTTP handlers for release notes.

use crate::{
    problem::Problem,
    shared::{Shared, unix_millis},
};
use actix_web::{HttpResponse, http::StatusCode, web};
use pimento_control::{ControlError, QueryKind, StateQuery};
use pimento_core::Verdict;
use pimento_log::{Event, event};
use pimento_rules::{Note, NoteError};
use pimento_state::{Command, Effect, NoteRecord, NoteResult};
use serde::Serialize;

/// Number of notes that the history lists.
const HISTORY_LENGTH: u64 = 200;

/// The response to an accepted note.
#[derive(Debug, Serialize)]
struct Accepted {
    number: u64,
    digest: String,
    /// The version of the rules that results from the note.
    version: u64,
    /// Whether the same note had been accepted before.
    again: bool,
}

/// Applies a release note.
pub(crate) async fn apply(
    body: web::Bytes,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let text = std::str::from_utf8(&body).map_err(|e| {
        let detail = format!("the note is not UTF-8: {e}");
        Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "bad-note", detail)
    })?;
    let note = Note::parse(text).map_err(|e| malformed_note(&shared, &e))?;
    let command = Command::note(unix_millis(), &note);
    let outcome = shared
        .control
        .propose(&command)
        .await
        .map_err(control_problem)?;
    let result = match outcome.effect {
        Some(Effect::Note(outcome)) => outcome.kind,
        _ => None,
    };
    note_response(&shared, result)
}

fn malformed_note(shared: &Shared, error: &NoteError) -> Problem {
    event!(shared.log, Event::NoteRefused, "reason" => %error);
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    Problem::not_run(status, "bad-note", error.to_string()).with_field(error.field())
}

fn note_response(shared: &Shared, result: Option<NoteResult>) -> Result<HttpResponse, Problem> {
    let (status, title, detail) = match result {
        Some(NoteResult::Accepted(record)) => return Ok(accepted_response(&record, false)),
        Some(NoteResult::AlreadyAccepted(record)) => return Ok(accepted_response(&record, true)),
        Some(NoteResult::Refused(error)) => {
            event!(shared.log, Event::NoteRefused, "reason" => &error.detail);
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return Err(Problem::not_run(status, "bad-note", error.detail).with_field(error.field));
        }
        Some(NoteResult::Conflict(record)) => {
            let digest = digest(&record);
            let detail = format!("note {} was accepted with digest {digest}", record.number);
            (StatusCode::CONFLICT, "conflict", detail)
        }
        Some(NoteResult::Gap(expected)) => (
            StatusCode::CONFLICT,
            "gap",
            format!("the next note has number {expected}"),
        ),
        Some(NoteResult::Forgotten(oldest)) => {
            let detail = format!("notes before {oldest} are no longer remembered");
            (StatusCode::CONFLICT, "forgotten", detail)
        }
        None => {
            let detail = "the control group returned no outcome".to_owned();
            (StatusCode::INTERNAL_SERVER_ERROR, "control", detail)
        }
    };
    Err(Problem::not_run(status, title, detail).with_field("number"))
}

fn digest(record: &NoteRecord) -> String {
    record
        .digest()
        .map(|digest| digest.to_string())
        .unwrap_or_default()
}

fn accepted_response(record: &NoteRecord, again: bool) -> HttpResponse {
    HttpResponse::Ok().json(Accepted {
        number: record.number,
        digest: digest(record),
        version: record.number,
        again,
    })
}

/// Maps an error of the control group. After a lost answer, the command may
/// have been committed.
pub(crate) fn control_problem(error: ControlError) -> Problem {
    let status = match error.verdict {
        Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        Verdict::MayHaveRun | Verdict::Ran => StatusCode::GATEWAY_TIMEOUT,
    };
    Problem::new(status, "control", error.to_string()).with_verdict(error.verdict)
}

/// Lists the newest notes.
pub(crate) async fn history(shared: web::Data<Shared>) -> Result<HttpResponse, Problem> {
    show_state(&shared, QueryKind::History(HISTORY_LENGTH)).await
}

/// Shows one note.
pub(crate) async fn show(
    number: web::Path<u64>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    show_state(&shared, QueryKind::Note(number.into_inner())).await
}

/// Reads a part of the replicated state.
pub(crate) async fn show_state(shared: &Shared, kind: QueryKind) -> Result<HttpResponse, Problem> {
    let json = shared
        .control
        .query_state(StateQuery::new(kind))
        .await
        .map_err(control_problem)?;
    if json.is_empty() {
        let detail = "the control group has no such entry";
        return Err(Problem::new(StatusCode::NOT_FOUND, "not-found", detail));
    }
    Ok(HttpResponse::Ok()
        .content_type("application/json")
        .body(json))
}
