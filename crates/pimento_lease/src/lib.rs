//! Target leases: one entry VM admits for one target at a time.
//!
//! [`Leases`] is the side of an entry VM and [`Announcer`] the side of a
//! target. Both are pure state machines; the rules that keep two entry VMs from
//! ever holding one target at once are in `docs/design/leases.md`.

mod announce;
mod announcer;
mod choice;
mod config;
mod effect;
mod handover;
mod leases;
mod record;
mod release;

pub use announce::{AnnounceReply, Announcement, TargetState, Token};
pub use announcer::{Announcer, TargetInfo};
pub use choice::Candidate;
pub use config::LeaseConfig;
pub use effect::{Cause, Effect};
pub use leases::Leases;
pub use record::LeaseView;
pub use release::LeaseRelease;
