//! HTTP client whose answers are whole or an error.
//!
//! A plain `awc` client takes the end of a connection for the end of a body:
//! an answer that was cut short looks complete, with `Content-Length` and with
//! chunks alike. The clients of this crate report it as an error. They also
//! send small packets at once and follow no redirects. See
//! `docs/design/answers.md`.

mod client;
mod socket;

pub use client::ClientConfig;
pub use socket::StrictSocket;
