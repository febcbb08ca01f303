//! Claims that a restored group must not grant.

use crate::{Control, wire::Answer};
use pimento_state::{
    Command, Effect, Op, Outcome,
    ledger::{self, ClaimKey, ClaimState, OutcomeKind},
};
use prost::Message as _;

/// How far the clock of a caller may be ahead of that of the VM that restored
/// the group, in milliseconds.
const LEAD: u64 = 2 * 60 * 1_000;

/// The bytes of a `UUIDv7` that hold its time.
const TIME_BYTES: usize = 6;

impl Control {
    /// The answer to a claim that the lost part of the log may have granted: a
    /// key from before the restore that the backup doesn't hold.
    pub(crate) fn fenced(&self, command: &Command) -> Option<Answer> {
        let restored = self.raft.restored_at();
        if restored == 0 {
            return None;
        }
        let Some(Op::Claim(claim)) = &command.op else {
            return None;
        };
        let slot = claim.claim_key.as_ref()?;
        let fence = restored + LEAD;
        if made(slot) >= fence || self.remembers(slot) {
            return None;
        }
        let kind = Some(OutcomeKind::TooOld(fence));
        let outcome = Outcome {
            index: self.applied.0,
            effect: Some(Effect::Ledger(ledger::Outcome { kind })),
        };
        Some(Answer::Outcome(outcome.encode_to_vec().into()))
    }
}

impl Control {
    /// Whether the state alone keeps a claim from being granted. One that was
    /// freed may have been granted again in the lost part of the log.
    fn remembers(&self, slot: &ClaimKey) -> bool {
        let view = self.state.ledger().view(slot);
        view.is_some_and(|claim| claim.state != ClaimState::Free)
    }
}

/// When a key was made, in milliseconds since the Unix epoch.
fn made(slot: &ClaimKey) -> u64 {
    let time = slot.key.iter().take(TIME_BYTES);
    time.fold(0, |time, byte| time << 8 | u64::from(*byte))
}
