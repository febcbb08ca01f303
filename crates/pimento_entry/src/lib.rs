//! The entry role: listeners for callers, targets and operators, and the proxy.
//!
//! The [`Node`] actor owns the decision cores of an entry VM; the listeners run
//! on worker threads and ask it. `docs/ARCHITECTURE.md` follows a request
//! through them.

mod announce;
mod answer;
mod body;
mod callers;
mod claim;
mod dispatch;
mod forward;
mod forwards;
mod headers;
mod hedge;
mod hops;
mod inbound;
mod install;
mod metrics;
mod node;
mod notes;
mod once;
mod operators;
mod permit;
mod problem;
mod settling;
mod shared;
mod stop;
mod upstream;

pub use install::{EntryRole, Listeners};
pub use node::Node;
pub use problem::Problem;
