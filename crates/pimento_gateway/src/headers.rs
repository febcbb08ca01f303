//! Headers that concern one connection only.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The headers that no other connection must see.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    // Written anew by the HTTP library, from the body itself.
    CONTENT_LENGTH,
];

/// Removes the headers that concern one connection only, also those that the
/// `Connection` header names.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// A header's value as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// A header's value as a whole number.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Whether the sender closes the connection.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    let list = text(headers, &CONNECTION);
    list.is_some_and(|list| list.to_ascii_lowercase().contains("close"))
}

/// How long the sender keeps the connection when idle, in seconds.
pub(crate) fn kept(headers: &HeaderMap) -> Option<u64> {
    let list = text(headers, &KEEP_ALIVE)?;
    let timeout = list
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="));
    timeout?.parse().ok()
}
