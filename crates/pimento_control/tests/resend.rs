//! Resends after answers, leaders or a part of the log were lost.

mod support;

use actix::Addr;
use pimento_control::{Backup, Control, Propose, restore_backup};
use pimento_state::{Command, ledger::OutcomeKind};
use support::{
    Cluster,
    claims::{answer, claim, done, free, kind, now, slot},
};

/// Longer than any caller's clock may be ahead, in milliseconds.
const LATER: u64 = 10 * 60 * 1_000;

async fn run(addr: &Addr<Control>, command: Command) -> OutcomeKind {
    kind(addr.send(Propose { command }).await.unwrap().unwrap())
}

#[actix_rt::test]
async fn leader_change() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let old = cluster.leader(3).await;
    let addr = cluster.vms[old].clone().unwrap();
    let (first, other) = (slot(now(), 1), slot(now(), 2));
    assert_eq!(run(&addr, claim(&first, 1)).await, OutcomeKind::Granted(()));
    assert_eq!(
        run(&addr, done(&first, 1, answer())).await,
        OutcomeKind::Finished(true)
    );
    assert_eq!(run(&addr, claim(&other, 2)).await, OutcomeKind::Granted(()));
    cluster.stop(old).await;
    let new = cluster.leader(3).await;
    let addr = cluster.vms[new].clone().unwrap();
    assert_eq!(
        run(&addr, claim(&first, 3)).await,
        OutcomeKind::Replay(answer())
    );
    let again = run(&addr, claim(&other, 3)).await;
    assert!(matches!(again, OutcomeKind::InFlight(_)), "{again:?}");
}

#[actix_rt::test]
async fn restored_group() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let (ran, freed, lost) = (slot(now(), 1), slot(now(), 2), slot(now(), 3));
    run(&addr, claim(&ran, 1)).await;
    run(&addr, done(&ran, 1, answer())).await;
    run(&addr, claim(&freed, 2)).await;
    run(&addr, free(&freed, 2)).await;
    let backup = addr.send(Backup).await.unwrap().unwrap();
    // What follows is lost with the old group.
    assert_eq!(run(&addr, claim(&freed, 3)).await, OutcomeKind::Granted(()));
    assert_eq!(run(&addr, claim(&lost, 4)).await, OutcomeKind::Granted(()));
    for i in 0..3 {
        cluster.stop(i).await;
        cluster.folders[i] = tempfile::tempdir().unwrap();
    }
    let (vm, data) = (&cluster.peers[0].vm, cluster.folders[0].path());
    restore_backup(&backup, data, vm, &cluster.peers).unwrap();
    cluster.start_all();
    let leader = cluster.leader(3).await;
    // The fence holds at any later leader too.
    cluster.stop(leader).await;
    let leader = cluster.leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    assert_eq!(
        run(&addr, claim(&ran, 5)).await,
        OutcomeKind::Replay(answer())
    );
    for unknown in [freed, lost] {
        let again = run(&addr, claim(&unknown, 5)).await;
        assert!(matches!(again, OutcomeKind::TooOld(_)), "{again:?}");
    }
    let next = slot(now() + LATER, 4);
    assert_eq!(run(&addr, claim(&next, 5)).await, OutcomeKind::Granted(()));
}
