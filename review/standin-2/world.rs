//! A small deployment of real processes on loopback addresses, with stand-ins of
//! servers, clients and the operator.

use crate::{http, now_ms};
use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

pub const CONTROLS: usize = 3;
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const REGIONS: [&str; 3] = ["north", "south", "west"];

/// What was sent, answered and run, in order of arrival here: (time, text).
pub type Record = Arc<Mutex<Vec<(u64, String)>>>;

pub struct World {
    pub record: Record,
    pub folder: PathBuf,
    kit: PathBuf,
    subnet: [u8; 2],
    pub entries: Vec<SocketAddr>,
    /// The zone of each entry node.
    entry_zones: Vec<usize>,
    pub controls: Vec<SocketAddr>,
    /// The processes of the control nodes, then those of the entry nodes.
    children: Vec<Child>,
    servers: Vec<Server>,
}

/// What a server is started with.
#[derive(Clone, Copy, Debug)]
pub struct ServerKind {
    pub service: &'static str,
    pub zone: &'static str,
    /// The last part of its address.
    pub host: u8,
    pub work_ms: u64,
    /// How late its heartbeats arrive.
    pub delay_ms: u64,
    /// How long it is cold after its start.
    pub cold_ms: u64,
    /// The `Server-Limit` that it names, if any.
    pub limit: Option<&'static str>,
}

/// A stand-in of a server, in a process of its own.
struct Server {
    id: String,
    child: Child,
}

impl Drop for World {
    fn drop(&mut self) {
        let servers = self.servers.iter_mut().map(|s| &mut s.child);
        for child in self.children.iter_mut().chain(servers) {
            child.kill().unwrap_or_default();
            child.wait().map(drop).unwrap_or_default();
        }
        fs::remove_dir_all(&self.folder).unwrap_or_default();
    }
}

