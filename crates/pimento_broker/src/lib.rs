//! Places on targets: who gets one, who waits, who is refused.
//!
//! One entry VM of a failure domain grants the places on the targets of a
//! service there, so that they are counted once. [`Broker`] decides on it;
//! [`order`] says which failure domains a request tries, and [`Budget`] how
//! many repeats this VM may send. All of it is pure. See
//! `docs/design/placement.md`.

mod ask;
mod broker;
mod budget;
mod closures;
mod order;
mod pace;
mod pool;
mod queue;
mod target;

pub use ask::{Ask, AskId, Effect, Ending, Report, Wait};
pub use broker::Broker;
pub use budget::Budget;
pub use closures::Closures;
pub use order::{Origin, Place, order};
pub use target::TargetView;
