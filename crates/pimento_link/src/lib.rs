//! Framed, authenticated links between the processes of pimentolanding.
//!
//! Each subsystem has a [`Channel`] and its own `prost` messages; links only
//! transport the encoded bytes. A process dials each peer that it sends to, so
//! the sender notices when its connection stops answering, and replaces it
//! itself. See `docs/design/links.md`.

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
