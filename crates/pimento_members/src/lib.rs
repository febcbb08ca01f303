//! Membership inside a failure domain and summaries between domains.
//!
//! [`Members`] is a pure state machine: it takes messages and ticks with the
//! time handed in, and returns [`Effect`]s. Each VM sends heartbeats to all
//! others of its failure domain. Between domains go summaries, each by a
//! delegate, so that the cost of a VM follows the size of its domain. See
//! `docs/design/members.md`.

mod beat;
mod config;
mod domain;
mod effect;
mod info;
mod join;
mod load;
mod members;
mod message;
mod peer;
mod receive;
mod summary;
mod wire;

pub use config::{Config, Pace};
pub use domain::{Domain, Headroom};
pub use effect::Effect;
pub use info::{Contact, Info};
pub use load::ServiceLoad;
pub use members::Members;
pub use message::{
    Beat, Body, ContactText, Hello, Hint, InfoText, Leave, Message, Named, ServiceText, Summary,
};
pub use peer::{Peer, PeerState};
