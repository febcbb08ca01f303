//! Target leases: one entry VM admits for one target at a time.
//!
//! See `docs/design/leases.md`.

mod announce;

pub use announce::{AnnounceReply, Announcement, TargetState, Token};
