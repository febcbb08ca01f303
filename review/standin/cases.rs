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

/// How long a machine of the core is frozen, in seconds.
const FREEZE: f64 = 2.5;
/// How often a machine is frozen while an evacuation is taken back.
const ROUNDS: u32 = 3;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    let result = match case {
        "leave" => leave(trouble, record),
        "limits" => limits(trouble, record),
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
    operator::order(
        record,
        &controls,
        "PATCH",
        "/api/config",
        &state,
        Duration::from_secs(20),
    )?;
    let net = system.net;
    let start = |i: usize| {
        let ip = Ipv4Addr::new(127, net.0, net.1, 70 + i as u8);
        let id = format!("i-{i}{:08x}", crate::system::unique() as u32);
        Target::start(record, &controls, ip, &id, SERVICE, ZONES[i].0, 6, work)
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
    let clients = Clients::start(
        record,
        &system.front_addresses(),
        HOST,
        12,
        Duration::from_millis(60),
    );
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
    let acked = left
        .join()
        .expect("the thread ends")
        .ok_or("the DELETE got no ack")?;
    let from = (acked + DRAIN).max(back + CONTACT);
    let until = acked + 12.0;
    sleep_until(record, until);
    let (answered, failed) = clients.stop();
    let late = leaving.runs_between(from, until);
    let others: usize = targets[1..]
        .iter()
        .map(|t| t.runs_between(from, until).len())
        .sum();
    record.line(format!("the DELETE of {} was acknowledged at {acked:.3}; requests that reached it from {from:.3} to {until:.3}: {}; other upstreams: {others}", leaving.0.id, late.len()));
    record.line(format!("clients: {answered} answered, {failed} failed"));
    drop(system);
    if others == 0 {
        return Err("no traffic after the ack".into());
    }
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// A withdrawal of an evacuation that a frozen machine carries out when it wakes.
fn evacuation(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let (mut system, targets) = start(record, "safe", Duration::from_millis(20))?;
    let clients = Clients::start(
        record,
        &system.front_addresses(),
        HOST,
        12,
        Duration::from_millis(60),
    );
    thread::sleep(Duration::from_secs(4));
    let path = format!("/api/evacuation/{}", ZONES[0].0);
    let limit = Duration::from_secs(5);
    let (mut late, mut others) = (0, 0);
    for round in 1..=ROUNDS {
        let leader = system.leader().ok_or("the leader is not known")?;
        let frozen = (0..system.cores.len())
            .rev()
            .find(|i| *i != leader)
            .ok_or("no follower")?;
        record.line(format!("round {round}: core {leader} leads"));
        let mut nodes = system.control_addresses();
        // The operator's list begins with the machine that is going to freeze.
        nodes.rotate_left(frozen);
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
        sleep_until(record, frozen_at + FREEZE);
        if trouble {
            system.cores[frozen].signal(SIGCONT);
            record.line(format!("core {frozen} wakes"));
        }
        let from = (acked + EVACUATION).max(frozen_at + FREEZE + CONTACT);
        let until = from + 4.0;
        sleep_until(record, until);
        late = targets[0].runs_between(from, until).len();
        others = targets[1..]
            .iter()
            .map(|t| t.runs_between(from, until).len())
            .sum();
        record.line(format!("the second POST was acknowledged at {acked:.3} and not taken back; requests that reached the zone from {from:.3} to {until:.3}: {late}; other zones: {others}"));
        if late > 0 {
            break;
        }
        operator::order(record, &nodes[1..], "DELETE", &path, "", limit)?;
        thread::sleep(Duration::from_secs(2));
    }
    let (answered, failed) = clients.stop();
    record.line(format!("clients: {answered} answered, {failed} failed"));
    drop(system);
    if others == 0 {
        return Err("no traffic after the ack".into());
    }
    Ok(if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// A change of the limits while clients keep their connections.
fn limits(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let (system, _targets) = start(record, "safe", Duration::from_millis(5))?;
    let mut kept = Vec::new();
    for front in system.front_addresses().into_iter().cycle().take(24) {
        kept.push(
            crate::http::Connection::open(front, Duration::from_secs(3))
                .map_err(|e| e.to_string())?,
        );
    }
    let send = |connection: &mut crate::http::Connection, pad: usize| {
        let id = format!("{:016x}", crate::system::unique());
        let pad = "x".repeat(pad);
        let call = crate::http::request(
            "GET",
            "/a/x",
            HOST,
            &[
                ("Request-Id", &id),
                ("Deadline-Ms", "3000"),
                ("Cookie", &pad),
            ],
            &[],
        );
        let sent = connection.send(&call);
        let status = sent
            .and_then(|()| connection.read_message())
            .map_or(0, |a| a.status());
        record.line(format!(
            "client: request {id} with {} bytes of head: {status}",
            pad.len()
        ));
        status
    };
    for connection in &mut kept {
        send(connection, 100);
    }
    // A head of this size is within the limits that are in force.
    let size = if trouble { 24_000 } else { 15_000 };
    let change = operator::larger_heads();
    if trouble {
        operator::order(
            record,
            &system.control_addresses(),
            "PATCH",
            "/api/config",
            &change,
            Duration::from_secs(5),
        )?;
    }
    thread::sleep(Duration::from_secs(4));
    let mut refused = 0;
    for connection in &mut kept {
        refused += u32::from(send(connection, size) == 431);
    }
    let mut fresh =
        crate::http::Connection::open(system.front_addresses()[0], Duration::from_secs(3))
            .map_err(|e| e.to_string())?;
    let status = send(&mut fresh, size);
    record.line(format!(
        "on kept connections: {refused} of {} refused with 431; on a new one: {status}",
        kept.len()
    ));
    drop(system);
    if status != 200 {
        return Err("a new connection is not served either".into());
    }
    // 5 and one in 500 of all requests.
    Ok(if f64::from(refused) > 5.0 + 49.0 / 500.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
