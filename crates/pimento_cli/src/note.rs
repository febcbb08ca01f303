//! Release notes.

use crate::{
    args::Note as Command,
    client::{Client, Reply},
    exit::{Exit, Failure},
    output::{Output, lines, progress},
    wait::wait,
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

/// The first pause between two rounds over the servers.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause between two rounds.
const LAST_PAUSE: Duration = Duration::from_secs(2);

/// Runs a command; only `check` needs no server.
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
            out.print(&history, lines);
            Ok(())
        }
        Command::Apply { file, wait, within } => {
            let limit = Instant::now() + within;
            let (note, text) = read(&file)?;
            let client = connect()?;
            let accepted = apply(&client, &text, limit).await?;
            if wait {
                return in_force(&client, note.number, accepted, limit, out).await;
            }
            out.print(&accepted, |_| format!("note {} is accepted", note.number));
            Ok(())
        }
    }
}

/// Waits until an accepted note is in force, and prints where.
async fn in_force(
    client: &Client,
    number: u64,
    mut accepted: Value,
    limit: Instant,
    out: Output,
) -> Result<(), Failure> {
    let vms = wait(client, number, limit).await?;
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
    let (note, _) = read(file)?;
    let document = json!({
        "number": note.number,
        "digest": note.digest().to_string(),
        "added": note.added.len(),
        "changed": note.changed.len(),
        "withdrawn": note.withdrawn.len(),
    });
    out.print(&document, lines);
    Ok(())
}

async fn show(client: &Client, number: Option<u64>, out: Output) -> Result<(), Failure> {
    let number = match number {
        Some(number) => number,
        None => newest(client).await?,
    };
    let note = client.get(&format!("/v1/notes/{number}")).await?;
    out.print(&note, lines);
    Ok(())
}

/// The number of the newest accepted note.
async fn newest(client: &Client) -> Result<u64, Failure> {
    let history = client.get("/v1/notes").await?;
    let notes = history.get("notes").unwrap_or(&history);
    let notes = notes.as_array().into_iter().flatten();
    let numbers = notes.filter_map(|note| note.get("number")?.as_u64());
    let none = || Failure::new(Exit::Refused, "no note has been accepted yet");
    numbers.max().ok_or_else(none)
}

/// Reads and checks a note.
fn read(path: &Path) -> Result<(Note, String), Failure> {
    let fault =
        |fault: &dyn std::fmt::Display| Failure::usage(format!("{}: {fault}", path.display()));
    let mut text = String::new();
    // One byte more than allowed shows that the file is too large.
    let bound = MAX_NOTE_BYTES as u64 + 1;
    let read = if path == Path::new("-") {
        stdin().take(bound).read_to_string(&mut text)
    } else {
        File::open(path).and_then(|file| file.take(bound).read_to_string(&mut text))
    };
    read.map_err(|e| fault(&e))?;
    let note = Note::parse(&text).map_err(|e| fault(&e))?;
    note.check().map_err(|e| fault(&e))?;
    Ok((note, text))
}

/// Sends a note until a server answers for the control group.
///
/// The same note may be sent any number of times, so a lost answer is no
/// reason to stop.
async fn apply(client: &Client, text: &str, limit: Instant) -> Result<Value, Failure> {
    let mut lost = false;
    let mut pause = FIRST_PAUSE;
    loop {
        let (failure, again) = match round(client, text, &mut lost).await {
            Ok(accepted) => return Ok(accepted),
            Err(end) => end,
        };
        if !again || Instant::now() + pause >= limit {
            let exit = if lost && again {
                Exit::Unknown
            } else {
                failure.exit
            };
            return Err(Failure { exit, ..failure });
        }
        progress(format!("{failure}; trying again"));
        actix_rt::time::sleep(pause).await;
        pause = (pause * 2).min(LAST_PAUSE);
    }
}

/// Tries every server once; the failure tells whether to try again.
async fn round(client: &Client, text: &str, lost: &mut bool) -> Result<Value, (Failure, bool)> {
    let mut end = (
        Failure::new(Exit::Unreachable, "no server was tried"),
        false,
    );
    for server in client.servers() {
        let body = text.as_bytes().to_vec();
        match client.send(server, Method::POST, "/v1/notes", body).await {
            Reply::Done(accepted) => return Ok(accepted),
            Reply::Unreachable(text) => end = (Failure::new(Exit::Unreachable, text), *lost),
            Reply::Lost(text) => {
                *lost = true;
                end = (Failure::new(Exit::Unknown, text), true);
            }
            Reply::Refused(status, problem) => {
                let failure = problem.failure(server, status);
                let unsure = failure.exit == Exit::Unknown;
                *lost |= unsure;
                if !unsure && !problem.is_elsewhere(status) {
                    return Err((failure, false));
                }
                end = (failure, true);
            }
        }
    }
    Err(end)
}
