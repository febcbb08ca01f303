//! Waiting until a release note is in force.

use crate::{
    client::{Client, Reply},
    exit::{Exit, Failure},
    output::progress,
};
use awc::http::Method;
use serde_json::Value;
use std::time::{Duration, Instant};

/// How often to poll the versions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Number of polls per line of progress output.
const POLLS_PER_PROGRESS: u32 = 8;

/// The version in force at a VM, or the lowest version in a failure domain.
#[derive(Clone, Debug)]
struct ReportedVersion {
    /// Name of the VM, or `domain` and the name of the failure domain.
    name: String,
    version: u64,
}

impl ReportedVersion {
    const fn new(name: String, version: u64) -> Self {
        Self { name, version }
    }
}

/// Waits until a version is in force at every VM and failure domain that the
/// servers report as alive; returns their names.
///
/// # Errors
///
/// Returns a [`Failure`] at the deadline that names the VMs and domains which
/// are behind.
pub async fn wait_until_in_force(
    client: &Client,
    number: u64,
    deadline: Instant,
) -> Result<Vec<String>, Failure> {
    for poll in 0_u32.. {
        let reported = versions(client).await;
        let behind: Vec<&ReportedVersion> =
            reported.iter().filter(|r| r.version < number).collect();
        if !reported.is_empty() && behind.is_empty() {
            return Ok(reported.into_iter().map(|r| r.name).collect());
        }
        let names: Vec<&str> = behind.iter().map(|r| r.name.as_str()).collect();
        let text = match names.len() {
            0 => format!("note {number} is accepted; no VM reports its version"),
            n => format!(
                "note {number} is accepted; behind on {n}: {}",
                names.join(", ")
            ),
        };
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(Failure::new(Exit::Unknown, text));
        }
        if poll % POLLS_PER_PROGRESS == 0 {
            progress(&text);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Err(Failure::new(Exit::Unknown, "too many polls"))
}

/// The versions reported by all servers. Each name is listed once, with its
/// highest version.
async fn versions(client: &Client) -> Vec<ReportedVersion> {
    let mut all = Vec::new();
    for server in client.servers() {
        let reply = client
            .send(server, Method::GET, "/v1/status", Vec::new())
            .await;
        if let Reply::Success(status) = reply {
            all.extend(versions_in_status(&status));
        }
    }
    all.sort_unstable_by(|a, b| (&a.name, b.version).cmp(&(&b.name, a.version)));
    all.dedup_by(|later, first| later.name == first.name);
    all
}

/// The versions in the status of one VM: its own, those of the other VMs in its
/// failure domain, and the lowest one of each other failure domain.
fn versions_in_status(status: &Value) -> Vec<ReportedVersion> {
    let list = |name| {
        status
            .get(name)
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
    };
    let is_alive = |vm: &&Value| vm.get("alive") == Some(&Value::Bool(true));
    let has_live_vms = |domain: &&Value| domain.get("live") != Some(&Value::from(0));
    let vm_version = |vm: &Value| {
        let name = vm.get("vm")?.as_str()?;
        let version = vm.get("version")?.as_u64()?;
        Some(ReportedVersion::new(name.to_owned(), version))
    };
    let domain_version = |domain: &Value| {
        let name = domain.get("domain")?.as_str()?;
        let lowest = domain.get("low")?.as_u64()?;
        Some(ReportedVersion::new(format!("domain {name}"), lowest))
    };
    let vms = std::iter::once(status).chain(list("vms").filter(is_alive));
    let domains = list("domains").filter(has_live_vms);
    let vms = vms.filter_map(vm_version);
    vms.chain(domains.filter_map(domain_version)).collect()
}
