//! Starts the programs of the deploy file, as the platform does.

use crate::Record;
use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

pub const ZONES: [(&str, &str); 6] = [
    ("sapporo-a", "sapporo"),
    ("asahikawa-a", "asahikawa"),
    ("kushiro-a", "kushiro"),
    ("sapporo-b", "sapporo"),
    ("asahikawa-b", "asahikawa"),
    ("kushiro-b", "kushiro"),
];

/// The settings file of a process, as the platform writes it.
const SETTINGS: &str = include_str!("settings.json");

const FRONT_PORT: u16 = 8641;
const READY_PORT: u16 = 8640;
const CONTROL_PORT: u16 = 8649;
const DIRECTORY_PORT: u16 = 8648;
/// The deploy file fixes this port.
const METRICS_PORT: u16 = 9464;
const INNER_PORT: u16 = 7620;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the clock is right").as_millis() as u64
}

/// A number that differs at each call and in each process.
pub fn unique() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    let mut x = unix_millis() ^ (u64::from(std::process::id()) << 40) ^ (count << 20);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Fills the places `@NAME@` of a template.
pub fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let filled = values
        .iter()
        .fold(template.to_owned(), |text, (name, value)| {
            text.replace(&format!("@{name}@"), value)
        });
    filled.trim_end().to_owned()
}

/// One machine with its process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    zone: usize,
    child: Option<Child>,
    stopped: bool,
}

impl Machine {
    fn pid(&self) -> Option<i32> {
        self.child.as_ref().map(|c| c.id() as i32)
    }

    /// Sends a signal to the process that this machine started.
    pub fn signal(&mut self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: the process is a child that was not waited for.
            unsafe { kill(pid, signal) };
        }
        match signal {
            SIGSTOP => self.stopped = true,
            SIGCONT => self.stopped = false,
            _ => {}
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if self.stopped {
            self.signal(SIGCONT);
        }
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap_or_default();
            child.wait().expect("the process ends");
        }
    }
}

/// All machines. Dropping it ends all processes and removes the folder.
pub struct System {
    pub cores: Vec<Machine>,
    pub fronts: Vec<Machine>,
    folder: PathBuf,
    pub net: (u8, u8),
    record: Record,
}

