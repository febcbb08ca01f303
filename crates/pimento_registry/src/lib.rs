//! The registry of targets and their incarnations.
//!
//! Every VM has a [`Registry`]. A target reports its state to one control VM,
//! which forwards it to the other VMs. Reports arrive late, twice and out of
//! order, so merging them is commutative and idempotent, and the stage of an
//! incarnation only advances: ready, draining, gone. See
//! `docs/design/registry.md`.

mod check;
mod registry;
mod target;

pub use check::{InvalidTarget, MAX_INCARNATION, MAX_NAME_BYTES, MAX_SLOTS};
pub use registry::{BUCKET_COUNT, MergeOutcome, Registry};
pub use target::{Stage, Target};
