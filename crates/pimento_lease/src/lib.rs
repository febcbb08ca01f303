//! Target leases: at any time, at most one entry VM may send requests to a
//! target.
//!
//! [`Leases`] is the entry VM's side and [`Announcer`] the target's side. Both
//! are pure state machines. The rules that prevent two entry VMs from holding a
//! lease on the same target at the same time are in `docs/design/leases.md`.

mod announce;
mod announcer;
mod candidate;
mod config;
mod effect;
mod handover;
mod leases;
mod record;
mod release;

pub use announce::{AnnounceReply, Announcement, TargetState, Token};
pub use announcer::{Announcer, TargetInfo};
pub use candidate::Candidate;
pub use config::LeaseConfig;
pub use effect::{Cause, Effect};
pub use leases::Leases;
pub use record::LeaseView;
pub use release::LeaseRelease;
