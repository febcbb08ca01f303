//! The command line against servers that refuse, vanish or lose answers.

use std::{
    fs,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Command, Output},
    thread::{JoinHandle, spawn},
};

const NOTE: &str = "number: 2\nadded: {regions: [{name: sapporo}]}\n";
const ACCEPTED: &str = r#"{"number":2,"digest":"ab","version":2}"#;

/// What a server does with one request.
#[derive(Clone, Copy)]
enum Reply {
    /// Closes the connection without an answer.
    Lose,
    /// Answers with a status and a body.
    Say(u16, &'static str),
    /// Announces one byte more than it sends.
    Cut(&'static str),
}

/// A server that follows a script, and the request lines that it got.
fn serve(script: Vec<Reply>) -> (String, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let thread = spawn(move || {
        let answer = |reply| {
            let (stream, _) = listener.accept().expect("a connection");
            answer(stream, reply)
        };
        script.into_iter().map(answer).collect()
    });
    (format!("http://{address}"), thread)
}

fn answer(mut stream: TcpStream, reply: Reply) -> String {
    let line = read_request(&stream);
    let (status, body, len) = match reply {
        Reply::Lose => return line,
        Reply::Say(status, body) => (status, body, body.len()),
        Reply::Cut(body) => (200, body, body.len() + 1),
    };
    let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("a reader");
    stream.write_all(body.as_bytes()).expect("a reader");
    line
}

/// Reads a whole request; its first line.
fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).expect("a request line");
    let mut len = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            len = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).expect("a body");
    first.trim().to_owned()
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a writable folder");
    path
}

fn pimento(server: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pimento"))
        .args(["--server", server, "--timeout", "5"])
        .args(args)
        .output()
        .expect("the program runs")
}

fn apply(server: &str, args: &[&str]) -> Output {
    // Tests run side by side; the server's address tells their files apart.
    let name: String = server.chars().filter(char::is_ascii_digit).collect();
    let path = file(&format!("{name}.yaml"), NOTE);
    let path = path.to_str().expect("a plain path");
    pimento(server, &[&["note", "apply", path], args].concat())
}

fn code(output: &Output) -> Option<i32> {
    output.status.code()
}

/// An address at which nothing listens.
fn nobody() -> String {
    // A port that the system never gives to a listener of another test.
    "http://127.0.0.1:1".to_owned()
}

#[test]
fn lost_answer() {
    let (server, thread) = serve(vec![
        Reply::Lose,
        Reply::Cut(ACCEPTED),
        Reply::Say(200, ACCEPTED),
    ]);
    let output = apply(&server, &["--output", "json"]);
    assert_eq!(code(&output), Some(0), "{output:?}");
    assert_eq!(thread.join().expect("the script").len(), 3);
    let shown: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(shown["version"], 2);
}

#[test]
fn never_answered() {
    let (server, thread) = serve(vec![Reply::Lose, Reply::Lose]);
    let output = apply(&server, &["--within", "0.5"]);
    assert_eq!(code(&output), Some(4), "{output:?}");
    assert_eq!(thread.join().expect("the script").len(), 2);
}

#[test]
fn next_server() {
    let problem = r#"{"detail":"no leader","verdict":"not-run"}"#;
    let (first, one) = serve(vec![Reply::Say(503, problem)]);
    let (second, two) = serve(vec![Reply::Say(200, ACCEPTED)]);
    let second = second.trim_start_matches("http://");
    let servers = format!("{},{first},{second}", nobody());
    let output = apply(&servers, &[]);
    assert_eq!(code(&output), Some(0), "{output:?}");
    one.join().expect("the script");
    two.join().expect("the script");
}

#[test]
fn other_holder() {
    let problem = r#"{"detail":"this VM does not hold it"}"#;
    let (first, one) = serve(vec![Reply::Say(421, problem); 2]);
    let (second, two) = serve(vec![Reply::Say(200, "{}")]);
    let servers = format!("{first},{second}");
    let output = pimento(&servers, &["target", "drain", "t-1"]);
    assert_eq!(code(&output), Some(0), "{output:?}");
    let output = pimento(&first, &["target", "drain", "t-1"]);
    assert_eq!(code(&output), Some(3), "{output:?}");
    one.join().expect("the script");
    two.join().expect("the script");
}

