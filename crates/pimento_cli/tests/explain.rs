//! Traces requests through logs.

use std::{
    fs,
    process::{Command, Output},
};

const FRONT_LOG: &str = r#"
   1.2 front-1 {"msg":"rules in force","ts":"2026-01-01T00:00:01Z","vm":"front-1","revision":7,"event":801}
   1.3 front-1 {"msg":"place refused","ts":"2026-01-01T00:00:02Z","vm":"front-1","id":"r1","domain":"a","cause":"all places are taken","event":507}
   no JSON at all
   1.4 front-1 {"msg":"request ended","ts":"2026-01-01T00:00:03Z","vm":"front-1","id":"r1","status":503,"event":503}
"#;
const OTHER_LOG: &str = r#"{"msg":"request ended","ts":"2026-01-01T00:00:02Z","vm":"front-2","id":"r2","status":200,"event":503}
"#;

fn explain(id: &str) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let (front, other) = (folder.path().join("front"), folder.path().join("other"));
    fs::write(&front, FRONT_LOG).expect("a log");
    fs::write(&other, OTHER_LOG).expect("a log");
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimento"));
    let command = command.args(["explain", id]).arg(other).arg(front);
    command.output().expect("the command runs")
}

#[test]
fn sorted_by_time() {
    let out = explain("r1");
    assert!(out.status.success());
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("rules in force revision=7"));
    assert!(lines[1].contains("cause=all places are taken"));
    assert!(lines[2].contains("status=503"));
}

#[test]
fn unknown_request() {
    let out = explain("r9");
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("r9"));
}

#[test]
fn missing_log() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimento"));
    let out = command.args(["explain", "r1", "/nowhere/at/all"]).output();
    let out = out.expect("the command runs");
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("/nowhere/at/all"));
}
