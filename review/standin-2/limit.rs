//! The entry nodes of a zone are stopped and started in turn while the zone's servers
//! name a limit.

use crate::{
    Case, Verdict,
    clients::{Call, Clients, Kind},
    world::{ServerKind, World, ZONES},
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// The entry nodes of the zone that restart, and those that send the requests.
const RESTARTED: [usize; 4] = [0, 1, 2, 3];
const SENDERS: [usize; 2] = [4, 5];
const SERVERS: u8 = 3;
const WORK_MS: u64 = 640;
const LIMIT: &str = "0.5";
/// What a server may get within the window: 1.5 times what its limit allows, and 5.
const ALLOWED: usize = 8;
const WINDOW_MS: u64 = 4_000;
/// The bound `contact` of the settings.
const CONTACT_MS: u64 = 3_000;
/// How long after it passed on the limit a node's requests count.
const PASSED_MS: u64 = 500;
/// The pause between two stops.
const GAP: Duration = Duration::from_millis(1_300);
const STEP: Duration = Duration::from_millis(100);

pub fn run(case: &Case) -> Verdict {
    let Some(mut world) = World::start(&case.kit, &[0, 0, 0, 0, 1, 1]) else {
        return Verdict::NotRun("the deployment didn't start".into());
    };
    for i in 0..SERVERS {
        let server = ServerKind {
            service: "rosterbook",
            zone: ZONES[0],
            host: 31 + i,
            work_ms: WORK_MS,
            delay_ms: 0,
            cold_ms: 0,
            limit: Some(LIMIT),
        };
        world.start_server(&format!("i-{i:02}"), &server);
    }
    if !world.wait_ready() {
        return Verdict::NotRun("the entry nodes don't get ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let clients = Clients::default();
    let kind = Kind {
        line: "GET /roster/",
        body: [].into(),
        deadline_ms: 12_000,
        retries: false,
    };
    let record = world.record.clone();
    let senders = SENDERS.map(|i| world.entries[i]);
    let (mut stops, mut restarts) = (RESTARTED.iter(), Vec::new());
    let begin = Instant::now();
    let mut next_stop = begin + Duration::from_secs(9);
    for step in 0..270 {
        for (at, to) in senders.iter().enumerate() {
            clients.send(&record, SENDERS[at], *to, &kind);
        }
        if case.trouble
            && Instant::now() >= next_stop
            && let Some(i) = stops.next()
        {
            world.stop_entry(*i);
            restarts.push(*i);
            next_stop += GAP;
        }
        restarts.retain(|i| !world.restart_ended(*i));
        thread::sleep((begin + STEP * (step + 1)).saturating_duration_since(Instant::now()));
    }
    let calls = clients.finish();
    let verdict = judge(&world, &calls);
    let (Verdict::Held(text) | Verdict::Broken(text) | Verdict::NotRun(text)) = &verdict;
    world.write_record(&case.record, text);
    verdict
}

/// The most requests that a server got within the window.
fn judge(world: &World, calls: &[Call]) -> Verdict {
    let record = world.record.lock().unwrap();
    let mut most = (0, String::new());
    for i in 0..SERVERS {
        let name = format!("i-{i:02}");
        let runs: Vec<(u64, &Call)> = record
            .iter()
            .filter_map(|(at, text)| {
                let id = text
                    .strip_prefix(&format!("runs {name} "))?
                    .split(' ')
                    .next()?;
                Some((*at, calls.iter().find(|c| c.id == id)?))
            })
            .collect();
        let Some(named) = runs.iter().map(|(_, c)| c.ended_at).min() else {
            continue;
        };
        let passed = |entry: usize| {
            let own = runs.iter().filter(|(_, c)| c.entry == entry && c.has_stamp);
            own.map(|(_, c)| c.ended_at).min().unwrap_or(u64::MAX)
        };
        let counted: Vec<u64> = runs
            .iter()
            .filter(|(at, c)| *at > named + CONTACT_MS && *at > passed(c.entry) + PASSED_MS)
            .map(|(at, _)| *at)
            .collect();
        for from in &counted {
            let count = counted
                .iter()
                .filter(|at| (*from..from + WINDOW_MS).contains(at))
                .count();
            if count > most.0 {
                most = (count, name.clone());
            }
        }
    }
    let (count, name) = most;
    let text = format!("{name} got {count} requests within 4 s; {ALLOWED} are allowed");
    match count {
        0 => Verdict::NotRun("no server got a request that counts".into()),
        1..=ALLOWED => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
