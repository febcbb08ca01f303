//! Look-ups as callers make them.

use crate::{
    args::Lookup,
    client::Client,
    exit::Failure,
    output::{Output, lines},
};
use std::time::Duration;

/// Asks which entry VMs to use.
pub async fn run(query: Lookup, timeout: Duration, out: Output) -> Result<(), Failure> {
    let client = Client::new(&[query.callers], None, timeout)?;
    let service = &query.service;
    let path = match query.block {
        Some(block) => format!("/v1/lookup?service={service}&block={block}"),
        None => format!("/v1/lookup?service={service}"),
    };
    let found = client.get(&path).await?;
    out.print(&found, lines);
    Ok(())
}
