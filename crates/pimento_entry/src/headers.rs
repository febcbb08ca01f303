//! The system's own headers, and the rules for which headers are passed on.

use actix_web::http::header::{HeaderMap, HeaderName};

/// Time left until the request's deadline, in milliseconds.
pub(crate) const TIMEOUT: &str = "pimento-timeout-ms";

/// The caller's tenant.
pub(crate) const TENANT: &str = "pimento-tenant";

/// The requested priority class.
pub(crate) const CLASS: &str = "pimento-class";

/// The idempotency key, which is the same for all resends of a request.
pub(crate) const KEY: &str = "idempotency-key";

/// Proof that the sending entry VM knows the shared key.
pub(crate) const LINK: &str = "pimento-link";

/// Region and failure domain of the forwarding entry VM.
pub(crate) const ORIGIN: &str = "pimento-origin";

/// Targets that earlier attempts of a forwarded request have tried.
pub(crate) const AVOID: &str = "pimento-avoid";

/// The target of a failed attempt, reported from one entry VM to another.
pub(crate) const TARGET: &str = "pimento-target";

/// The idempotency key of the request to cancel.
pub(crate) const CANCELS: &str = "pimento-cancels";

/// A target says with it that it leaves.
pub(crate) const LEAVING: &str = "pimento-leaving";

/// When the sender of a refusal wants the next request, in seconds.
pub(crate) const RETRY_AFTER: &str = "retry-after";

/// Marks a response that was stored for resends.
pub(crate) const REPLAYED: &str = "pimento-replayed";

/// Headers that are not passed on: hop-by-hop headers (RFC 9110, section 7.6.1)
/// and those that each hop sets itself. Sorted.
const HOP_HEADERS: [&str; 18] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "pimento-avoid",
    "pimento-leaving",
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

/// The headers that are passed on to the next hop.
pub(crate) fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &[u8])> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_header(name) && !is_connection_option(headers, name))
        .map(|(name, value)| (name, value.as_bytes()))
}

/// The value of a header, if it is ASCII text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn is_hop_header(name: &HeaderName) -> bool {
    HOP_HEADERS.binary_search(&name.as_str()).is_ok()
}

/// Whether a `Connection` header lists this header.
fn is_connection_option(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
}
