//! The state of the system, and planned stops.

use crate::{
    args::{Target, Vm},
    client::Client,
    exit::Failure,
    output::{Output, lines},
};
use awc::http::Method;

/// Shows VMs, targets, leases, versions and the control group.
pub async fn show(client: &Client, out: Output) -> Result<(), Failure> {
    let status = client.get("/v1/status").await?;
    out.print(&status, lines);
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
