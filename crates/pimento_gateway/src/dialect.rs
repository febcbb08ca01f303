//! The names of the headers that callers, VMs and targets exchange.

use hyper::header::HeaderName;

/// The names of the headers that callers, VMs and targets exchange.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names one attempt of a caller; a target repeats it in its answer.
    pub request_id: HeaderName,
    /// How long the sender waits, in milliseconds.
    pub time_left: HeaderName,
    /// What the request is about.
    pub object: HeaderName,
    /// The name of the lifetime that a request is meant for.
    pub expected: HeaderName,
    /// The target's load: running, waiting and slots, with commas.
    pub load: HeaderName,
    /// Says that the target did not run the request.
    pub not_run: HeaderName,
    /// How long the target stays cold, in milliseconds.
    pub cold: HeaderName,
}
