//! Release notes and the rules that they put in force.
//!
//! A release note lists what is added, changed and withdrawn. The accepted
//! notes, applied in the order of their numbers, give the [`Rules`]. See
//! `docs/design/notes.md`.

mod items;
mod note;
mod rules;

pub use items::{Block, Cap, Domain, Link, Queue, Region, Retry, Service};
pub use note::{Items, Note, Withdrawn};
pub use rules::Rules;

/// The types that users of the rules import.
pub mod prelude {
    pub use crate::{Block, Cap, Domain, Link, Note, Queue, Region, Retry, Rules, Service};
}
