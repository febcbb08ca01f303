//! Lookups as callers make them.

use crate::{
    args::Lookup,
    client::Client,
    exit::Failure,
    output::{Output, indented_text},
};
use std::time::Duration;

/// Looks up the entry VMs of a service.
pub async fn run(query: Lookup, timeout: Duration, out: Output) -> Result<(), Failure> {
    let client = Client::new(&[query.callers], None, timeout)?;
    let service = &query.service;
    let path = match query.block {
        Some(block) => format!("/v1/lookup?service={service}&block={block}"),
        None => format!("/v1/lookup?service={service}"),
    };
    let result = client.get(&path).await?;
    out.print(&result, indented_text);
    Ok(())
}
