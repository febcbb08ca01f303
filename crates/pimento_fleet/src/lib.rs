//! Cluster membership and the state that VMs exchange in datagrams.
//!
//! [`Fleet`] is the core, without I/O: it tracks which VMs are alive, sends
//! them the items and target updates that they lack, and decides which VM owns
//! which shard and so grants its permits. [`FleetActor`] drives it with
//! datagrams and timers, and publishes the [`RoutingView`] that requests are
//! routed by. See `docs/design/platform.md`.

mod actor;
mod applied;
mod broadcast;
mod config;
mod crash_reports;
mod effect;
mod entry_selection;
mod fleet;
mod fragments;
mod heartbeats;
mod item_delivery;
mod item_parts;
mod members;
mod message;
mod pending_requests;
mod permits;
mod poison;
mod poison_messages;
mod propagation;
mod receive;
mod reports;
mod routable;
mod routing;
mod rtt;
mod settling;
mod shards;
mod suspects;
mod unsent;
mod view;

pub use actor::{
    AcquirePermit, FleetActor, GetEntries, ReleasePermit, RequestReport, SetCatalog, SetLoad,
    TargetReport,
};
pub use actor::{StartError, UpdateProcess};
pub use config::FleetConfig;
pub use effect::{Effect, OutgoingMessage, PermitDecision, RefusalReason};
pub use fleet::Fleet;
pub use members::Node;
pub use message::{NodeInfo, Role, Stage};
pub use poison_messages::{GetRulings, LiftRefusal, PoisonReport};
pub use routable::{RoutableTargets, TargetInfo};
pub use view::{RoutingView, SharedView};
