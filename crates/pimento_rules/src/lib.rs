//! Release notes and the rules that they put in force.
//!
//! A release note lists what is added, changed and withdrawn. The accepted
//! notes, applied in the order of their numbers, give the [`Rules`]. See
//! `docs/design/notes.md`.

mod apply;
mod blocks;
mod book;
mod check;
mod digest;
mod error;
mod follower;
mod items;
mod note;
mod parse;
mod push;
mod rules;
mod snapshot;
mod wire;

pub use blocks::Blocks;
pub use book::{AcceptedNote, NoteLog, OfferOutcome};
pub use digest::Digest;
pub use error::{FieldError, NoteError, Position};
pub use follower::{Follower, PushOutcome};
pub use items::{Block, Cap, Domain, Link, Queue, Region, Retry, Service};
pub use note::{Items, MAX_NOTE_BYTES, Note, Withdrawn};
pub use push::{Page, RulesPull, RulesPush};
pub use rules::Rules;

/// The types that users of the rules import.
pub mod prelude {
    pub use crate::{Block, Cap, Domain, Link, Note, Queue, Region, Retry, Rules, Service};
}
