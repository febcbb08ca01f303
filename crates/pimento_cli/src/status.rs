//! The status of the system, and draining of targets and VMs.

use crate::{
    args::{Target, Vm},
    client::{Client, Reply},
    exit::Failure,
    output::{Output, indented_text},
};
use awc::http::Method;
use serde_json::{Value, json};

/// Shows VMs, targets, leases, versions and the control group as seen by each of
/// the given servers. One server is not enough for all targets, since a VM only
/// knows those whose leases it holds.
pub async fn show(client: &Client, out: Output) -> Result<(), Failure> {
    let [_, _, ..] = client.servers() else {
        out.print(&client.get("/v1/status").await?, indented_text);
        return Ok(());
    };
    let mut statuses = Vec::new();
    for server in client.servers() {
        let reply = client.send(server, Method::GET, "/v1/status", Vec::new());
        statuses.push(match reply.await {
            Reply::Success(status) => json!({ "server": server, "status": status }),
            Reply::Unreachable(error) | Reply::Lost(error) => {
                json!({ "server": server, "fault": error })
            }
            Reply::Error(status, problem) => {
                return Err(problem.to_failure(server, status));
            }
        });
    }
    let text = |statuses: &Value| {
        let statuses = statuses.as_array().into_iter().flatten();
        statuses.map(indented_text).collect::<Vec<_>>().join("\n\n")
    };
    out.print(&Value::from(statuses), text);
    Ok(())
}

/// Stops sending new requests to a target.
pub async fn drain_target(client: &Client, command: Target, out: Output) -> Result<(), Failure> {
    let Target::Drain { name } = command;
    drain(client, &format!("/v1/targets/{name}/drain"), &name, out).await
}

/// Starts the graceful shutdown of a VM.
pub async fn drain_vm(client: &Client, command: Vm, out: Output) -> Result<(), Failure> {
    let Vm::Drain { name } = command;
    drain(client, &format!("/v1/vms/{name}/drain"), &name, out).await
}

async fn drain(client: &Client, path: &str, name: &str, out: Output) -> Result<(), Failure> {
    let response = client.call(Method::POST, path, Vec::new()).await?;
    out.print(&response, |_| format!("{name} is draining"));
    Ok(())
}
