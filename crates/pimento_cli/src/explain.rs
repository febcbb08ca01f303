//! Tells a request's way from the logs of the processes.

use crate::{
    args::Explain,
    exit::{Exit, Failure},
    output::Output,
};
use serde_json::Value;
use std::{fs::File, io::BufRead as _, io::BufReader, path::Path};

/// How long before a request's first line the beliefs of its VM are shown, in
/// lines: those that changed last.
const BELIEFS: usize = 5;

/// The numbers of events that tell what a VM believes; see `docs/EVENTS.md`.
const BELIEF_EVENTS: [u64; 9] = [101, 102, 104, 105, 301, 302, 304, 801, 601];

/// A line of a log.
#[derive(Debug)]
struct Line {
    time: String,
    vm: String,
    event: u64,
    value: Value,
}

/// Prints a request's lines in order, each VM's after what it believed then.
pub fn run(args: &Explain, out: Output) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in &args.logs {
        lines.extend(read(path)?);
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let own: Vec<_> = lines
        .iter()
        .filter(|l| l.value["id"] == args.id.as_str())
        .collect();
    if own.is_empty() {
        let text = format!(
            "no log holds a line about {}; it may have been one of those dropped",
            args.id
        );
        return Err(Failure::new(Exit::Failed, text));
    }
    let first = &own[0];
    let shown: Vec<_> = beliefs(&lines, first).into_iter().chain(own).collect();
    if out.is_json() {
        let values: Vec<_> = shown.iter().map(|l| l.value.clone()).collect();
        println!("{}", Value::Array(values));
        return Ok(());
    }
    for line in shown {
        println!("{}", describe(line));
    }
    Ok(())
}

/// What the VM of a line came to believe last before it.
fn beliefs<'a>(lines: &'a [Line], first: &Line) -> Vec<&'a Line> {
    let before = lines
        .iter()
        .filter(|l| l.vm == first.vm && l.time < first.time);
    let known: Vec<_> = before
        .filter(|l| BELIEF_EVENTS.contains(&l.event))
        .collect();
    let from = known.len().saturating_sub(BELIEFS);
    known[from..].to_vec()
}

fn read(path: &Path) -> Result<Vec<Line>, Failure> {
    let fault = |e: std::io::Error| Failure::new(Exit::Usage, format!("{}: {e}", path.display()));
    let mut lines = Vec::new();
    for text in BufReader::new(File::open(path).map_err(fault)?).lines() {
        lines.extend(parse(&text.map_err(fault)?));
    }
    Ok(lines)
}

/// Reads a line; one that holds no event is none of ours.
fn parse(text: &str) -> Option<Line> {
    let json = &text[text.find('{')?..];
    let value: Value = serde_json::from_str(json).ok()?;
    Some(Line {
        time: value["ts"].as_str()?.to_owned(),
        vm: value["vm"].as_str()?.to_owned(),
        event: value["event"].as_u64()?,
        value,
    })
}

fn describe(line: &Line) -> String {
    let message = line.value["msg"].as_str().unwrap_or_default();
    let fields = line.value.as_object().into_iter().flatten();
    let shown = fields.filter(|(name, value)| !HIDDEN.contains(&name.as_str()) && !value.is_null());
    let shown: Vec<_> = shown
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    format!("{} {} {message} {}", line.time, line.vm, shown.join(" "))
}

/// The fields that every line has, or that were asked for.
const HIDDEN: [&str; 6] = ["ts", "vm", "msg", "level", "event", "id"];

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
