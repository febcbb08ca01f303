//! Claims of requests that must not run twice.

use crate::{
    args::Claim,
    client::Client,
    exit::Failure,
    output::{Output, indented_text},
};

/// Shows the claim of an idempotency key.
pub async fn run(client: &Client, command: Claim, out: Output) -> Result<(), Failure> {
    let Claim::Show {
        tenant,
        service,
        key,
    } = command;
    let path = format!("/v1/claims/{tenant}/{service}/{key}");
    let claim = client.get(&path).await?;
    out.print(&claim, indented_text);
    Ok(())
}
