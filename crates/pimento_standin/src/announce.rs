//! The loop in which a stand-in target announces itself.

use crate::shared::Shared;
use awc::Client;
use pimento_lease::{AnnounceReply, Announcement, Token};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The longest wait for the reply to an announcement.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The wait before the next entry VM is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Announces the target until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>, address: SocketAddr) {
    let client = Client::builder().timeout(REPLY_TIMEOUT).finish();
    let instance = instance();
    let entries = &shared.config.entries;
    let mut token: Option<Token> = None;
    let mut next = 0;
    let mut entry = entries[0];
    loop {
        let announcement = announcement(&shared, address, instance, token.clone());
        let wait = if let Some(reply) = send(&client, entry, &announcement).await {
            entry = reply.holder;
            token = Some(reply.token);
            Duration::from_millis(reply.interval_ms)
        } else {
            next = (next + 1) % entries.len();
            entry = entries[next];
            RETRY_INTERVAL
        };
        tokio::select! {
            () = actix_rt::time::sleep(wait) => {}
            () = shared.changed.notified() => {}
        }
    }
}

/// A number that differs between starts of the process.
fn instance() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |time| time.as_micros() as u64)
}

fn announcement(
    shared: &Shared,
    address: SocketAddr,
    instance: u64,
    token: Option<Token>,
) -> Announcement {
    Announcement {
        target: shared.config.target.clone(),
        instance,
        service: shared.config.service.clone(),
        address,
        slots: shared.config.slots,
        connections: shared.config.connections,
        state: shared.state(),
        load: shared.running(),
        token,
    }
}

/// Sends one announcement; any failure is the same to a target.
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
