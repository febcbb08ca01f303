//! Requests resent after a lost reply, a leader change or a restored backup.

mod support;

use actix::Addr;
use pimento_control::{Backup, Control, Propose, restore_backup};
use pimento_state::{Command, ledger::OutcomeKind};
use support::{
    Cluster,
    claims::{answer, claim, claim_key, finish, free, ledger_result, now_millis},
};

/// More than the maximum clock skew of callers that the fence allows for.
const BEYOND_SKEW_MS: u64 = 10 * 60 * 1_000;

async fn propose(addr: &Addr<Control>, command: Command) -> OutcomeKind {
    ledger_result(addr.send(Propose { command }).await.unwrap().unwrap())
}

#[actix_rt::test]
async fn claims_survive_leader_change() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let old_leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[old_leader].clone().unwrap();
    let (finished, running) = (claim_key(now_millis(), 1), claim_key(now_millis(), 2));
    assert_eq!(
        propose(&addr, claim(&finished, 1)).await,
        OutcomeKind::Granted(())
    );
    assert_eq!(
        propose(&addr, finish(&finished, 1, answer())).await,
        OutcomeKind::Finished(true)
    );
    assert_eq!(
        propose(&addr, claim(&running, 2)).await,
        OutcomeKind::Granted(())
    );
    cluster.stop(old_leader).await;
    let new_leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[new_leader].clone().unwrap();
    assert_eq!(
        propose(&addr, claim(&finished, 3)).await,
        OutcomeKind::Replay(answer())
    );
    let resent = propose(&addr, claim(&running, 3)).await;
    assert!(matches!(resent, OutcomeKind::InFlight(_)), "{resent:?}");
}

#[actix_rt::test]
async fn restored_group_fences_lost_claims() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let (ran, freed, lost) = (
        claim_key(now_millis(), 1),
        claim_key(now_millis(), 2),
        claim_key(now_millis(), 3),
    );
    propose(&addr, claim(&ran, 1)).await;
    propose(&addr, finish(&ran, 1, answer())).await;
    propose(&addr, claim(&freed, 2)).await;
    propose(&addr, free(&freed, 2)).await;
    let backup = addr.send(Backup).await.unwrap().unwrap();
    // The following claims are lost with the old group.
    assert_eq!(
        propose(&addr, claim(&freed, 3)).await,
        OutcomeKind::Granted(())
    );
    assert_eq!(
        propose(&addr, claim(&lost, 4)).await,
        OutcomeKind::Granted(())
    );
    for i in 0..3 {
        cluster.stop(i).await;
        cluster.folders[i] = tempfile::tempdir().unwrap();
    }
    let (vm, data) = (&cluster.peers[0].vm, cluster.folders[0].path());
    restore_backup(&backup, data, vm, &cluster.peers).unwrap();
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    // Later leaders enforce the fence too.
    cluster.stop(leader).await;
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    assert_eq!(
        propose(&addr, claim(&ran, 5)).await,
        OutcomeKind::Replay(answer())
    );
    for unknown in [freed, lost] {
        let resent = propose(&addr, claim(&unknown, 5)).await;
        assert!(matches!(resent, OutcomeKind::TooOld(_)), "{resent:?}");
    }
    let later = claim_key(now_millis() + BEYOND_SKEW_MS, 4);
    assert_eq!(
        propose(&addr, claim(&later, 5)).await,
        OutcomeKind::Granted(())
    );
}
