//! Names of the headers exchanged between callers, VMs and targets.

use hyper::header::HeaderName;

/// Names of the headers exchanged between callers, VMs and targets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; a target echoes it in its response.
    pub request_id: HeaderName,
    /// How long the sender still waits, in milliseconds.
    pub time_left: HeaderName,
    /// The affinity key of the request.
    pub affinity: HeaderName,
    /// The name of the target that the request is meant for. Another target that
    /// has taken over its address refuses the request with status 421.
    pub expected_target: HeaderName,
    /// The target's load: running and waiting requests and slots, separated by
    /// commas.
    pub load: HeaderName,
    /// Present if the target did not run the request.
    pub not_run: HeaderName,
    /// Present in the responses of a target that shuts down.
    pub leaving: HeaderName,
    /// How long the target stays cold, in milliseconds.
    pub cold: HeaderName,
    /// The requests per second that the target takes from all VMs together, a
    /// decimal number.
    pub limit: HeaderName,
    /// The headers that tell callers apart. With the path and the body they show
    /// that a caller sends a request again.
    pub caller: Vec<HeaderName>,
}
