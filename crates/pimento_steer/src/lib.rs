//! Steering: look-ups by block, headroom, link budgets and retries.
//!
//! [`Steer`] decides where callers are sent and where an entry VM passes a
//! request on; [`Attempts`] decides whether a failed attempt is repeated. Both
//! are pure: time, views and seeds are handed in. See
//! `docs/design/steering.md` and `docs/design/retries.md`.

mod attempts;
mod block_table;
mod config;
mod family;
mod growth;
mod link_budget;
mod lookup;
mod place;
mod plan;
mod retry_budget;
mod route;
mod silence;
mod steer;
mod view;

pub use attempts::{Attempts, Failure, Next};
pub use block_table::{BlockDelta, BlockTable};
pub use config::SteerConfig;
pub use link_budget::LinkBudget;
pub use lookup::Lookup;
pub use retry_budget::RetryBudget;
pub use route::{Ask, Hop, Origin, Outcome};
pub use silence::Silence;
pub use steer::{Home, Steer};
pub use view::{Entry, Peer, Room, Summary, View};
