//! At-most-once claims, stored answers and caps, as a deterministic state
//! machine.
//!
//! The control group replicates the operations in its log. A request that must
//! not run twice is dispatched only after its claim is durable on a quorum. A
//! claim is granted to one holder, and only that holder can free it for another
//! grant, by reporting that the request was not run. See
//! `docs/design/ledger.md`.

mod check;
mod claims;
mod fingerprint;
mod ledger;
mod limits;
mod ops;
mod outcome;
mod reservations;
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
