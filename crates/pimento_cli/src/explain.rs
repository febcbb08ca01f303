//! Traces a request through the logs of the processes.

use crate::{
    args::Explain,
    exit::{Exit, Failure},
    output::Output,
};
use serde_json::Value;
use std::{fs::File, io::BufRead as _, io::BufReader, path::Path};

/// How many of the VM's latest state changes before the request's first line to
/// show, in lines.
const MAX_STATE_LINES: usize = 5;

/// The numbers of events that change a VM's view of the system; see
/// `docs/EVENTS.md`.
const STATE_EVENTS: [u64; 9] = [101, 102, 104, 105, 301, 302, 304, 801, 601];

/// How many notices of the request's targets before its first line to show, in
/// lines.
const MAX_NOTICE_LINES: usize = 5;

/// The numbers of events of targets that leave, pause and resume; see
/// `docs/EVENTS.md`.
const NOTICE_EVENTS: [u64; 3] = [509, 510, 511];

/// A parsed log line.
#[derive(Debug)]
struct LogLine {
    time: String,
    vm: String,
    event: u64,
    value: Value,
}

impl LogLine {
    /// The target that the line names.
    fn target(&self) -> Option<&str> {
        self.value["target"].as_str()
    }
}

/// Prints the log lines of a request in order of time, with the latest state
/// changes of the VM that logged the first one, and with what the request's
/// targets said of themselves to that VM until the request's last line.
pub fn run(args: &Explain, out: Output) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in &args.logs {
        lines.extend(read_log(path)?);
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let matching: Vec<_> = lines
        .iter()
        .filter(|l| l.value["id"] == args.id.as_str())
        .collect();
    if matching.is_empty() {
        let text = format!(
            "no log line has the request id {}; its lines may have been dropped",
            args.id
        );
        return Err(Failure::new(Exit::Failed, text));
    }
    let first = &matching[0];
    let mut shown = state_changes_before(&lines, first);
    shown.extend(target_notices(&lines, &matching));
    shown.extend(&matching);
    shown.sort_by(|a, b| a.time.cmp(&b.time));
    if out.is_json() {
        let values: Vec<_> = shown.iter().map(|l| l.value.clone()).collect();
        println!("{}", Value::Array(values));
        return Ok(());
    }
    for line in shown {
        println!("{}", format_line(line, &args.id));
    }
    Ok(())
}

/// The latest lines with state changes of the same VM before a line.
fn state_changes_before<'a>(lines: &'a [LogLine], first: &LogLine) -> Vec<&'a LogLine> {
    let before = lines
        .iter()
        .filter(|l| l.vm == first.vm && l.time < first.time);
    let changes: Vec<_> = before.filter(|l| STATE_EVENTS.contains(&l.event)).collect();
    let from = changes.len().saturating_sub(MAX_STATE_LINES);
    changes[from..].to_vec()
}

/// The lines in which the request's targets leave, pause or resume: the latest
/// ones before the request, which may still have bound it, and those during it.
/// Only the VM that logged the first line followed them.
fn target_notices<'a>(lines: &'a [LogLine], matching: &[&LogLine]) -> Vec<&'a LogLine> {
    let (Some(first), Some(last)) = (matching.first(), matching.last()) else {
        return Vec::new();
    };
    let targets: Vec<_> = matching.iter().filter_map(|l| l.target()).collect();
    let is_notice = |l: &&LogLine| {
        let is_own = l.value["id"] == first.value["id"];
        let concerns = l.target().is_some_and(|target| targets.contains(&target));
        NOTICE_EVENTS.contains(&l.event) && l.vm == first.vm && concerns && !is_own
    };
    let until_end = lines.iter().filter(|l| l.time <= last.time);
    let notices: Vec<_> = until_end.filter(is_notice).collect();
    let before = notices.partition_point(|l| l.time < first.time);
    notices[before.saturating_sub(MAX_NOTICE_LINES)..].to_vec()
}

fn read_log(path: &Path) -> Result<Vec<LogLine>, Failure> {
    let to_failure =
        |e: std::io::Error| Failure::new(Exit::Usage, format!("{}: {e}", path.display()));
    let mut lines = Vec::new();
    for text in BufReader::new(File::open(path).map_err(to_failure)?).lines() {
        lines.extend(parse_line(&text.map_err(to_failure)?));
    }
    Ok(lines)
}

/// Parses a line; `None` if it is not a log event of a VM.
fn parse_line(text: &str) -> Option<LogLine> {
    let json = &text[text.find('{')?..];
    let value: Value = serde_json::from_str(json).ok()?;
    Some(LogLine {
        time: value["ts"].as_str()?.to_owned(),
        vm: value["vm"].as_str()?.to_owned(),
        event: value["event"].as_u64()?,
        value,
    })
}

/// Formats a line for the explanation of a request.
fn format_line(line: &LogLine, id: &str) -> String {
    let message = line.value["msg"].as_str().unwrap_or_default();
    let fields = line.value.as_object().into_iter().flatten();
    let is_other = line.value["id"] != id;
    let is_hidden = |name: &str| HIDDEN_FIELDS.contains(&name) || (name == "id" && !is_other);
    let shown = fields.filter(|(name, value)| !is_hidden(name) && !value.is_null());
    let shown: Vec<_> = shown
        .map(|(name, value)| format!("{name}={}", plain_text(value)))
        .collect();
    format!("{} {} {message} {}", line.time, line.vm, shown.join(" "))
}

/// Fields not to print as `name=value`: they are printed elsewhere in the line,
/// or are the same in all lines of an event. The id is hidden too in the lines of
/// the request itself.
const HIDDEN_FIELDS: [&str; 5] = ["ts", "vm", "msg", "level", "event"];

fn plain_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
