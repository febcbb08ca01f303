//! A stand-in upstream.

use crate::{
    Record, http,
    http::{Connection, Message},
    system::{fill, unix_millis},
};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// The interval between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The pause after a heartbeat that no node acknowledged.
const RETRY: Duration = Duration::from_millis(200);

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
}

pub struct Shared {
    pub id: String,
    pub service: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    pub born: u64,
    seq: AtomicU64,
    pub beating: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    controls: Mutex<Vec<SocketAddr>>,
    record: Record,
}

#[derive(Clone)]
pub struct Target(pub Arc<Shared>);

impl Target {
    /// Starts to listen and to send heartbeats.
    pub fn start(
        record: &Record,
        controls: &[SocketAddr],
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        zone: &'static str,
        slots: u32,
        work: Duration,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            zone,
            address,
            slots,
            work,
            born: unix_millis(),
            seq: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            runs: Mutex::default(),
            controls: Mutex::new(controls.to_vec()),
            record: record.clone(),
        });
        let target = Self(shared);
        let server = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = server.clone();
                thread::spawn(move || target.serve(Connection::new(stream)));
            }
        });
        let beats = target.clone();
        thread::spawn(move || {
            while beats.0.beating.load(Ordering::SeqCst) {
                let acked = beats.report("ready");
                thread::sleep(if acked { HEARTBEAT } else { RETRY });
            }
        });
        Ok(target)
    }

    fn serve(&self, mut connection: Connection) {
        let _ = connection.stream.set_nodelay(true);
        while let Ok(request) = connection.read_message() {
            let answer = self.answer(&request);
            if connection.send(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let shared = &self.0;
        let request_id = request.header("request-id").unwrap_or_default().to_owned();
        let wanted = request.header("expect-instance");
        if wanted.is_some_and(|id| id != shared.id) {
            return format!("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n").into_bytes();
        }
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        if path == "/health" {
            return format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                shared.id
            )
            .into_bytes();
        }
        let run = Run {
            at: shared.record.now(),
        };
        shared.record.line(format!(
            "run at {} ({}): id {request_id}, {}, body of {} bytes",
            shared.id,
            shared.zone,
            request.start,
            request.body.len()
        ));
        shared.runs.lock().expect("no holder panics").push(run);
        thread::sleep(shared.work);
        let body = format!("answer of {} to {request_id}", shared.id);
        format!("HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: {}.{request_id}\r\nServer-Load: 1,0,{}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}", shared.id, shared.slots, body.len()).into_bytes()
    }

    /// Sends one heartbeat, to one node after the other until one acknowledges it.
    pub fn report(&self, state: &str) -> bool {
        let shared = &self.0;
        let seq = shared.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let values = [
            ("address", shared.address.to_string()),
            ("born", shared.born.to_string()),
            ("service", shared.service.clone()),
            ("zone", shared.zone.to_owned()),
            ("slots", shared.slots.to_string()),
            ("state", state.to_owned()),
            ("seq", seq.to_string()),
        ];
        let values: Vec<_> = values
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        let body = fill(include_str!("heartbeat.json"), &values);
        let path = format!("/api/instances/{}", shared.id);
        let controls = shared.controls.lock().expect("no holder panics").clone();
        let first = seq as usize + shared.address.port() as usize;
        for i in 0..controls.len() {
            let to = controls[(first + i) % controls.len()];
            let call = http::request(
                "PUT",
                &path,
                "control",
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            );
            let answer = http::call(to, &call, Duration::from_secs(1));
            if answer.is_ok_and(|a| (200..300).contains(&a.status())) {
                return true;
            }
        }
        false
    }

    /// Says that this upstream leaves, to one node after the other with a growing
    /// pause, until one acknowledges it. Returns when that was.
    pub fn leave(&self, limit: Duration) -> Option<f64> {
        let shared = &self.0;
        shared.beating.store(false, Ordering::SeqCst);
        let body = format!(r#"{{"born":{}}}"#, shared.born);
        let path = format!("/api/instances/{}", shared.id);
        let call = http::request(
            "DELETE",
            &path,
            "control",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        );
        let controls = shared.controls.lock().expect("no holder panics").clone();
        let begun = std::time::Instant::now();
        let mut pause = Duration::from_millis(50);
        for to in controls.iter().cycle() {
            let answer = http::call(*to, &call, Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, Message::status);
            shared.record.line(format!(
                "{} sends DELETE {path} to {to}: {status}",
                shared.id
            ));
            if (200..300).contains(&status) {
                return Some(shared.record.now());
            }
            if begun.elapsed() > limit {
                return None;
            }
            thread::sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_millis(100));
        }
        None
    }

    /// The runs that began in a span of time.
    pub fn runs_between(&self, from: f64, to: f64) -> Vec<Run> {
        let runs = self.0.runs.lock().expect("no holder panics");
        runs.iter()
            .filter(|r| r.at > from && r.at <= to)
            .cloned()
            .collect()
    }
}
