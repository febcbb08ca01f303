//! The state machine that the control group replicates.

use crate::{Command, Effect, Evacuate, EvacuationOutcome, ItemsOutcome, Op, Outcome};
use pimento_items::{Catalog, Changeset};
use pimento_ledger::{ClaimKey, ClaimView, Ledger};
use pimento_rules::{AcceptedNote, Note, NoteLog, Rules, RulesPull, RulesPush};
use prost::Message as _;
use std::sync::Arc;

/// The replicated state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    note_log: NoteLog,
    ledger: Ledger,
    catalog: Arc<Catalog>,
}

/// The bytes given to [`State::restore`] are not a valid snapshot.
#[derive(Debug, thiserror::Error)]
#[error("the snapshot does not decode: {0}")]
pub struct RestoreError(String);

#[derive(Clone, PartialEq, prost::Message)]
struct EncodedState {
    #[prost(bytes = "vec", tag = "1")]
    note_log: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    ledger: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    catalog: Vec<u8>,
}

impl State {
    /// Applies the command at a log index. The result depends only on the state,
    /// the index and the command, so that every control VM reaches the same one.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        let time = command.time;
        let effect = command
            .op
            .as_ref()
            .and_then(|op| self.apply_op(index, time, op));
        Outcome { index, effect }
    }

    fn apply_op(&mut self, index: u64, time: u64, op: &Op) -> Option<Effect> {
        let outcome = match op {
            Op::Noop(()) => return None,
            Op::Note(bytes) => return Some(Effect::Note(self.note_log.offer(time, bytes).into())),
            Op::Items(changeset) => {
                return Some(Effect::Items(self.apply_changeset(index, changeset)));
            }
            Op::Evacuate(evacuate) => {
                return Some(Effect::Evacuation(self.evacuate(index, evacuate)));
            }
            Op::Claim(claim) => self.ledger.claim(time, claim),
            Op::Finish(finish) => self.ledger.finish(time, finish),
            Op::Free(free) => self.ledger.free(time, free),
            Op::Cancel(cancel) => self.ledger.cancel(time, cancel),
            Op::SetCap(set) => self.ledger.set_cap(set),
        };
        Some(Effect::Ledger(outcome))
    }

    fn evacuate(&mut self, index: u64, order: &Evacuate) -> EvacuationOutcome {
        let last_order = self.catalog.evacuation_index(&order.domain);
        let overtaken = order.last_order.is_some_and(|seen| seen != last_order);
        if !overtaken {
            Arc::make_mut(&mut self.catalog).set_evacuated(index, &order.domain, order.on);
        }
        EvacuationOutcome { overtaken }
    }

    fn apply_changeset(&mut self, index: u64, changeset: &Changeset) -> ItemsOutcome {
        let result = Arc::make_mut(&mut self.catalog).apply_changeset(index, changeset);
        let refusal = result.err().map(Into::into);
        ItemsOutcome { refusal }
    }

    /// Encodes the whole state as a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        let encoded = EncodedState {
            note_log: self.note_log.snapshot(),
            ledger: self.ledger.snapshot(),
            catalog: self.catalog.encode(),
        };
        encoded.encode_to_vec()
    }

    /// Decodes a snapshot that [`Self::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] if the bytes are not a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let restore_error = |e: &dyn std::error::Error| RestoreError(e.to_string());
        let encoded = EncodedState::decode(bytes).map_err(|e| restore_error(&e))?;
        Ok(Self {
            note_log: NoteLog::restore(&encoded.note_log).map_err(|e| restore_error(&e))?,
            ledger: Ledger::restore(&encoded.ledger).map_err(|e| restore_error(&e))?,
            catalog: Arc::new(Catalog::decode(&encoded.catalog).map_err(|e| restore_error(&e))?),
        })
    }

    /// The rules in force.
    pub const fn rules(&self) -> &Arc<Rules> {
        self.note_log.rules()
    }

    /// The items that operators have set.
    pub const fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Answers a VM's pull of newer rules with a part of bounded size.
    pub fn answer_rules_pull(&self, pull: &RulesPull) -> RulesPush {
        self.note_log.answer_pull(pull)
    }

    /// Returns the note with this number, if its full content is still kept.
    pub fn note(&self, number: u64) -> Option<Note> {
        self.note_log.note(number)
    }

    /// Returns the records of the accepted notes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = AcceptedNote> + '_ {
        self.note_log.history()
    }

    /// Returns the claim for an idempotency key, if it is still kept.
    pub fn claim(&self, tenant: &str, service: &str, key: &[u8]) -> Option<ClaimView> {
        self.ledger.view(&ClaimKey {
            key: key.to_vec(),
            tenant: tenant.to_owned(),
            service: service.to_owned(),
        })
    }

    /// The ledger, for reading claims and limits.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}
