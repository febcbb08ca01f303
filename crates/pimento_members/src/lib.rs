//! Membership inside a failure domain and summaries between domains.
//!
//! [`Members`] is a pure state machine: its input is messages, ticks and the
//! current time, its output is [`Effect`]s. Each VM sends heartbeats to all
//! other VMs of its failure domain. Domains exchange summaries, which one
//! delegate per remote domain sends, so that the cost per VM depends mostly on
//! the size of its own domain. See `docs/design/members.md`.

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
pub use domain::{Domain, DomainLoad};
pub use effect::Effect;
pub use info::{Contact, VmInfo};
pub use load::ServiceLoad;
pub use members::Members;
pub use message::{
    Body, EncodedContact, EncodedInfo, EncodedService, Heartbeat, Hello, Hint, Leave, Message,
    Summary, VmIncarnation,
};
pub use peer::{Peer, PeerState};
