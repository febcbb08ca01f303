//! Three of twenty servers crash, soon after clients began to ask for a new page.

use crate::{
    Case, Verdict,
    clients::{Clients, Kind},
    world::World,
};
use std::{thread, time::Duration};

const SERVERS: u8 = 20;
/// The share of a service's servers that crash: 0.15.
const CRASHED: u8 = 3;
/// Between the mean and the most work of the site's requests of this service.
const WORK_MS: u64 = 5_000;
/// How long the crashed servers are down.
const DOWN: Duration = Duration::from_millis(4_500);

pub fn run(case: &Case) -> Verdict {
    let Some(mut world) = World::start(&case.kit, 2) else {
        return Verdict::NotRun("the deployment didn't start".into());
    };
    for i in 0..SERVERS {
        world.start_server(&format!("i-{i:02}"), "rosterbook", 31 + i, WORK_MS, 0);
    }
    if !world.wait_ready() {
        return Verdict::NotRun("the entry nodes don't get ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    let clients = Clients::default();
    let kind = Kind { line: "GET /roster/today", body: "", deadline_ms: 12_000 };
    let (record, entries) = (world.record.clone(), world.entries.clone());
    let pace = |per_second: u64, span: u64| {
        clients.pace(&record, &entries, &kind, per_second, Duration::from_millis(span));
    };
    pace(20, 2_000);
    if case.trouble {
        for i in 0..CRASHED {
            world.crash(&format!("i-{i:02}"));
        }
    }
    pace(20, DOWN.as_millis() as u64);
    if case.trouble {
        for i in 0..CRASHED {
            world.start_server(&format!("i-{i:02}"), "rosterbook", 31 + i, WORK_MS, 0);
        }
    }
    pace(20, 4_000);
    let calls = clients.finish();
    let denied = calls.iter().filter(|c| (300..500).contains(&c.status) && !c.has_stamp);
    let denied = denied.filter(|c| ![408, 421, 429].contains(&c.status)).count();
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
