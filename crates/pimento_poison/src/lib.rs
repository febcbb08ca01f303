//! Poison requests: each target that begins to run one crashes.
//!
//! [`Fingerprint`] identifies a request whose caller sends it again. Nothing here
//! does I/O or reads a clock. See `docs/design/poison.md`.

mod fingerprint;

pub use fingerprint::Fingerprint;
