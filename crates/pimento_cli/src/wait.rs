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

/// The version that a VM, or every VM of a failure domain, has in force.
#[derive(Clone, Debug)]
struct InForce {
    place: String,
    version: u64,
}

impl InForce {
    const fn new(place: String, version: u64) -> Self {
        Self { place, version }
    }
}

/// Waits until every VM and failure domain that the servers know to be alive
/// has a version; their names.
///
/// # Errors
///
/// Returns a [`Failure`] that names those which are behind when time is up.
pub async fn wait(client: &Client, number: u64, limit: Instant) -> Result<Vec<String>, Failure> {
    for look in 0_u32.. {
        let vms = versions(client).await;
        let behind: Vec<&InForce> = vms.iter().filter(|vm| vm.version < number).collect();
        if !vms.is_empty() && behind.is_empty() {
            return Ok(vms.into_iter().map(|vm| vm.place).collect());
        }
        let names: Vec<&str> = behind.iter().map(|vm| vm.place.as_str()).collect();
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

/// The versions that the servers report, each place once with its newest one.
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
    all.sort_unstable_by(|a, b| (&a.place, b.version).cmp(&(&b.place, a.version)));
    all.dedup_by(|later, first| later.place == first.place);
    all
}

/// The versions in one status: that of the VM itself, those of the other VMs
/// of its failure domain, and the lowest one of each other failure domain.
fn reported(status: &Value) -> Vec<InForce> {
    let list = |name| {
        status
            .get(name)
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
    };
    let alive = |vm: &&Value| vm.get("alive") == Some(&Value::Bool(true));
    let live = |domain: &&Value| domain.get("live") != Some(&Value::from(0));
    let vm = |vm: &Value| {
        let name = vm.get("vm")?.as_str()?;
        let version = vm.get("version")?.as_u64()?;
        Some(InForce::new(name.to_owned(), version))
    };
    let domain = |domain: &Value| {
        let name = domain.get("domain")?.as_str()?;
        let low = domain.get("low")?.as_u64()?;
        Some(InForce::new(format!("domain {name}"), low))
    };
    let vms = std::iter::once(status).chain(list("vms").filter(alive));
    let domains = list("domains").filter(live);
    let vms = vms.filter_map(vm);
    vms.chain(domains.filter_map(domain)).collect()
}
