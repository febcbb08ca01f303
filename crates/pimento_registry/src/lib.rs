//! Targets that announce themselves, by lifetime.
//!
//! A [`Registry`] is on every VM. What a target says reaches one control VM and
//! spreads from there; reports arrive late, twice and out of order, so taking
//! one is commutative and idempotent, and a lifetime only ever moves forward:
//! ready, draining, gone. See `docs/design/registry.md`.

mod registry;
mod target;

pub use registry::{BUCKET_COUNT, MergeOutcome, Registry};
pub use target::{Stage, Target};
