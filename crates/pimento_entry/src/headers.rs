//! Which headers travel, and the headers of the system itself.

use actix_web::http::header::{HeaderMap, HeaderName};

/// The time that is left for the request, in milliseconds.
pub(crate) const TIMEOUT: &str = "pimento-timeout-ms";

/// The tenant of the caller.
pub(crate) const TENANT: &str = "pimento-tenant";

/// The class that the caller asks for.
pub(crate) const CLASS: &str = "pimento-class";

/// The key that joins the resends of one request.
pub(crate) const KEY: &str = "idempotency-key";

/// The proof of the shared key between entry VMs.
pub(crate) const LINK: &str = "pimento-link";

/// The region and the failure domain of the entry VM that forwards a request.
pub(crate) const ORIGIN: &str = "pimento-origin";

/// Targets that earlier attempts of a forwarded request used.
pub(crate) const AVOID: &str = "pimento-avoid";

/// The target that had a failed attempt, told between entry VMs.
pub(crate) const TARGET: &str = "pimento-target";

/// The key of the request that a caller cancels.
pub(crate) const CANCELS: &str = "pimento-cancels";

/// Set on an answer that was stored for resends.
pub(crate) const REPLAYED: &str = "pimento-replayed";

/// Headers that belong to one connection (RFC 9110, section 7.6.1), or that the
/// next hop sets itself.
const HOP: [&str; 17] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "pimento-avoid",
    "pimento-link",
    "pimento-origin",
    "pimento-target",
    "pimento-timeout-ms",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers that go on to the next hop.
pub(crate) fn forwarded(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &[u8])> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop(name) && !is_named(headers, name))
        .map(|(name, value)| (name, value.as_bytes()))
}

/// Reads a header as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn is_hop(name: &HeaderName) -> bool {
    HOP.binary_search(&name.as_str()).is_ok()
}

/// Whether a `Connection` header names the header.
fn is_named(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
}
