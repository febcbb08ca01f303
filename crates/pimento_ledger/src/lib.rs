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
    MAX_ANSWER, MAX_ANSWERS, MAX_CLAIMS, MAX_DRIFT, MAX_LEAD, MAX_PLACES, MAX_RESOURCE,
    MAX_RESOURCES, MAX_TENANT_ANSWERS, MAX_TENANT_CLAIMS, MAX_TIMEOUT, MAX_VMS, RETENTION,
};
pub use ops::{Answer, Cancel, Claim, Finish, Free, Header, Holder, SetCap, Slot};
pub use outcome::{Cause, Field, Kind, Outcome};
pub use snapshot::RestoreError;
