//! Fences claims that the old group may have granted before a restore.

use crate::{Control, wire::Response};
use pimento_state::{
    Command, Effect, Op, Outcome,
    ledger::{self, ClaimKey, ClaimState, OutcomeKind},
};
use prost::Message as _;

/// How far a caller's clock may be ahead of the clock of the VM that restored
/// the group.
const MAX_CALLER_LEAD_MS: u64 = 2 * 60 * 1_000;

/// The number of leading bytes of a `UUIDv7` that hold its timestamp.
const UUID_TIME_BYTES: usize = 6;

impl Control {
    /// Returns the refusal of a claim that the lost part of the log may have
    /// granted: its key is older than the restore and not in the backup.
    pub(crate) fn fenced_response(&self, command: &Command) -> Option<Response> {
        let restored_at = self.raft.restored_at();
        if restored_at == 0 {
            return None;
        }
        let Some(Op::Claim(claim)) = &command.op else {
            return None;
        };
        let claim_key = claim.claim_key.as_ref()?;
        let fence = restored_at + MAX_CALLER_LEAD_MS;
        if key_time(claim_key) >= fence || self.has_blocking_claim(claim_key) {
            return None;
        }
        let kind = Some(OutcomeKind::TooOld(fence));
        let outcome = Outcome {
            index: self.applied.0,
            effect: Some(Effect::Ledger(ledger::Outcome { kind })),
        };
        Some(Response::Outcome(outcome.encode_to_vec().into()))
    }
}

impl Control {
    /// Whether the restored state itself prevents the claim from being granted.
    /// A freed claim doesn't, since the lost part of the log may have granted it
    /// again.
    fn has_blocking_claim(&self, claim_key: &ClaimKey) -> bool {
        let view = self.state.ledger().view(claim_key);
        view.is_some_and(|claim| claim.state != ClaimState::Free)
    }
}

/// The timestamp of a `UUIDv7` key, in milliseconds since the Unix epoch.
fn key_time(claim_key: &ClaimKey) -> u64 {
    let time = claim_key.key.iter().take(UUID_TIME_BYTES);
    time.fold(0, |time, byte| time << 8 | u64::from(*byte))
}
