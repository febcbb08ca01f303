//! Permits to run requests on targets: granting, queueing and refusal.
//!
//! For each shard, one entry VM of the failure domain grants the permits, so
//! that each target's slots are counted in one place. [`Broker`] makes these
//! decisions; [`rank_shards`] and [`ShardSearch`] give the order in which a
//! request tries shards, and [`RetryBudget`] bounds the retries that this VM sends. Nothing here does
//! I/O or reads a clock. See `docs/design/placement.md`.

mod backoff;
mod broker;
mod budget;
mod ewma;
mod health;
mod pool;
mod queue;
mod ranking;
mod rate;
mod request;
mod search;
mod target;

pub use backoff::ShardBackoff;
pub use broker::Broker;
pub use budget::RetryBudget;
pub use ranking::{Origin, Shard, rank_shards};
pub use request::{
    Decision, ExpectedWait, PermitRequest, RequestId, RequestOutcome, RequestReport,
};
pub use search::{ShardRefusal, ShardSearch};
pub use target::TargetView;
