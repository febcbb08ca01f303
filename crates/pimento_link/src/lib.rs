//! Framed, authenticated links between the processes of pimentolanding.
//!
//! Every duty owns one [`Channel`] and its own `prost` messages; the link only
//! carries their bytes. See `docs/design/links.md`.

mod envelope;
mod links;

pub use envelope::Channel;
pub use links::{CallError, Incoming, Links, Reply};
