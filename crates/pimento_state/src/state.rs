//! The state machine that the control group replicates.

use crate::{Command, Effect, ItemsOutcome, Op, Outcome};
use pimento_items::{Catalog, Changeset};
use pimento_ledger::{ClaimView, Ledger, Slot};
use pimento_rules::{Note, NoteBook, Record, Rules, RulesPull, RulesPush};
use prost::Message as _;
use std::sync::Arc;

/// The replicated state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    book: NoteBook,
    ledger: Ledger,
    catalog: Arc<Catalog>,
}

/// A snapshot could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("the snapshot does not decode: {0}")]
pub struct RestoreError(String);

#[derive(Clone, PartialEq, prost::Message)]
struct WireState {
    #[prost(bytes = "vec", tag = "1")]
    book: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    ledger: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    catalog: Vec<u8>,
}

impl State {
    /// Applies the command at a log index; the same on every control VM.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        let time = command.time;
        let effect = command
            .op
            .as_ref()
            .and_then(|op| self.effect(index, time, op));
        Outcome { index, effect }
    }

    fn effect(&mut self, index: u64, time: u64, op: &Op) -> Option<Effect> {
        let outcome = match op {
            Op::Noop(()) => return None,
            Op::Note(bytes) => return Some(Effect::Note(self.book.offer(time, bytes).into())),
            Op::Items(change) => return Some(Effect::Items(self.offer(index, change))),
            Op::Evacuate(evacuate) => {
                Arc::make_mut(&mut self.catalog).set_evacuated(
                    index,
                    &evacuate.domain,
                    evacuate.on,
                );
                return Some(Effect::Items(ItemsOutcome::default()));
            }
            Op::Claim(claim) => self.ledger.claim(time, claim),
            Op::Finish(finish) => self.ledger.finish(time, finish),
            Op::Free(free) => self.ledger.free(time, free),
            Op::Cancel(cancel) => self.ledger.cancel(time, cancel),
            Op::SetCap(cap) => self.ledger.set_cap(cap),
        };
        Some(Effect::Ledger(outcome))
    }

    fn offer(&mut self, index: u64, change: &Changeset) -> ItemsOutcome {
        let done = Arc::make_mut(&mut self.catalog).apply_changeset(index, change);
        let refusal = done.err().map(Into::into);
        ItemsOutcome { refusal }
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        let wire = WireState {
            book: self.book.snapshot(),
            ledger: self.ledger.snapshot(),
            catalog: self.catalog.encode(),
        };
        wire.encode_to_vec()
    }

    /// Decodes a state that [`Self::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] if the bytes are not a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let fault = |e: &dyn std::error::Error| RestoreError(e.to_string());
        let wire = WireState::decode(bytes).map_err(|e| fault(&e))?;
        Ok(Self {
            book: NoteBook::restore(&wire.book).map_err(|e| fault(&e))?,
            ledger: Ledger::restore(&wire.ledger).map_err(|e| fault(&e))?,
            catalog: Arc::new(Catalog::decode(&wire.catalog).map_err(|e| fault(&e))?),
        })
    }

    /// The rules in force.
    pub const fn rules(&self) -> &Arc<Rules> {
        self.book.rules()
    }

    /// The items of the operators.
    pub const fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// What a VM with a version of the rules lacks.
    pub fn rules_delta(&self, have: u64) -> RulesPush {
        self.book.delta(have)
    }

    /// Answers a VM that asks for what it lacks, in bounded parts.
    pub fn answer_rules_pull(&self, pull: &RulesPull) -> RulesPush {
        self.book.answer(pull)
    }

    /// A note that is still kept whole.
    pub fn note(&self, number: u64) -> Option<Note> {
        self.book.note(number)
    }

    /// What is remembered of the accepted notes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = Record> + '_ {
        self.book.history()
    }

    /// A claim that is still kept.
    pub fn claim(&self, tenant: &str, service: &str, key: &[u8]) -> Option<ClaimView> {
        self.ledger.view(&Slot {
            key: key.to_vec(),
            tenant: tenant.to_owned(),
            service: service.to_owned(),
        })
    }

    /// The ledger, for look-ups.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}
