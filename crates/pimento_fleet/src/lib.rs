//! VMs that find each other, and what spreads between them in datagrams.
//!
//! [`Fleet`] is the pure core: which VMs live, what they still lack of the
//! items and targets, which of them grants the places of which targets.
//! [`FleetActor`] carries its datagrams and timers, and publishes a [`RoutingView`]
//! that requests are decided by. See `docs/design/platform.md`.

mod actor;
mod asks;
mod beats;
mod board;
mod config;
mod effect;
mod fleet;
mod granting;
mod members;
mod message;
mod naming;
mod news;
mod parts;
mod patience;
mod receive;
mod shards;
mod spread;
mod suspects;
mod view;
mod viewing;

pub use actor::{
    AcquirePermit, FleetActor, GetEntries, ReleasePermit, RequestReport, SetCatalog, SetLoad,
    TargetReport,
};
pub use actor::{StartError, UpdateProcess};
pub use board::{RoutableTargets, TargetInfo};
pub use config::FleetConfig;
pub use effect::{Effect, OutgoingMessage, PermitDecision, RefusalReason};
pub use fleet::Fleet;
pub use members::Node;
pub use message::{NodeInfo, Role, Stage};
pub use view::{RoutingView, SharedView};
