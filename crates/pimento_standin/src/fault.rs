//! The ways in which a stand-in target misbehaves.

use serde::{Deserialize, Serialize};

/// How a stand-in target misbehaves.
///
/// In JSON, as `PUT /fault` takes it: `"none"`, `"silent"`,
/// `{"shed": {"percent": 50}}` and so on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Fault {
    /// It behaves.
    #[default]
    None,
    /// It refuses a share of requests before running them, with status 503 and
    /// the verdict `not-run`.
    Shed {
        /// The share of requests.
        percent: u8,
    },
    /// It runs requests and answers with status 500.
    Error,
    /// It holds each answer back.
    Late {
        /// The delay in milliseconds, on top of the service time.
        by: u64,
    },
    /// It runs requests and never answers.
    Silent,
    /// Connections that were open when the fault was set swallow requests
    /// without running them; new connections work.
    Stalled,
    /// Answers end half-way.
    Truncated {
        /// Whether the answer's length is left open (chunked) or was promised
        /// by `Content-Length`.
        chunked: bool,
    },
    /// Each answer holds a text that its caller didn't send.
    Wrong,
}
