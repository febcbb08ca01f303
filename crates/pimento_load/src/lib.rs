//! Open-loop load tool that behaves as a caller.
//!
//! [`run`] looks up entry VMs, caches what it is told, sends requests at the
//! times that a seeded schedule gives, resends after lost answers, and checks
//! what the system promises: whole answers to the caller's own request, a
//! verdict with each failure and, with the help of the stand-in targets, no key
//! run twice and no slot overrun. See `docs/ops/load.md`.

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
mod text;
mod witness;

pub use args::{Args, ClassShare, ClassShareError};
pub use broken_promise::BrokenPromise;
pub use report::{EntryRow, FailureRow, LatencyRow, Report, TargetRow};
pub use run::{measure, run};
pub use schedule::{Arrival, Schedule};
