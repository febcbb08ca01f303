//! The control role: consensus, storage and replicated state behind one actor.
//!
//! [`Control`] is the replica of one control VM; VMs without the role use a
//! [`ControlClient`]. See `docs/design/consensus.md` and
//! `docs/ops/control.md`.

mod actor;
mod apply;
mod backup;
mod client;
mod disk_writes;
mod error;
mod evacuation;
mod fence;
mod handlers;
mod log_writer;
mod membership;
mod messages;
mod query;
mod record;
mod waiters;
mod wire;

pub use actor::{Control, ControlConfig, MembershipMode};
pub use backup::{RestoredBackup, restore_backup};
pub use client::ControlClient;
pub use error::{ControlError, Fault};
pub use evacuation::order_evacuation;
pub use messages::{
    Backup, CatalogChanged, ChangeMembers, ControlStatus, GetRules, GetStatus, MemberStatus,
    Propose,
};
pub use messages::{RulesChanged, Shutdown, SubscribeCatalog, SubscribeRules, View};
pub use pimento_consensus::MemberChange;
pub use query::{QueryKind, StateQuery};
