//! Stand-in targets for tests, examples and the development mode.
//!
//! A [`Standin`] is a small HTTP server that announces itself to entry VMs as
//! a real target does, echoes what it gets after a service time, can be told to
//! misbehave ([`Fault`]), and keeps count of what the system must never do to a
//! target: run more requests than it has slots, or run a key twice
//! ([`Counters`]). See `docs/ops/load.md`.

mod announce;
mod config;
mod counters;
mod fault;
mod keys;
mod service;
mod shared;
mod standin;

pub use config::{ColdStart, ServiceTime, StandinConfig};
pub use counters::Counters;
pub use fault::Fault;
pub use keys::KeyRuns;
pub use service::{TARGET_HEADER, echoed_text, repeat_to_size};
pub use standin::Standin;
