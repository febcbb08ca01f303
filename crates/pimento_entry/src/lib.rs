//! The entry role: HTTP listeners for callers, targets and operators, and the
//! proxy.
//!
//! The [`Node`] actor owns the decision cores of an entry VM. The listeners run
//! on worker threads and send messages to it. `docs/ARCHITECTURE.md` describes
//! the path of a request.

mod announce;
mod answer;
mod at_most_once;
mod attempt;
mod body;
mod callers;
mod claim;
mod dispatch;
mod forward;
mod forward_listener;
mod headers;
mod hedge;
mod inbound;
mod metrics;
mod node;
mod notes;
mod notices;
mod operators;
mod outcome_guard;
mod permit;
mod problem;
mod relay;
mod role;
mod shared;
mod stop;
mod upstream;

pub use node::Node;
pub use problem::Problem;
pub use role::{EntryRole, Listeners};
