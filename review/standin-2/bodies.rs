//! Clients send requests with long bodies, in chunks or with a length.

use crate::{
    Case, Verdict, checksum,
    clients::{Clients, Kind},
    world::{ServerKind, World, ZONES},
};
use std::{thread, time::Duration};

const REQUESTS: usize = 12;
/// The length of the bodies, of `maxBodyBytes` 67,108,864.
const LONG: usize = 2_000_000;
/// The length in the run without the disruption.
const SHORT: usize = 900_000;
const SERVER: &str = "i-7f3a91c2";

pub fn run(case: &Case) -> Verdict {
    let Some(mut world) = World::start(&case.kit, &[0, 1]) else {
        return Verdict::NotRun("the deployment didn't start".into());
    };
    let server = ServerKind {
        service: "rosterbook",
        zone: ZONES[0],
        host: 31,
        work_ms: 100,
        delay_ms: 0,
        cold_ms: 0,
        limit: None,
    };
    world.start_server(SERVER, &server);
    if !world.wait_ready() {
        return Verdict::NotRun("the entry nodes don't get ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let length = if case.trouble { LONG } else { SHORT };
    let body: Vec<u8> = (0..length).map(|i| b'a' + (i % 23) as u8).collect();
    let sum = checksum(&body);
    let kind = Kind {
        line: "GET /roster/search",
        body: body.into(),
        deadline_ms: 12_000,
        retries: false,
    };
    let clients = Clients::default();
    for i in 0..REQUESTS {
        let entry = i % world.entries.len();
        clients.send(&world.record, entry, world.entries[entry], &kind);
        thread::sleep(Duration::from_millis(300));
    }
    let calls = clients.finish();
    thread::sleep(Duration::from_millis(300));
    let record = world.record.lock().unwrap().clone();
    let runs = record
        .iter()
        .filter(|(_, text)| text.starts_with(&format!("runs {SERVER} ")));
    let whole = format!(" {length} bytes {sum:016x}");
    let (same, changed): (Vec<_>, Vec<_>) = runs.partition(|(_, text)| text.ends_with(&whole));
    let good = calls.iter().filter(|c| c.status == 200).count();
    let text = format!(
        "of {REQUESTS} requests with {length} bytes, {} ran with their body and {} with another; \
         {good} were answered 200",
        same.len(),
        changed.len()
    );
    world.write_record(&case.record, &text);
    match changed.len() {
        0 if same.is_empty() => Verdict::NotRun(text),
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
