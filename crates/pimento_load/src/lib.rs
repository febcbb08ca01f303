//! Open-loop load generator that behaves like callers of the system.
//!
//! [`run`] looks up entry VMs and caches the results, starts requests at the
//! times of a seeded schedule, resends after lost responses, and checks what
//! the system guarantees: complete responses to the right request, a verdict
//! with each failure and, from the counters of the stand-in targets, no
//! duplicate run of an idempotency key and no slot overrun. See
//! `docs/ops/load.md`.

mod args;
mod attempt;
mod broken_promise;
mod caller;
mod lookup;
mod outcome;
mod report;
mod request;
mod run;
mod schedule;
mod tally;
mod target_counters;
mod text;

pub use args::{Args, ClassShare, ClassShareError};
pub use broken_promise::BrokenPromise;
pub use report::{EntryRow, FailureRow, LatencyRow, Report, TargetRow};
pub use run::{measure, run};
pub use schedule::{Arrival, Schedule};
