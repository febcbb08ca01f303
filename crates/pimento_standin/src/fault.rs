//! Faults that a stand-in target can simulate.

use serde::{Deserialize, Serialize};

/// A fault that a stand-in target simulates.
///
/// `PUT /fault` takes the JSON form, such as `"none"`, `"silent"` or
/// `{"shed": {"percent": 50}}`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Fault {
    /// Works normally.
    #[default]
    None,
    /// Refuses a random share of requests with status 503 and the verdict
    /// `not-run`.
    Shed {
        /// Share of requests to refuse.
        percent: u8,
    },
    /// Runs requests and responds with status 500.
    Error,
    /// Delays each response.
    Late {
        /// Delay in milliseconds, in addition to the service time.
        by: u64,
    },
    /// Runs requests and never responds.
    Silent,
    /// Requests on connections that were open when the fault was set neither
    /// run nor get a response; new connections work.
    Stalled,
    /// Closes the connection after half of each response body.
    Truncated {
        /// Whether the response uses chunked transfer encoding instead of a
        /// `Content-Length`.
        chunked: bool,
    },
    /// Responds with a text that the caller didn't send.
    Wrong,
}
