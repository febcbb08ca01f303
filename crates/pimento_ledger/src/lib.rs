//! At-most-once claims, stored answers and caps, as a pure state machine.
//!
//! The control group replicates the operations in its log. Before a request
//! that must not run twice is dispatched, its claim is durable on a quorum; a
//! claim is granted once, and only its own holder can free it, by saying that
//! the request was not run. See `docs/design/ledger.md`.

mod check;
mod claims;
mod fingerprint;
mod ledger;
mod limits;
mod ops;
mod outcome;
mod places;
mod snapshot;

pub use claims::{ClaimState, ClaimView};
pub use fingerprint::fingerprint;
pub use ledger::Ledger;
pub use limits::{
    MAX_ANSWER_BYTES, MAX_CLAIMS, MAX_CLOCK_ADVANCE_MS, MAX_KEY_LEAD_MS, MAX_RESERVATIONS,
    MAX_RESOURCE_NAME_BYTES, MAX_RESOURCES, MAX_TENANT_ANSWER_BYTES, MAX_TENANT_CLAIMS,
    MAX_TIMEOUT_MS, MAX_TOTAL_ANSWER_BYTES, MAX_TRACKED_VMS, RETENTION_MS,
};
pub use ops::{Answer, Cancel, Claim, ClaimKey, Finish, Free, Header, Holder, SetCap};
pub use outcome::{Cause, Field, Outcome, OutcomeKind};
pub use snapshot::RestoreError;