impl World {
    /// Starts the control and entry processes, and waits until the first desired state
    /// is accepted.
    pub fn start(kit: &Path, entry_zones: &[usize]) -> Option<Self> {
        let subnet = free_subnet()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut world = Self {
            record: Record::default(),
            folder,
            kit: kit.to_owned(),
            subnet,
            entries: Vec::new(),
            entry_zones: entry_zones.to_vec(),
            controls: Vec::new(),
            children: Vec::new(),
            servers: Vec::new(),
        };
        world.controls = (0..CONTROLS)
            .map(|i| world.address(i as u8 + 1, 8_649))
            .collect();
        world.entries = (0..entry_zones.len())
            .map(|i| world.address(i as u8 + 11, 8_641))
            .collect();
        for i in 0..CONTROLS {
            world.start_control(i)?;
        }
        for i in 0..entry_zones.len() {
            world.start_entry(i)?;
        }
        let body = fs::read(kit.join("config.json")).ok()?;
        let is_accepted = world.order("PATCH /api/config", &body);
        is_accepted.then_some(world)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.subnet[0], self.subnet[1], host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    pub fn note(&self, text: &str) {
        note(&self.record, text);
    }

    fn start_control(&mut self, i: usize) -> Option<()> {
        let address = self.controls[i];
        let data = self.folder.join(format!("disk-{i}"));
        fs::create_dir_all(&data).ok()?;
        let listen = format!(
            "{{\"control\":\"{address}\",\"directory\":\"{}\"}}",
            SocketAddr::new(address.ip(), 8_648)
        );
        let child = self.start_vm(
            "control",
            i,
            i,
            address.ip(),
            &listen,
            &format!("{:?}", data),
        )?;
        self.children.push(child);
        Some(())
    }

    fn start_entry(&mut self, i: usize) -> Option<()> {
        let address = self.entries[i];
        let listen = format!(
            "{{\"front\":\"{address}\",\"ready\":\"{}\"}}",
            SocketAddr::new(address.ip(), 8_640)
        );
        let zone = self.entry_zones[i];
        let child = self.start_vm("entry", i, zone, address.ip(), &listen, "null")?;
        match self.children.get_mut(CONTROLS + i) {
            Some(ended) => *ended = child,
            None => self.children.push(child),
        }
        Some(())
    }

    /// Sends SIGTERM to an entry node.
    pub fn stop_entry(&mut self, i: usize) {
        self.note(&format!("SIGTERM entry-{i}"));
        let id = self.children[CONTROLS + i].id();
        let command = format!("kill -TERM {id}");
        Command::new("sh")
            .args(["-c", &command])
            .status()
            .map(drop)
            .unwrap_or_default();
    }

    /// Starts an entry node again if its process has ended. Returns whether it had.
    pub fn restart_ended(&mut self, i: usize) -> bool {
        let has_ended = matches!(self.children[CONTROLS + i].try_wait(), Ok(Some(_)));
        if has_ended {
            self.note(&format!("starts entry-{i}"));
            self.start_entry(i).unwrap_or_default();
        }
        has_ended
    }

    fn start_vm(
        &self,
        role: &str,
        i: usize,
        zone: usize,
        ip: IpAddr,
        listen: &str,
        data: &str,
    ) -> Option<Child> {
        let is_control = role == "control";
        let seeds: Vec<String> = self.controls.iter().map(|c| format!("\"{c}\"")).collect();
        let text = fs::read_to_string(self.kit.join("settings.json")).ok()?;
        let text = text
            .replace("@NAME@", &format!("{role}-{i}"))
            .replace("@ROLE@", role)
            .replace("@CLASS@", if is_control { "core" } else { "front" })
            .replace(
                "@SERVES@",
                if is_control {
                    "[\"control\",\"directory\"]"
                } else {
                    "[\"front\"]"
                },
            )
            .replace("@IP@", &ip.to_string())
            .replace("@ZONE@", ZONES[zone])
            .replace("@REGION@", REGIONS[zone])
            .replace("@COUNTED@", if is_control { "true" } else { "false" })
            .replace("@BOOTSTRAP@", "true")
            .replace("@DATA@", data)
            .replace("@LISTEN@", listen)
            .replace("@SEEDS@", &format!("[{}]", seeds.join(",")));
        let path = self.folder.join(format!("{role}-{i}.json"));
        fs::write(&path, text).ok()?;
        let log = fs::File::create(self.folder.join(format!("{role}-{i}.log"))).ok()?;
        Command::new("target/release/pimento-platform")
            .arg(role)
            .env_clear()
            .env("PIMENTOLANDING_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()
    }

    /// Sends an order to one control node after the other until it is acknowledged.
    pub fn order(&self, line: &str, body: &[u8]) -> bool {
        for attempt in 0..60 {
            let to = self.controls[attempt % CONTROLS];
            let head =
                format!("{line} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n");
            let response = http::call(to, &head, body, Duration::from_secs(1));
            let status = response.map_or(0, |r| r.status());
            self.note(&format!("operator {line} answered {status}"));
            match status {
                200..300 => return true,
                400 | 409 | 412 | 413 | 422 => return false,
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// Starts a server. One of the same id takes the place of the earlier one.
    pub fn start_server(&mut self, id: &str, kind: &ServerKind) {
        let ServerKind {
            service,
            zone,
            host,
            work_ms,
            delay_ms,
            cold_ms,
            limit,
        } = *kind;
        let address = self.address(host, 8_080);
        let controls: Vec<String> = self.controls.iter().map(ToString::to_string).collect();
        let mut child = Command::new(std::env::current_exe().expect("this program"))
            .arg("upstream")
            .args([
                "--id",
                id,
                "--address",
                &address.to_string(),
                "--service",
                service,
            ])
            .args([
                "--zone",
                zone,
                "--slots",
                "6",
                "--work",
                &work_ms.to_string(),
            ])
            .args([
                "--delay",
                &delay_ms.to_string(),
                "--cold",
                &cold_ms.to_string(),
            ])
            .args(limit.map(|l| ["--limit", l]).into_iter().flatten())
            .args(["--controls", &controls.join(",")])
            .args(["--beat", &self.kit.join("beat.json").to_string_lossy()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server");
        let lines = BufReader::new(child.stdout.take().expect("its output"));
        let record = Arc::clone(&self.record);
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                if let Some((at, text)) = line.split_once(' ') {
                    let event = (at.parse().unwrap_or(0), text.to_owned());
                    record.lock().unwrap().push(event);
                }
            }
        });
        self.servers.retain(|s| s.id != id);
        let id = id.to_owned();
        self.servers.push(Server { id, child });
    }

    fn server(&mut self, id: &str) -> &mut Server {
        self.servers
            .iter_mut()
            .find(|s| s.id == id)
            .expect("a server")
    }

    /// Kills a server's process.
    pub fn crash(&mut self, id: &str) {
        self.note(&format!("crash {id}"));
        let child = &mut self.server(id).child;
        child.kill().unwrap_or_default();
        child.wait().map(drop).unwrap_or_default();
    }

    pub fn tell(&mut self, id: &str, command: &str) {
        let stdin = self.server(id).child.stdin.as_mut().expect("its input");
        writeln!(stdin, "{command}").unwrap_or_default();
    }

    /// Waits until this many entry nodes answer that they are ready.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..100 {
            let is_ready = |entry: &SocketAddr| {
                let ready = SocketAddr::new(entry.ip(), 8_640);
                let head = format!("GET /api/readiness HTTP/1.1\r\nHost: {ready}\r\n");
                let response = http::call(ready, &head, &[], Duration::from_secs(1));
                response.is_some_and(|r| r.status() == 200)
            };
            if self.entries.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Writes the record, sorted by time, relative to its first event.
    pub fn write_record(&self, path: &Path, verdict: &str) {
        let mut record = self.record.lock().unwrap().clone();
        record.sort();
        let start = record.first().map_or(0, |(at, _)| *at);
        let line =
            |(at, text): &(u64, String)| format!("{:9.3} {text}\n", (at - start) as f64 / 1_000.0);
        let mut text: String = record.iter().map(line).collect();
        text.push_str(verdict);
        text.push('\n');
        fs::write(path, text).unwrap_or_default();
    }
}

pub fn note(record: &Record, text: &str) {
    record.lock().unwrap().push((now_ms(), text.to_owned()));
}

/// A loopback subnet in which the ports are free.
fn free_subnet() -> Option<[u8; 2]> {
    let seed = now_ms() ^ u64::from(std::process::id());
    for i in 0..50 {
        let pick = seed.wrapping_add(i * 7_919);
        let subnet = [100 + (pick % 100) as u8, (pick / 100 % 250) as u8];
        let is_free = |host: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, subnet[0], subnet[1], host), port)).is_ok()
        };
        if is_free(1, 9_464) && is_free(1, 7_620) && is_free(11, 8_641) {
            return Some(subnet);
        }
    }
    None
}
