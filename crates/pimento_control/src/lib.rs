//! The control role: consensus, storage and replicated state behind one actor.
//!
//! [`Control`] is the replica of one control VM; [`ControlClient`] is what a VM
//! without the role holds in its place. See `docs/design/consensus.md` and
//! `docs/ops/control.md`.

mod actor;
mod apply;
mod backup;
mod client;
mod disk;
mod error;
mod fence;
mod handlers;
mod join;
mod look;
mod messages;
mod record;
mod waiters;
mod wire;

pub use actor::{Control, ControlConfig, Group};
pub use backup::{Restored, restore_backup};
pub use client::ControlClient;
pub use error::{ControlError, Fault};
pub use look::{Look, LookAt};
pub use messages::{
    Backup, CatalogChanged, Change, ControlStatus, GetStatus, MemberStatus, Propose, Query,
};
pub use messages::{RulesChanged, Shutdown, Subscribe, SubscribeCatalog, View};
pub use pimento_consensus::Change as MemberChange;
