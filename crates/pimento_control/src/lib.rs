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
mod messages;
mod query;
mod record;
mod waiters;
mod wire;

pub use actor::{Control, ControlConfig, MembershipMode};
pub use backup::{Restored, restore_backup};
pub use client::ControlClient;
pub use error::{ControlError, Fault};
pub use messages::{
    Backup, CatalogChanged, ChangeMembers, ControlStatus, GetRules, GetStatus, MemberStatus,
    Propose,
};
pub use messages::{RulesChanged, Shutdown, SubscribeCatalog, SubscribeRules, View};
pub use pimento_consensus::Change as MemberChange;
pub use query::{QueryKind, StateQuery};