#[test]
fn refusals() {
    let conflict = r#"{"detail":"note 2 was accepted with digest cd","field":"number"}"#;
    let cases = [
        (409, conflict, 3, "digest cd"),
        (422, r#"{"detail":"bad","field":"added.x"}"#, 2, "added.x"),
        (401, r#"{"title":"no-token"}"#, 3, "no-token"),
        (500, "", 1, "no reason"),
    ];
    for (status, body, exit, text) in cases {
        let (server, thread) = serve(vec![Reply::Say(status, body)]);
        let output = apply(&server, &[]);
        assert_eq!(code(&output), Some(exit), "{output:?}");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(said.contains(text), "{said}");
        thread.join().expect("the script");
    }
}

#[test]
fn unreachable() {
    let output = apply(&nobody(), &[]);
    assert_eq!(code(&output), Some(5), "{output:?}");
}

#[test]
fn other_scheme() {
    let output = apply("https://127.0.0.1:1", &[]);
    assert_eq!(code(&output), Some(2), "{output:?}");
}

#[test]
fn wait_for_all() {
    let behind = r#"{"vm":"a","version":2,"vms":[{"vm":"b","alive":true,"version":1},
        {"vm":"c","alive":false,"version":0}],"domains":[{"domain":"d","live":1,"low":1}]}"#;
    let there = r#"{"vm":"a","version":2,"vms":[{"vm":"b","alive":true,"version":2}],
        "domains":[{"domain":"d","live":1,"low":3},{"domain":"e","live":0,"low":0}]}"#;
    let (server, thread) = serve(vec![
        Reply::Say(200, ACCEPTED),
        Reply::Say(200, behind),
        Reply::Say(200, there),
    ]);
    let output = apply(&server, &["--wait"]);
    assert_eq!(code(&output), Some(0), "{output:?}");
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("behind on 2: b, domain d"), "{said}");
    let shown = String::from_utf8_lossy(&output.stdout);
    assert_eq!(shown.trim(), "note 2 is in force on a, b, domain d");
    thread.join().expect("the script");
}

#[test]
fn still_behind() {
    let behind = r#"{"vm":"a","version":1}"#;
    let (server, thread) = serve(vec![Reply::Say(200, ACCEPTED), Reply::Say(200, behind)]);
    let output = apply(&server, &["--wait", "--within", "0.2"]);
    assert_eq!(code(&output), Some(4), "{output:?}");
    thread.join().expect("the script");
}

#[test]
fn local_check() {
    let bad = file(
        "bad.yaml",
        "number: 2\nadded: {regions: [{name: a, reserve: 101}]}\n",
    );
    let output = pimento(&nobody(), &["note", "check", bad.to_str().expect("a path")]);
    assert_eq!(code(&output), Some(2), "{output:?}");
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("added.regions[0].reserve"), "{said}");
}

#[test]
fn once_only() {
    // A change that is not idempotent for sure is never sent twice.
    let (server, thread) = serve(vec![Reply::Lose]);
    let servers = format!("{server},{}", nobody());
    let output = pimento(&servers, &["control", "remove", "vm-1"]);
    assert_eq!(code(&output), Some(4), "{output:?}");
    let lines = thread.join().expect("the script");
    assert_eq!(lines, ["DELETE /v1/control/members/vm-1 HTTP/1.1"]);
}

#[test]
fn escaped_resource() {
    let (server, thread) = serve(vec![Reply::Say(200, r#"{"limit":3,"taken":0}"#)]);
    let output = pimento(&server, &["cap", "set", "sign-ups", "a/b c", "3"]);
    assert_eq!(code(&output), Some(0), "{output:?}");
    let lines = thread.join().expect("the script");
    assert_eq!(lines, ["PUT /v1/caps/sign-ups/a%2Fb%20c HTTP/1.1"]);
}

#[test]
fn cut_backup() {
    let target = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cut.backup");
    drop(fs::remove_file(&target));
    let path = target.to_str().expect("a plain path");
    let (server, thread) = serve(vec![Reply::Cut("state"), Reply::Say(200, "state")]);
    let output = pimento(&server, &["backup", path]);
    assert_eq!(code(&output), Some(5), "{output:?}");
    assert!(!target.exists());
    let output = pimento(&server, &["backup", path]);
    assert_eq!(code(&output), Some(0), "{output:?}");
    assert_eq!(fs::read(&target).expect("the backup"), b"state");
    thread.join().expect("the script");
    fs::remove_file(&target).expect("the backup");
}
