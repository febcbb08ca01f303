//! What subscribers are told while a replica catches up.

mod support;

use actix::prelude::*;
use pimento_control::{CatalogChanged, Propose, SubscribeCatalog};
use pimento_state::{
    Command, Op,
    items::{Body, Changeset, Item, Service},
};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use support::Cluster;

/// The number of changes before the restart.
const CHANGES: u64 = 20;
/// More than a heartbeat interval of the leader.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Records the revisions of the catalogs that it is sent.
#[derive(Debug, Default)]
struct Subscriber(Arc<Mutex<Vec<u64>>>);

impl Actor for Subscriber {
    type Context = Context<Self>;
}

impl Handler<CatalogChanged> for Subscriber {
    type Result = ();

    fn handle(&mut self, msg: CatalogChanged, _: &mut Context<Self>) {
        self.0.lock().unwrap().push(msg.catalog.revision());
    }
}

fn change(version: u64) -> Command {
    let body = Body::Service(Service {
        health: "/".into(),
        max_connections: 10,
        cold_ms: 0,
        cold_rate: 0,
    });
    let items = vec![Item::new("s", version, body)];
    Command::new(0, Op::Items(Changeset { items }))
}

// Entry VMs that started beside a restarted control VM got its old states one after the other.
#[actix_rt::test]
async fn restart_publishes_no_old_state() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    for version in 1..=CHANGES {
        let command = change(version);
        addr.send(Propose { command }).await.unwrap().unwrap();
    }
    let applied = cluster.status(leader).await.applied;
    let restarted = (leader + 1) % 3;
    cluster
        .wait_for_status(restarted, |s| s.applied >= applied)
        .await;
    tokio::time::sleep(QUIET_TIME).await;
    cluster.stop(restarted).await;
    cluster.start(restarted);
    let subscriber = Subscriber::default();
    let revisions = Arc::clone(&subscriber.0);
    let replica = cluster.vms[restarted].clone().unwrap();
    let recipient = subscriber.start().recipient();
    replica.send(SubscribeCatalog(recipient)).await.unwrap();
    cluster
        .wait_for_status(restarted, |s| s.applied >= applied)
        .await;
    tokio::time::sleep(QUIET_TIME).await;
    let mut revisions = revisions.lock().unwrap().clone();
    revisions.retain(|revision| *revision > 0);
    revisions.dedup();
    assert_eq!(revisions, [applied]);
}
