//! Stand-in targets for tests, examples and the development mode.
//!
//! A [`Standin`] is a small HTTP server that announces itself to entry VMs as a
//! real target does and echoes requests after a service time. It can simulate
//! faults ([`Fault`]), and counts violations of what the system guarantees to a
//! target: no more concurrent requests than it has slots, and no idempotency
//! key run twice ([`Counters`]). See `docs/ops/load.md`.

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
