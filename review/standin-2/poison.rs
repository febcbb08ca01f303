//! The servers of one zone crash once, while three clients there wait for the same page.

use crate::{
    Case, Verdict,
    clients::{Clients, Kind},
    world::{ServerKind, World, ZONES},
};
use std::{thread, time::Duration};

/// The servers of each zone.
const PER_ZONE: u8 = 3;
/// Below the most work of the site's requests of this service, 7,680 ms.
const WORK_MS: u64 = 7_500;
/// How often the clients ask for the page.
const ROUND: Duration = Duration::from_millis(18_500);
const ROUNDS: u64 = 5;
/// How long the requests run when the servers crash: a second run can't end within
/// what is left of the clients' time.
const CRASH_AFTER: Duration = Duration::from_millis(5_500);
/// How long the crashed servers are down.
const DOWN: Duration = Duration::from_millis(4_500);
/// `coldStart` of the service.
const COLD_MS: u64 = 3_000;

pub fn run(case: &Case) -> Verdict {
    let Some(mut world) = World::start(&case.kit, &[0, 1]) else {
        return Verdict::NotRun("the deployment didn't start".into());
    };
    let server = |i: u8| ServerKind {
        service: "rosterbook",
        zone: ZONES[usize::from(i / PER_ZONE)],
        host: 31 + i,
        work_ms: WORK_MS,
        delay_ms: 0,
        cold_ms: 0,
        limit: None,
    };
    let name = |i: u8| format!("i-{i:02}");
    for i in 0..PER_ZONE * ZONES.len() as u8 {
        world.start_server(&name(i), &server(i));
    }
    if !world.wait_ready() {
        return Verdict::NotRun("the entry nodes don't get ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let clients = Clients::default();
    let page = Kind {
        line: "GET /roster/depot-7",
        body: [].into(),
        deadline_ms: 12_000,
        retries: true,
    };
    let (record, entry) = (world.record.clone(), world.entries[0]);
    for round in 0..ROUNDS {
        for _ in 0..PER_ZONE {
            clients.send(&record, 0, entry, &page);
            thread::sleep(Duration::from_millis(20));
        }
        let mut rest = ROUND;
        if case.trouble && round == 1 {
            thread::sleep(CRASH_AFTER);
            for i in 0..PER_ZONE {
                world.crash(&name(i));
            }
            thread::sleep(DOWN);
            for i in 0..PER_ZONE {
                world.start_server(
                    &name(i),
                    &ServerKind {
                        cold_ms: COLD_MS,
                        ..server(i)
                    },
                );
            }
            rest -= CRASH_AFTER + DOWN;
        }
        thread::sleep(rest);
    }
    let calls = clients.finish();
    let denied = calls
        .iter()
        .filter(|c| (300..500).contains(&c.status) && !c.has_stamp);
    let denied = denied
        .filter(|c| ![408, 421, 429].contains(&c.status))
        .count();
    let allowed = 5 + calls.len() / 500;
    let good = calls.iter().filter(|c| c.status == 200).count();
    let text = format!(
        "{denied} of {} proper requests were answered 4xx by the system itself ({allowed} are allowed); \
         {good} were served",
        calls.len()
    );
    world.write_record(&case.record, &text);
    match denied > allowed {
        _ if good == 0 => Verdict::NotRun(text),
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
