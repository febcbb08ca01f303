//! Release notes.

use crate::{
    args::Note as Command,
    client::{Client, Reply},
    exit::{Exit, Failure},
    output::{Output, indented_text, progress},
    wait::wait_until_in_force,
};
use awc::http::Method;
use pimento_rules::{MAX_NOTE_BYTES, Note};
use serde_json::{Value, json};
use std::{
    fs::File,
    io::{Read as _, stdin},
    path::Path,
    time::{Duration, Instant},
};

/// Backoff after the first failed round over all servers; it doubles with each
/// further round.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Runs a `note` subcommand. `check` works offline, so the client is created
/// only for the others.
pub async fn run(
    command: Command,
    connect: impl FnOnce() -> Result<Client, Failure>,
    out: Output,
) -> Result<(), Failure> {
    match command {
        Command::Check { file } => check(&file, out),
        Command::Show { number } => show(&connect()?, number, out).await,
        Command::History => {
            let history = connect()?.get("/v1/notes").await?;
            out.print(&history, indented_text);
            Ok(())
        }
        Command::Apply { file, wait, within } => {
            let deadline = Instant::now() + within;
            let (note, text) = read_note(&file)?;
            let client = connect()?;
            let accepted = apply(&client, &text, deadline).await?;
            if wait {
                return wait_and_print(&client, note.number, accepted, deadline, out).await;
            }
            out.print(&accepted, |_| format!("note {} is accepted", note.number));
            Ok(())
        }
    }
}

/// Waits until an accepted note is in force, and prints the VMs and failure
/// domains that have it.
async fn wait_and_print(
    client: &Client,
    number: u64,
    mut accepted: Value,
    deadline: Instant,
    out: Output,
) -> Result<(), Failure> {
    let vms = wait_until_in_force(client, number, deadline).await?;
    if let Some(fields) = accepted.as_object_mut() {
        fields.insert("in_force".into(), json!(vms));
    }
    out.print(&accepted, |_| {
        format!("note {number} is in force on {}", vms.join(", "))
    });
    Ok(())
}

/// Checks a note without sending it.
fn check(file: &Path, out: Output) -> Result<(), Failure> {
    let (note, _) = read_note(file)?;
    let document = json!({
        "number": note.number,
        "digest": note.digest().to_string(),
        "added": note.added.len(),
        "changed": note.changed.len(),
        "withdrawn": note.withdrawn.len(),
    });
    out.print(&document, indented_text);
    Ok(())
}

async fn show(client: &Client, number: Option<u64>, out: Output) -> Result<(), Failure> {
    let number = match number {
        Some(number) => number,
        None => newest_number(client).await?,
    };
    let note = client.get(&format!("/v1/notes/{number}")).await?;
    out.print(&note, indented_text);
    Ok(())
}

/// The number of the newest accepted note.
async fn newest_number(client: &Client) -> Result<u64, Failure> {
    let history = client.get("/v1/notes").await?;
    let notes = history.get("notes").unwrap_or(&history);
    let notes = notes.as_array().into_iter().flatten();
    let numbers = notes.filter_map(|note| note.get("number")?.as_u64());
    let no_note = || Failure::new(Exit::Refused, "no note has been accepted yet");
    numbers.max().ok_or_else(no_note)
}

/// Reads and checks a note.
fn read_note(path: &Path) -> Result<(Note, String), Failure> {
    let input_failure =
        |error: &dyn std::fmt::Display| Failure::usage(format!("{}: {error}", path.display()));
    let mut text = String::new();
    // One byte more than allowed shows that the file is too large.
    let read_limit = MAX_NOTE_BYTES as u64 + 1;
    let result = if path == Path::new("-") {
        stdin().take(read_limit).read_to_string(&mut text)
    } else {
        File::open(path).and_then(|file| file.take(read_limit).read_to_string(&mut text))
    };
    result.map_err(|e| input_failure(&e))?;
    let note = Note::parse(&text).map_err(|e| input_failure(&e))?;
    note.check().map_err(|e| input_failure(&e))?;
    Ok((note, text))
}

/// Sends a note, with retries, until the control group accepts or refuses it.
///
/// Applying a note is idempotent, so a lost response is retried too.
async fn apply(client: &Client, text: &str, deadline: Instant) -> Result<Value, Failure> {
    let mut in_doubt = false;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let (failure, retry) = match try_all_servers(client, text, &mut in_doubt).await {
            Ok(accepted) => return Ok(accepted),
            Err(failed) => failed,
        };
        if !retry || Instant::now() + backoff >= deadline {
            let exit = if in_doubt && retry {
                Exit::Unknown
            } else {
                failure.exit
            };
            return Err(Failure { exit, ..failure });
        }
        progress(format!("{failure}; retrying"));
        actix_rt::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Tries every server once. The error holds the last failure and whether to
/// retry. `in_doubt` is set once a server may have accepted the note.
async fn try_all_servers(
    client: &Client,
    text: &str,
    in_doubt: &mut bool,
) -> Result<Value, (Failure, bool)> {
    let mut last = (
        Failure::new(Exit::Unreachable, "no server was tried"),
        false,
    );
    for server in client.servers() {
        let body = text.as_bytes().to_vec();
        match client.send(server, Method::POST, "/v1/notes", body).await {
            Reply::Success(accepted) => return Ok(accepted),
            Reply::Unreachable(text) => last = (Failure::new(Exit::Unreachable, text), *in_doubt),
            Reply::Lost(text) => {
                *in_doubt = true;
                last = (Failure::new(Exit::Unknown, text), true);
            }
            Reply::Error(status, problem) => {
                let failure = problem.to_failure(server, status);
                let may_be_accepted = failure.exit == Exit::Unknown;
                *in_doubt |= may_be_accepted;
                if !may_be_accepted && !problem.should_try_next_server(status) {
                    return Err((failure, false));
                }
                last = (failure, true);
            }
        }
    }
    Err(last)
}
