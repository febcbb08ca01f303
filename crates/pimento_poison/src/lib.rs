//! Poison requests: each target that begins to run one crashes.
//!
//! Their callers send them again, at any VM. [`Fingerprint`] identifies such a
//! request, [`Judge`] keeps which requests crashed targets had, and decides which
//! of them are refused. What ran beside a poison request, or met crashes with
//! another cause, must not be refused. Nothing here does I/O or reads a clock. See
//! `docs/design/poison.md`.

mod evidence;
mod fingerprint;
mod judge;
mod recent_answers;
mod verdicts;

pub use fingerprint::Fingerprint;
pub use judge::{Decision, Judge};
pub use recent_answers::RecentAnswers;
pub use verdicts::{Ruling, Verdict};
