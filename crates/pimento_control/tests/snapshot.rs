//! Logs that are replaced by snapshots, and catch-up by them.

mod support;

use actix::Addr;
use pimento_control::{Control, Propose, View};
use pimento_state::{
    Command, State,
    ledger::{Cause, ClaimKey, OutcomeKind},
};
use support::{
    Cluster,
    claims::{claim, done, kind, large_answer, now, slot},
};

/// The bytes of an answer, which is too large to be kept in the state.
const ANSWER: usize = 60_000;
/// Answers that are recorded at the same time.
const AT_ONCE: usize = 20;
/// Answers whose entries take two snapshots.
const ANSWERS: u64 = 200;

/// Proposes all commands at once; what they did.
async fn run_all(
    addr: &Addr<Control>,
    commands: impl IntoIterator<Item = Command>,
) -> Vec<OutcomeKind> {
    let propose = |command| addr.send(Propose { command });
    let sent: Vec<_> = commands.into_iter().map(propose).collect();
    let mut kinds = Vec::new();
    for outcome in sent {
        kinds.push(kind(outcome.await.unwrap().unwrap()));
    }
    kinds
}

#[actix_rt::test]
async fn long_log() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let away = (leader + 1) % 3;
    cluster.stop(away).await;
    let made = now();
    let slots: Vec<ClaimKey> = (0..ANSWERS).map(|i| slot(made + i, 0)).collect();
    let commands = slots.iter().map(|slot| claim(slot, 1));
    for granted in run_all(&addr, commands).await {
        assert_eq!(granted, OutcomeKind::Granted(()));
    }
    let answer = large_answer(ANSWER);
    for slots in slots.chunks(AT_ONCE) {
        let commands = slots.iter().map(|slot| done(slot, 1, answer.clone()));
        for finished in run_all(&addr, commands).await {
            assert_eq!(finished, OutcomeKind::Finished(false));
        }
    }
    // The log is replaced after 4 MiB, but for entries that are under way.
    let log = cluster.folders[leader].path().join("log");
    let size = std::fs::metadata(log).unwrap().len() as usize;
    assert!(size < (4 << 20) + 2 * AT_ONCE * ANSWER, "{size} bytes");
    let applied = cluster.status(leader).await.applied;
    cluster.start(away);
    cluster.until(away, |s| s.applied >= applied).await;
    // All start again from their folders, with one state.
    for i in 0..3 {
        cluster.stop(i).await;
    }
    cluster.start_all();
    cluster.leader(3).await;
    let addr = cluster.vms[away].clone().unwrap();
    let again = run_all(&addr, [claim(&slots[0], 2)]).await;
    let ran = OutcomeKind::MayHaveRun(Cause::NotStored.into());
    assert_eq!(again, [ran]);
    let mut states = Vec::new();
    for addr in cluster.addrs() {
        let view = View::new(State::clone);
        states.push(addr.send(view).await.unwrap().unwrap());
    }
    assert!(states[0] == states[1] && states[1] == states[2]);
}
