//! Log compaction, and catch-up by a snapshot.

mod support;

use actix::Addr;
use pimento_control::{Control, Propose, View};
use pimento_state::{
    Command, State,
    ledger::{Cause, ClaimKey, OutcomeKind},
};
use support::{
    Cluster,
    claims::{answer_of_size, claim, claim_key, finish, ledger_result, now_millis},
};

/// The size of an answer that is too large to be stored in the state.
const ANSWER_BYTES: usize = 60_000;
/// The number of answers that are recorded concurrently.
const BATCH_SIZE: usize = 20;
/// Enough answers for two snapshots.
const ANSWER_COUNT: u64 = 200;

/// Proposes all commands concurrently, and returns their outcomes.
async fn propose_all(
    addr: &Addr<Control>,
    commands: impl IntoIterator<Item = Command>,
) -> Vec<OutcomeKind> {
    let propose = |command| addr.send(Propose { command });
    let pending: Vec<_> = commands.into_iter().map(propose).collect();
    let mut results = Vec::new();
    for outcome in pending {
        results.push(ledger_result(outcome.await.unwrap().unwrap()));
    }
    results
}

#[actix_rt::test]
async fn log_is_compacted_and_replicas_converge() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let lagging = (leader + 1) % 3;
    cluster.stop(lagging).await;
    let start = now_millis();
    let claim_keys: Vec<ClaimKey> = (0..ANSWER_COUNT).map(|i| claim_key(start + i, 0)).collect();
    let commands = claim_keys.iter().map(|claim_key| claim(claim_key, 1));
    for granted in propose_all(&addr, commands).await {
        assert_eq!(granted, OutcomeKind::Granted(()));
    }
    let answer = answer_of_size(ANSWER_BYTES);
    for claim_keys in claim_keys.chunks(BATCH_SIZE) {
        let commands = claim_keys
            .iter()
            .map(|claim_key| finish(claim_key, 1, answer.clone()));
        for finished in propose_all(&addr, commands).await {
            assert_eq!(finished, OutcomeKind::Finished(false));
        }
    }
    // The log is compacted after 4 MiB, plus the entries in flight.
    let log = cluster.folders[leader].path().join("log");
    let size = std::fs::metadata(log).unwrap().len() as usize;
    assert!(
        size < (4 << 20) + 2 * BATCH_SIZE * ANSWER_BYTES,
        "{size} bytes"
    );
    let applied = cluster.status(leader).await.applied;
    cluster.start(lagging);
    cluster
        .wait_for_status(lagging, |s| s.applied >= applied)
        .await;
    // After a restart from their data folders all VMs have the same state.
    for i in 0..3 {
        cluster.stop(i).await;
    }
    cluster.start_all();
    cluster.wait_for_leader(3).await;
    let addr = cluster.vms[lagging].clone().unwrap();
    let resent = propose_all(&addr, [claim(&claim_keys[0], 2)]).await;
    let may_have_run = OutcomeKind::MayHaveRun(Cause::NotStored.into());
    assert_eq!(resent, [may_have_run]);
    let mut states = Vec::new();
    for addr in cluster.addrs() {
        let view = View::new(State::clone);
        states.push(addr.send(view).await.unwrap().unwrap());
    }
    assert!(states[0] == states[1] && states[1] == states[2]);
}
