//! Waiting until a note is in force.

use crate::{
    client::{Client, Reply},
    exit::{Exit, Failure},
    output::progress,
};
use awc::http::Method;
use serde_json::Value;
use std::time::{Duration, Instant};

/// The pause between two looks at the versions in force.
const PAUSE: Duration = Duration::from_millis(250);

/// The looks between two lines of progress.
const PROGRESS: u32 = 8;

/// The version that a VM has in force.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct InForce {
    vm: String,
    version: u64,
}

/// Waits until every VM that the servers know to be alive has a version; the
/// names of the VMs.
///
/// # Errors
///
/// Returns a [`Failure`] that names the VMs which are behind when time is up.
pub async fn wait(client: &Client, number: u64, limit: Instant) -> Result<Vec<String>, Failure> {
    for look in 0_u32.. {
        let vms = versions(client).await;
        let behind: Vec<&InForce> = vms.iter().filter(|vm| vm.version < number).collect();
        if !vms.is_empty() && behind.is_empty() {
            return Ok(vms.into_iter().map(|vm| vm.vm).collect());
        }
        let names: Vec<&str> = behind.iter().map(|vm| vm.vm.as_str()).collect();
        let text = match names.len() {
            0 => format!("note {number} is accepted; no VM tells its version"),
            n => format!(
                "note {number} is accepted; behind on {n}: {}",
                names.join(", ")
            ),
        };
        if Instant::now() + PAUSE >= limit {
            return Err(Failure::new(Exit::Unknown, text));
        }
        if look % PROGRESS == 0 {
            progress(&text);
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    Err(Failure::new(Exit::Unknown, "gave up"))
}

/// The versions that the servers report, each VM once with its newest report.
async fn versions(client: &Client) -> Vec<InForce> {
    let mut all = Vec::new();
    for server in client.servers() {
        let reply = client
            .send(server, Method::GET, "/v1/status", Vec::new())
            .await;
        if let Reply::Done(status) = reply {
            all.extend(reported(&status));
        }
    }
    all.sort_unstable_by(|a, b| (&a.vm, b.version).cmp(&(&b.vm, a.version)));
    all.dedup_by(|later, first| later.vm == first.vm);
    all
}

/// The versions in one status: that of the VM itself and those of its `vms`.
fn reported(status: &Value) -> Vec<InForce> {
    let others = status.get("vms").and_then(Value::as_array);
    let others = others.into_iter().flatten();
    let alive = |vm: &&Value| vm.get("alive") != Some(&Value::Bool(false));
    let one = |vm: &Value| {
        let name = vm.get("vm")?.as_str()?.to_owned();
        let version = vm.get("version")?.as_u64()?;
        Some(InForce { vm: name, version })
    };
    let own = std::iter::once(status);
    own.chain(others.filter(alive)).filter_map(one).collect()
}
