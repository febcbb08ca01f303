//! The replicated state: release notes, items and ledger behind one command type.
//!
//! The control group replicates encoded [`Command`]s; every control VM applies
//! them in the order of the log and reaches the same [`State`] and the same
//! [`Outcome`]. See `docs/design/ledger.md` and `docs/design/notes.md`.

mod command;
mod state;

pub use command::{Command, Effect, Evacuate, EvacuationOutcome, ItemsOutcome, ItemsRefusal};
pub use command::{NoteOutcome, NoteRecord, NoteRefusal, NoteResult, Op, Outcome};
pub use pimento_items as items;
pub use pimento_ledger as ledger;
pub use state::{RestoreError, State};
