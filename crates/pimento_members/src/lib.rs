//! Membership inside a failure domain and summaries between domains.
//!
//! [`Members`] is a pure state machine: it takes messages and ticks with the
//! time handed in, and returns [`Effect`]s. Each VM sends heartbeats to all
//! others of its failure domain. Between domains go summaries, each by a
//! delegate, so that the cost of a VM follows the size of its domain. See
//! `docs/design/members.md`.

mod config;
mod discovery;
mod domain;
mod effect;
mod heartbeat;
mod info;
mod load;
mod members;
mod message;
mod peer;
mod receive;
mod summary;
mod wire;

pub use config::{Config, Timing};
pub use domain::{Domain, Headroom};
pub use effect::Effect;
pub use info::{Contact, VmInfo};
pub use load::ServiceLoad;
pub use members::Members;
pub use message::{
    Body, EncodedContact, EncodedInfo, EncodedService, Heartbeat, Hello, Hint, Leave, Message,
    Summary, VmIncarnation,
};
pub use peer::{Peer, PeerState};
