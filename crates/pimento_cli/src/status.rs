//! The state of the system, and planned stops.

use crate::{
    args::{Target, Vm},
    client::{Client, Reply},
    exit::Failure,
    output::{Output, lines},
};
use awc::http::Method;
use serde_json::{Value, json};

/// Shows VMs, targets, leases, versions and the control group, as each of the
/// given servers sees them: a VM knows the targets that it holds itself.
pub async fn show(client: &Client, out: Output) -> Result<(), Failure> {
    let [_, _, ..] = client.servers() else {
        out.print(&client.get("/v1/status").await?, lines);
        return Ok(());
    };
    let mut statuses = Vec::new();
    for server in client.servers() {
        let reply = client.send(server, Method::GET, "/v1/status", Vec::new());
        statuses.push(match reply.await {
            Reply::Done(status) => json!({ "server": server, "status": status }),
            Reply::Unreachable(fault) | Reply::Lost(fault) => {
                json!({ "server": server, "fault": fault })
            }
            Reply::Refused(status, problem) => {
                return Err(problem.failure(server, status));
            }
        });
    }
    let text = |all: &Value| {
        let all = all.as_array().into_iter().flatten();
        all.map(lines).collect::<Vec<_>>().join("\n\n")
    };
    out.print(&Value::from(statuses), text);
    Ok(())
}

/// Sends a target no more work.
pub async fn drain_target(client: &Client, command: Target, out: Output) -> Result<(), Failure> {
    let Target::Drain { name } = command;
    drain(client, &format!("/v1/targets/{name}/drain"), &name, out).await
}

/// Begins a planned stop of a VM.
pub async fn drain_vm(client: &Client, command: Vm, out: Output) -> Result<(), Failure> {
    let Vm::Drain { name } = command;
    drain(client, &format!("/v1/vms/{name}/drain"), &name, out).await
}

async fn drain(client: &Client, path: &str, name: &str, out: Output) -> Result<(), Failure> {
    let done = client.call(Method::POST, path, Vec::new()).await?;
    out.print(&done, |_| format!("{name} drains"));
    Ok(())
}
