//! The cases.

use crate::{
    Record, Verdict,
    operator::{self, Clients},
    system::{SIGCONT, SIGSTOP, System, ZONES},
    target::Target,
};
use std::{net::Ipv4Addr, thread, time::Duration};

const HOST: &str = "hulo84.example";
const SERVICE: &str = "signdesk";

/// Bounds of the site, in seconds.
const CONTACT: f64 = 3.0;
const DRAIN: f64 = 2.0;
const EVACUATION: f64 = 5.0;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    let result = match case {
        "leave" => leave(trouble, record),
        "evacuation" => evacuation(trouble, record),
        _ => Err(format!("there is no case {case}")),
    };
    result.unwrap_or_else(Verdict::CouldNotRun)
}

/// Starts a system with a desired state and upstreams, one in each zone.
fn start(record: &Record, kind: &str, work: Duration) -> Result<(System, Vec<Target>), String> {
    let system = System::start(record, 6, 6)?;
    let controls = system.control_addresses();
    let state = operator::desired_state(HOST, SERVICE, kind);
    operator::order(record, &controls, "PATCH", "/api/config", &state, Duration::from_secs(20))?;
    let net = system.net;
    let start = |i: usize| {
        let ip = Ipv4Addr::new(127, net.0, net.1, 70 + i as u8);
        let id = format!("i-{i}{:08x}", crate::system::unique() as u32);
        Target::start(record, &controls, ip, &id, SERVICE, ZONES[i].0, 6, work, Duration::ZERO)
    };
    let targets = (0..ZONES.len()).map(start).collect::<Result<Vec<_>, _>>()?;
    system.wait_ready(Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(4));
    Ok((system, targets))
}

fn sleep_until(record: &Record, at: f64) {
    thread::sleep(Duration::from_secs_f64((at - record.now()).max(0.0)));
}

/// An upstream that leaves while the processes of the core are back from a kill.
fn leave(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let (mut system, targets) = start(record, "safe", Duration::from_millis(20))?;
    let clients = Clients::start(record, &system.front_addresses(), HOST, 12, Duration::from_millis(60));
    thread::sleep(Duration::from_secs(5));
    let leaving = targets[0].clone();
    let mut back = record.now();
    if trouble {
        record.line("all processes of the core are killed");
        for core in &mut system.cores {
            core.kill();
        }
    }
    // The upstream's planned end falls into the outage.
    let leaver = leaving.clone();
    let left = thread::spawn(move || leaver.leave(Duration::from_secs(10)));
    if trouble {
        thread::sleep(Duration::from_millis(800));
        for i in 0..system.cores.len() {
            system.start_core(i, false)?;
        }
        back = record.now();
    }
    let acked = left.join().expect("the thread ends").ok_or("the DELETE got no ack")?;
    let from = (acked + DRAIN).max(back + CONTACT);
    let until = acked + 12.0;
    sleep_until(record, until);
    let (answered, failed) = clients.stop();
    let late = leaving.runs_between(from, until);
    let others: usize = targets[1..].iter().map(|t| t.runs_between(from, until).len()).sum();
    record.line(format!("the DELETE of {} was acknowledged at {acked:.3}; requests that reached it from {from:.3} to {until:.3}: {}; other upstreams: {others}", leaving.0.id, late.len()));
    record.line(format!("clients: {answered} answered, {failed} failed"));
    drop(system);
    if others == 0 {
        return Err("no traffic after the ack".into());
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// A withdrawal of an evacuation that a frozen machine carries out when it wakes.
fn evacuation(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let (mut system, targets) = start(record, "safe", Duration::from_millis(20))?;
    let clients = Clients::start(record, &system.front_addresses(), HOST, 12, Duration::from_millis(60));
    thread::sleep(Duration::from_secs(4));
    let leader = system.leader().ok_or("the leader is not known")?;
    let frozen = (0..system.cores.len()).rev().find(|i| *i != leader).ok_or("no follower")?;
    record.line(format!("core {leader} leads"));
    let mut nodes = system.control_addresses();
    // The operator's list begins with the machine that is going to freeze.
    nodes.rotate_left(frozen);
    let path = format!("/api/evacuation/{}", ZONES[0].0);
    let limit = Duration::from_secs(5);
    operator::order(record, &nodes[1..], "POST", &path, "", limit)?;
    thread::sleep(Duration::from_secs(2));
    let frozen_at = record.now();
    if trouble {
        record.line(format!("core {frozen} freezes"));
        system.cores[frozen].signal(SIGSTOP);
    }
    thread::sleep(Duration::from_millis(200));
    operator::order(record, &nodes, "DELETE", &path, "", limit)?;
    thread::sleep(Duration::from_millis(500));
    let acked = operator::order(record, &nodes[1..], "POST", &path, "", limit)?;
    sleep_until(record, frozen_at + 4.0);
    let woken = record.now();
    if trouble {
        system.cores[frozen].signal(SIGCONT);
        record.line(format!("core {frozen} wakes"));
    }
    let from = (acked + EVACUATION).max(woken + CONTACT);
    let until = from + 6.0;
    sleep_until(record, until);
    let (answered, failed) = clients.stop();
    let late = targets[0].runs_between(from, until);
    let others: usize = targets[1..].iter().map(|t| t.runs_between(from, until).len()).sum();
    record.line(format!("the second POST was acknowledged at {acked:.3} and not taken back; requests that reached the zone from {from:.3} to {until:.3}: {}; other zones: {others}", late.len()));
    record.line(format!("clients: {answered} answered, {failed} failed"));
    drop(system);
    if others == 0 {
        return Err("no traffic after the ack".into());
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
