//! Release notes and the routing rules that result from them.
//!
//! A release note lists the items that it adds, changes and withdraws. Applying
//! the accepted notes in the order of their numbers yields the [`Rules`]. See
//! `docs/design/notes.md`.

mod apply;
mod blocks;
mod check;
mod digest;
mod error;
mod follower;
mod items;
mod note;
mod note_log;
mod parse;
mod push;
mod rules;
mod snapshot;
mod wire;

pub use blocks::Blocks;
pub use digest::Digest;
pub use error::{FieldError, NoteError, Position};
pub use follower::{Follower, PushOutcome};
pub use items::{Block, Cap, Domain, Link, Queue, Region, Retry, Service};
pub use note::{Items, MAX_NOTE_BYTES, Note, Withdrawn};
pub use note_log::{AcceptedNote, NoteLog, OfferOutcome};
pub use push::{Page, RulesPull, RulesPush};
pub use rules::Rules;

/// The types that most users of the rules need.
pub mod prelude {
    pub use crate::{Block, Cap, Domain, Link, Note, Queue, Region, Retry, Rules, Service};
}
