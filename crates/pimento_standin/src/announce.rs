//! The loop that announces a stand-in target to entry VMs.

use crate::shared::Shared;
use awc::Client;
use pimento_core::Time;
use pimento_lease::{AnnounceReply, Announcement, Announcer, TargetInfo};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// How often to check whether an announcement is due.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Announces the target until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>, address: SocketAddr) {
    let client = Client::builder().timeout(REPLY_TIMEOUT).finish();
    let entries = shared.config.entries.clone();
    let mut announcer = Announcer::new(target_info(&shared, address), entries, shared.config.seed);
    loop {
        announcer.set_state(shared.state());
        announcer.set_load(shared.running());
        if let Some((entry, announcement)) = announcer.next_announcement(now(&shared)) {
            match send(&client, entry, &announcement).await {
                Some(reply) => announcer.handle_reply(now(&shared), reply),
                None => announcer.handle_failure(now(&shared)),
            }
        }
        tokio::select! {
            () = actix_rt::time::sleep(POLL_INTERVAL) => {}
            () = shared.drain_started.notified() => {}
        }
    }
}

/// The time since the start of the target, which the announcer counts from.
fn now(shared: &Shared) -> Time {
    Time::ZERO + shared.started.elapsed()
}

fn target_info(shared: &Shared, address: SocketAddr) -> TargetInfo {
    let config = &shared.config;
    TargetInfo {
        target: config.target.clone(),
        incarnation: new_incarnation(),
        service: config.service.clone(),
        address,
        slots: config.slots,
        connections: config.connections,
    }
}

/// The current time in microseconds, which differs between starts of the
/// process.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |time| time.as_micros() as u64)
}

/// Sends one announcement. All failures are handled alike, so none is
/// distinguished.
async fn send(
    client: &Client,
    entry: SocketAddr,
    announcement: &Announcement,
) -> Option<AnnounceReply> {
    let url = format!("http://{entry}/v1/announce");
    let mut response = client.post(url).send_json(announcement).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().await.ok()
}
