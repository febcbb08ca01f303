//! Traffic steering: look-ups by client block, routing by headroom, link
//! budgets and retries.
//!
//! [`Steering`] decides which entry VMs callers use and where an entry VM
//! forwards a request; [`Attempts`] decides whether a failed attempt is
//! retried. Both are pure: the caller passes in the time, the known state of
//! the other VMs and a random seed. See `docs/design/steering.md` and
//! `docs/design/retries.md`.

mod attempts;
mod block_table;
mod config;
mod destination;
mod family;
mod link_budget;
mod liveness;
mod lookup;
mod lookup_plan;
mod retry_budget;
mod route;
mod spillover;
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
