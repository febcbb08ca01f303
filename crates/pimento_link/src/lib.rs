//! Framed, authenticated links between the processes of pimentolanding.
//!
//! Every duty owns one [`Channel`] and its own `prost` messages; the link only
//! carries their bytes. A process dials each peer that it sends to, so that the
//! connection which goes silent is the one that its user replaces. See
//! `docs/design/links.md`.

mod accept;
mod dial;
mod envelope;
mod handshake;
mod hub;
mod links;
mod pending;

pub use envelope::{Channel, Envelope};
pub use handshake::Key;
pub use links::{CallError, Incoming, Links, Reply};