impl System {
    /// Starts `cores` and `fronts` machines, spread over the zones, at once.
    pub fn start(record: &Record, cores: usize, fronts: usize) -> Result<Self, String> {
        let program = Path::new("target/release/pimento-platform");
        if !program.exists() {
            return Err("the build of the deploy file is missing".into());
        }
        let net = free_net()?;
        let folder = std::env::temp_dir().join(format!("pimento-review-{:x}", unique()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let machine = |role: &'static str, i: usize, first: u8| Machine {
            name: format!("{role}-{i}"),
            ip: Ipv4Addr::new(127, net.0, net.1, first + i as u8),
            role,
            zone: i % ZONES.len(),
            child: None,
            stopped: false,
        };
        let mut system = Self {
            cores: (0..cores).map(|i| machine("control", i, 10)).collect(),
            fronts: (0..fronts).map(|i| machine("entry", i, 40)).collect(),
            folder,
            net,
            record: record.clone(),
        };
        for i in 0..cores {
            system.start_core(i, true)?;
        }
        for i in 0..fronts {
            system.start_front(i)?;
        }
        Ok(system)
    }

    pub fn start_core(&mut self, i: usize, bootstrap: bool) -> Result<(), String> {
        let settings = self.settings(&self.cores[i], bootstrap);
        launch(&self.folder, &mut self.cores[i], &settings, &self.record)
    }

    pub fn start_front(&mut self, i: usize) -> Result<(), String> {
        let settings = self.settings(&self.fronts[i], true);
        launch(&self.folder, &mut self.fronts[i], &settings, &self.record)
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let (zone, region) = ZONES[machine.zone];
        let is_core = machine.role == "control";
        let ip = machine.ip;
        let listen = if is_core {
            format!(r#"{{"control":"{ip}:{CONTROL_PORT}","directory":"{ip}:{DIRECTORY_PORT}"}}"#)
        } else {
            format!(r#"{{"front":"{ip}:{FRONT_PORT}","ready":"{ip}:{READY_PORT}"}}"#)
        };
        let data = if is_core {
            format!("\"{}\"", self.folder.join(&machine.name).display())
        } else {
            "null".to_owned()
        };
        let seeds = self.cores.iter().take(3);
        let seeds: Vec<_> = seeds
            .map(|m| format!("\"{}:{CONTROL_PORT}\"", m.ip))
            .collect();
        let zones = ZONES.map(|(z, r)| format!("\"{z}\":\"{r}\"")).join(",");
        let (class, memory, link) = if is_core {
            ("core", "256", "1000.0")
        } else {
            ("front", "182", "700.0")
        };
        let serves = if is_core {
            r#"["control","directory"]"#
        } else {
            r#"["front"]"#
        };
        fill(
            SETTINGS,
            &[
                ("name", &machine.name),
                ("role", machine.role),
                ("class", class),
                ("serves", serves),
                ("ip", &ip.to_string()),
                ("zone", zone),
                ("region", region),
                ("counted", &is_core.to_string()),
                ("bootstrap", &bootstrap.to_string()),
                ("data", &data),
                ("memory", memory),
                ("link", link),
                ("listen", &listen),
                ("first", &INNER_PORT.to_string()),
                ("last", &(INNER_PORT + 15).to_string()),
                ("seeds", &seeds.join(",")),
                ("zones", &zones),
            ],
        )
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let cores = self.cores.iter();
        cores
            .map(|m| SocketAddr::from((m.ip, CONTROL_PORT)))
            .collect()
    }

    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        let fronts = self.fronts.iter();
        fronts
            .map(|m| SocketAddr::from((m.ip, FRONT_PORT)))
            .collect()
    }

    /// Waits until all fronts say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let begun = std::time::Instant::now();
        let probe = crate::http::request("GET", "/api/readiness", "ready", &[], &[]);
        for machine in &self.fronts {
            let to = SocketAddr::from((machine.ip, READY_PORT));
            loop {
                let answer = crate::http::call(to, &probe, Duration::from_secs(1));
                if answer.is_ok_and(|a| a.status() == 200) {
                    break;
                }
                if begun.elapsed() > limit {
                    return Err(format!("{} is not ready", machine.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all fronts are ready");
        Ok(())
    }

    /// The core machine that last wrote that it leads.
    pub fn leader(&self) -> Option<usize> {
        let mut newest = None;
        for (i, machine) in self.cores.iter().enumerate() {
            let log = std::fs::read_to_string(self.folder.join(format!("{}.log", machine.name)));
            let log = log.unwrap_or_default();
            let terms = log.lines().filter(|l| l.contains("elected leader"));
            for line in terms {
                let digits = line.split("\"term\":").nth(1).unwrap_or("0");
                let term: u64 = digits
                    .chars()
                    .take_while(char::is_ascii_digit)
                    .collect::<String>()
                    .parse()
                    .unwrap_or(0);
                if newest.is_none_or(|(t, _)| t < term) {
                    newest = Some((term, i));
                }
            }
        }
        newest.map(|(_, i)| i)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for machine in self.cores.iter_mut().chain(&mut self.fronts) {
            machine.kill();
        }
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.folder).unwrap_or_default();
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

fn launch(
    folder: &Path,
    machine: &mut Machine,
    settings: &str,
    record: &Record,
) -> Result<(), String> {
    let boot = folder.join(format!("{}.json", machine.name));
    std::fs::write(&boot, settings).map_err(|e| e.to_string())?;
    let log = folder.join(format!("{}.log", machine.name));
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .map_err(|e| e.to_string())?;
    let errors = log.try_clone().map_err(|e| e.to_string())?;
    let mut command = Command::new("target/release/pimento-platform");
    command
        .arg(machine.role)
        .env_clear()
        .env("PIMENTOLANDING_CONFIG", &boot);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    command.stdin(Stdio::null()).stdout(log).stderr(errors);
    machine.child = Some(command.spawn().map_err(|e| e.to_string())?);
    record.line(format!("started {}", machine.name));
    Ok(())
}

/// Finds a part of the loopback range whose ports are free.
fn free_net() -> Result<(u8, u8), String> {
    for _ in 0..50 {
        let draw = unique();
        let net = (10 + (draw % 200) as u8, (draw >> 16) as u8);
        let ip = |last| Ipv4Addr::new(127, net.0, net.1, last);
        let is_free = [10, 15, 40, 45].iter().all(|last| {
            let ports = [METRICS_PORT, CONTROL_PORT, FRONT_PORT, INNER_PORT];
            ports
                .iter()
                .all(|port| TcpListener::bind((ip(*last), *port)).is_ok())
        });
        if is_free {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".into())
}
