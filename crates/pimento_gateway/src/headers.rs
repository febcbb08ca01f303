//! Hop-by-hop headers and header values.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    // The HTTP library sets it again from the body.
    CONTENT_LENGTH,
];

/// Removes the hop-by-hop headers, including those listed in the `Connection`
/// header.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns a header's value as trimmed text.
pub(crate) fn text_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Returns a header's value as an integer.
pub(crate) fn number_value(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text_value(headers, name)?.parse().ok()
}

/// Whether the sender closes the connection after this message.
pub(crate) fn has_close(headers: &HeaderMap) -> bool {
    let list = text_value(headers, &CONNECTION);
    list.is_some_and(|list| list.to_ascii_lowercase().contains("close"))
}

/// How long the sender keeps an idle connection open, in seconds.
pub(crate) fn keep_alive_secs(headers: &HeaderMap) -> Option<u64> {
    let list = text_value(headers, &KEEP_ALIVE)?;
    let timeout = list
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="));
    timeout?.parse().ok()
}
