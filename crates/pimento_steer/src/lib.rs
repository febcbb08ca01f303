//! Steering: look-ups by block, headroom, link budgets and retries.
//!
//! [`Steering`] decides where callers are sent and where an entry VM passes a
//! request on; [`Attempts`] decides whether a failed attempt is repeated. Both
//! are pure: time, views and seeds are handed in. See
//! `docs/design/steering.md` and `docs/design/retries.md`.

mod attempts;
mod block_table;
mod config;
mod family;
mod growth;
mod link_budget;
mod liveness;
mod lookup;
mod place;
mod plan;
mod retry_budget;
mod route;
mod steering;
mod view;

pub use attempts::{Attempts, Failure, NextStep};
pub use block_table::{BlockDelta, BlockTable};
pub use config::SteeringConfig;
pub use link_budget::LinkBudget;
pub use liveness::Liveness;
pub use lookup::Lookup;
pub use retry_budget::RetryBudget;
pub use route::{Hop, Origin, Outcome, RouteRequest};
pub use steering::{Location, Steering};
pub use view::{ClusterView, DomainSummary, EntryVm, Peer, ServiceHeadroom};
