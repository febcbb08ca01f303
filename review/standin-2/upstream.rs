//! A stand-in of a server, run as a process of its own.
//!
//! It registers with heartbeats, runs requests for a fixed time, and obeys the lines
//! `leave`, `delete` and `quit` of its standard input. Each event is a line on its
//! standard output, with the time in milliseconds since the Unix epoch.

use crate::{args::Args, checksum, http, now_ms};
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// How often a server reports itself.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a server waits for the answer to a heartbeat before it calls the next node.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// How many nodes a heartbeat is sent to.
const BEAT_TRIES: usize = 3;

struct Server {
    id: String,
    address: SocketAddr,
    service: String,
    zone: String,
    slots: u64,
    /// The `Server-Limit` that it names, if any.
    limit: Option<String>,
    work: Duration,
    /// How long its heartbeats take to arrive.
    delay: Duration,
    controls: Vec<SocketAddr>,
    beat: String,
    born: u64,
    /// How long it is cold after its start, in milliseconds.
    cold_ms: u64,
    seq: AtomicU64,
    running: AtomicU64,
    leaving: AtomicBool,
}

pub fn run(args: &Args) {
    let millis = |name: &str| Duration::from_millis(args.number(name));
    let controls = args.text("controls");
    let server = Arc::new(Server {
        id: args.text("id"),
        address: args.text("address").parse().expect("an address"),
        service: args.text("service"),
        zone: args.text("zone"),
        slots: args.number("slots"),
        limit: args.get("limit"),
        work: millis("work"),
        delay: millis("delay"),
        controls: controls
            .split(',')
            .map(|c| c.parse().expect("an address"))
            .collect(),
        beat: std::fs::read_to_string(args.text("beat")).expect("the body of a heartbeat"),
        born: now_ms(),
        cold_ms: args.number("cold"),
        seq: AtomicU64::new(0),
        running: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
    });
    let listener = TcpListener::bind(server.address).expect("a free address");
    say(&format!("started {} {}", server.id, server.born));
    let (accepting, beating) = (Arc::clone(&server), Arc::clone(&server));
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let server = Arc::clone(&accepting);
            thread::spawn(move || server.serve(tcp));
        }
    });
    thread::spawn(move || {
        loop {
            beating.beat();
            thread::sleep(BEAT_INTERVAL);
        }
    });
    for line in std::io::stdin().lock().lines() {
        match line.unwrap_or_default().as_str() {
            "leave" => {
                server.leaving.store(true, Ordering::SeqCst);
                say(&format!("leaves {}", server.id));
                server.beat();
            }
            "delete" => server.delete(),
            _ => break,
        }
    }
    say(&format!("quits {}", server.id));
}

impl Server {
    fn serve(&self, tcp: TcpStream) {
        tcp.set_nodelay(true).unwrap_or_default();
        let Ok(mut writer) = tcp.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(tcp);
        while let Some(request) = http::read(&mut reader) {
            let Some(response) = self.answer(&request) else {
                return;
            };
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
            if response.contains("Connection: close") {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> Option<String> {
        let load = |running: u64| format!("Server-Load: {running},0,{}\r\n", self.slots);
        let leaving = self.leaving.load(Ordering::SeqCst);
        if request.first.starts_with("GET /health ") {
            let status = if leaving {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            return Some(format!(
                "HTTP/1.1 {status}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            ));
        }
        let id = request.header("request-id")?;
        if request
            .header("expect-instance")
            .is_some_and(|e| e != self.id)
        {
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            ));
        }
        let line = request.first.split(' ').nth(1).unwrap_or_default();
        let (bytes, sum) = (request.body.len(), checksum(&request.body));
        say(&format!(
            "runs {} {id} {line} {bytes} bytes {sum:016x}",
            self.id
        ));
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let leaving = self.leaving.load(Ordering::SeqCst);
        let leaving_header = if leaving {
            "Server-Leaving: 1\r\nConnection: close\r\n"
        } else {
            ""
        };
        say(&format!(
            "ran {} {id}{}",
            self.id,
            if leaving { " leaving" } else { "" }
        ));
        let limit = self
            .limit
            .as_ref()
            .map(|l| format!("Server-Limit: {l}\r\n"));
        let limit = limit.unwrap_or_default();
        let body = format!("{} {id}\n", self.id);
        Some(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\n{}{leaving_header}{limit}\
             Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            load(running),
            body.len()
        ))
    }

    /// Sends a heartbeat with the state of this moment.
    fn beat(&self) {
        let state = if self.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = self
            .beat
            .replace("@ADDR@", &self.address.to_string())
            .replace("@BORN@", &self.born.to_string())
            .replace("@SERVICE@", &self.service)
            .replace("@ZONE@", &self.zone)
            .replace("@SLOTS@", &self.slots.to_string())
            .replace("@STATE@", state)
            .replace("@SEQ@", &seq.to_string())
            .replace(
                "@COLD@",
                &(self.born + self.cold_ms)
                    .saturating_sub(now_ms())
                    .to_string(),
            );
        let head = format!(
            "PUT /api/instances/{} HTTP/1.1\r\nContent-Type: application/json\r\n",
            self.id
        );
        self.tell(head, body, format!("{state} {seq}"));
    }

    fn delete(&self) {
        let head = format!(
            "DELETE /api/instances/{} HTTP/1.1\r\nContent-Type: application/json\r\n",
            self.id
        );
        self.tell(
            head,
            format!("{{\"born\":{}}}", self.born),
            "gone".to_owned(),
        );
    }

    /// Calls one node after the other until one answers within a second. Each call
    /// arrives late by the delay of this server's link, and so does its answer.
    fn tell(&self, head: String, body: String, what: String) {
        let (controls, delay, id) = (self.controls.clone(), self.delay, self.id.clone());
        thread::spawn(move || {
            for to in controls.into_iter().take(BEAT_TRIES) {
                let (head, body, what, id) = (head.clone(), body.clone(), what.clone(), id.clone());
                let call = thread::spawn(move || {
                    thread::sleep(delay);
                    say(&format!("beat-arrives {id} {what}"));
                    let head = format!("{head}Host: {to}\r\n");
                    let status = http::call(to, &head, body.as_bytes(), BEAT_TIMEOUT);
                    let status = status.map_or(0, |m| m.status());
                    say(&format!("beat-answered {id} {what} {status}"));
                    (200..300).contains(&status)
                });
                if delay.is_zero() {
                    if call.join().unwrap_or(false) {
                        return;
                    }
                } else {
                    // No answer comes within the time for which the server waits.
                    thread::sleep(BEAT_TIMEOUT);
                }
            }
        });
    }
}

fn say(text: &str) {
    let line = format!("{} {text}\n", now_ms());
    let mut out = std::io::stdout().lock();
    out.write_all(line.as_bytes())
        .and_then(|()| out.flush())
        .unwrap_or_default();
}
