//! Stand-ins and cases of the second review. See `review/REPORT-2.md`.
//!
//! `review-2 CASE --kit FOLDER --record FILE [--trouble 0]` plays a case: it exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod args;
mod bodies;
mod clients;
mod http;
mod leaving;
mod limit;
mod poison;
mod upstream;
mod world;

use std::{
    path::PathBuf,
    time::{SystemTime, UNIX_EPOCH},
};

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// What a case needs.
pub struct Case {
    pub kit: PathBuf,
    pub record: PathBuf,
    pub trouble: bool,
}

pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// A checksum of a body (FNV-1a).
pub fn checksum(body: &[u8]) -> u64 {
    let step = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    body.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

fn main() {
    let mut words = std::env::args().skip(1);
    let name = words.next().unwrap_or_default();
    let args = args::Args(words.collect());
    if name == "upstream" {
        return upstream::run(&args);
    }
    let case = Case {
        kit: PathBuf::from(args.text("kit")),
        record: PathBuf::from(args.text("record")),
        trouble: args.get("trouble").as_deref() != Some("0"),
    };
    let verdict = match name.as_str() {
        "bodies" => bodies::run(&case),
        "leaving" => leaving::run(&case),
        "limit" => limit::run(&case),
        "poison" => poison::run(&case),
        _ => Verdict::NotRun(format!("there is no case {name:?}")),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    println!("{text}");
    std::process::exit(code);
}
