//! A server restarts under its id, then leaves; its heartbeats arrive seconds late.

use crate::{
    Case, Verdict,
    clients::{Call, Clients, Kind},
    world::{ServerKind, World, ZONES},
};
use std::{thread, time::Duration};

/// How late the heartbeats of the restarted server arrive.
const BEAT_DELAY_MS: u64 = 4_000;
/// The bound `drain` of the settings.
const DRAIN_MS: u64 = 2_000;
/// The mean work of the site's unsafe requests of this service.
const WORK_MS: u64 = 840;
const LEAVER: &str = "i-7f3a91c2";
const OTHER: &str = "i-2b60d4aa";

pub fn run(case: &Case) -> Verdict {
    let Some(mut world) = World::start(&case.kit, &[0, 1]) else {
        return Verdict::NotRun("the deployment didn't start".into());
    };
    let leaver = ServerKind {
        service: "signdesk",
        zone: ZONES[0],
        host: 31,
        work_ms: WORK_MS,
        delay_ms: 0,
        cold_ms: 0,
        limit: None,
    };
    world.start_server(LEAVER, &leaver);
    world.start_server(
        OTHER,
        &ServerKind {
            zone: ZONES[1],
            host: 32,
            ..leaver
        },
    );
    if !world.wait_ready() {
        return Verdict::NotRun("the entry nodes don't get ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    if case.trouble {
        world.crash(LEAVER);
        world.start_server(
            LEAVER,
            &ServerKind {
                delay_ms: BEAT_DELAY_MS,
                ..leaver
            },
        );
        thread::sleep(Duration::from_millis(200));
    }
    let clients = Clients::default();
    let kind = Kind {
        line: "POST /sign/shift",
        body: b"slot=17".as_slice().into(),
        deadline_ms: 4_000,
        retries: false,
    };
    let (record, entries) = (world.record.clone(), world.entries.clone());
    let pace = |span: u64| {
        clients.pace(&record, &entries, &kind, 16, Duration::from_millis(span));
    };
    pace(600);
    world.tell(LEAVER, "leave");
    // Without an ack, a server that leaves exits some seconds later.
    pace(4_200);
    world.tell(LEAVER, "delete");
    world.tell(LEAVER, "quit");
    pace(1_000);
    let calls = clients.finish();
    let verdict = judge(&world, &calls);
    let text = match &verdict {
        Verdict::Held(text) | Verdict::Broken(text) | Verdict::NotRun(text) => text.clone(),
    };
    world.write_record(&case.record, &text);
    verdict
}

/// A request must not reach the server from an entry node if its client sent it later
/// than `drain` after that node had passed on an answer with `Server-Leaving`.
fn judge(world: &World, calls: &[Call]) -> Verdict {
    let record = world.record.lock().unwrap();
    let arrived = |call: &&Call| {
        let start = format!("runs {LEAVER} {} ", call.id);
        record.iter().any(|(_, text)| text.starts_with(&start))
    };
    let (mut late, mut unanswered, mut known) = (0, 0, 0);
    for entry in 0..world.entries.len() {
        let own = calls.iter().filter(|c| c.entry == entry);
        let said = own.clone().filter(|c| c.leaving.as_deref() == Some(LEAVER));
        let Some(first) = said.map(|c| c.ended_at).min() else {
            continue;
        };
        known += 1;
        let after: Vec<_> = own
            .filter(|c| c.sent_at > first + DRAIN_MS)
            .filter(arrived)
            .collect();
        late += after.len();
        unanswered += after.iter().filter(|c| !c.has_stamp).count();
    }
    if known == 0 {
        return Verdict::NotRun("no answer with Server-Leaving was passed on".into());
    }
    let text = format!(
        "{late} requests reached {LEAVER} though their clients sent them more than {DRAIN_MS} ms \
         after the same entry node had passed on its Server-Leaving; {unanswered} of them got no \
         answer of the server"
    );
    if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
