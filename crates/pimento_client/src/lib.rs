//! HTTP client that reports truncated responses as errors.
//!
//! A plain `awc` client treats the end of a connection as the end of a body, so a
//! truncated response looks complete, with `Content-Length` as well as with
//! chunked encoding. The clients of this crate report an error instead. They skip
//! informational responses, and don't reuse a connection on which the peer sent
//! bytes that belong to no response. They also disable Nagle's algorithm and follow no redirects. See
//! `docs/design/answers.md`.

mod client;
mod framing;
mod response;
mod socket;

pub use client::ClientConfig;
pub use socket::StrictSocket;
