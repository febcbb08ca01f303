//! The Raft consensus algorithm as a pure state machine.
//!
//! [`Raft`] is one replica of the control group's log. It has no clock, socket,
//! file or thread: the caller passes in the time and messages, and carries out
//! the returned [`Effect`]s. See `docs/design/consensus.md`.

mod config;
mod effect;
mod election;
mod entry;
mod follower;
mod joining;
mod leader;
mod log;
mod members;
mod membership;
mod message;
mod progress;
mod raft;
mod reads;
mod snapshot;

pub use config::{Config, PersistentState};
pub use effect::{Effect, MemberChange, RejectReason, Role, Status, Write};
pub use entry::{Entry, EntryKind, HardState, Snapshot};
pub use members::{Member, Members};
pub use message::{
    AppendEntries, AppendEntriesReply, Body, BootstrapProbe, InstallSnapshot, InstallSnapshotReply,
    TimeoutNow,
};
pub use message::{Message, RequestVote, RequestVoteReply};
pub use raft::Raft;
