//! Limits of single resources.

use crate::{
    args::Cap,
    client::Client,
    exit::Failure,
    output::{Output, lines},
};
use awc::http::Method;
use serde_json::json;

/// Sets or forgets a limit.
pub async fn run(client: &Client, command: Cap, out: Output) -> Result<(), Failure> {
    let (service, resource, limit) = match command {
        Cap::Set {
            service,
            resource,
            limit,
        } => (service, resource, Some(limit)),
        Cap::Forget { service, resource } => (service, resource, None),
    };
    let path = format!("/v1/caps/{service}/{}", escape(&resource));
    let body = json!({ "limit": limit }).to_string();
    let done = client.call(Method::PUT, &path, body.into_bytes()).await?;
    out.print(&done, lines);
    Ok(())
}

/// A path segment with everything but unreserved characters escaped.
fn escape(segment: &str) -> String {
    let kept = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let escaped = segment.bytes().map(|byte| {
        if kept(byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    });
    escaped.collect()
}
