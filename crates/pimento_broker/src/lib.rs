//! Places on targets: who gets one, who waits, who is refused.
//!
//! One entry VM of a failure domain grants the places on the targets of a
//! service there, so that they are counted once. [`Broker`] decides on it;
//! [`rank_shards`] says which failure domains a request tries, and [`RetryBudget`] how
//! many repeats this VM may send. All of it is pure. See
//! `docs/design/placement.md`.

mod backoff;
mod broker;
mod budget;
mod order;
mod pace;
mod pool;
mod queue;
mod request;
mod target;

pub use backoff::ShardBackoff;
pub use broker::Broker;
pub use budget::RetryBudget;
pub use order::{Origin, Shard, rank_shards};
pub use request::{
    Decision, ExpectedWait, PermitRequest, RequestId, RequestOutcome, RequestReport,
};
pub use target::TargetView;
