//! Limits of single resources.

use crate::{
    args::Cap,
    client::Client,
    exit::Failure,
    output::{Output, indented_text},
};
use awc::http::Method;
use serde_json::json;

/// Sets or deletes the limit of a resource.
pub async fn run(client: &Client, command: Cap, out: Output) -> Result<(), Failure> {
    let (service, resource, limit) = match command {
        Cap::Set {
            service,
            resource,
            limit,
        } => (service, resource, Some(limit)),
        Cap::Forget { service, resource } => (service, resource, None),
    };
    let path = format!("/v1/caps/{service}/{}", percent_encode(&resource));
    let body = json!({ "limit": limit }).to_string();
    let result = client.call(Method::PUT, &path, body.into_bytes()).await?;
    out.print(&result, indented_text);
    Ok(())
}

/// Percent-encodes a path segment, except for the unreserved characters of
/// RFC 3986.
fn percent_encode(segment: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    let encoded = segment.bytes().map(|byte| {
        if is_unreserved(byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    });
    encoded.collect()
}
