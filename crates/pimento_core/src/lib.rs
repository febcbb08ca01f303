//! Shared vocabulary of pimentolanding: names, time, classes and the verdict.
//!
//! Every decision core of the project (`consensus`, `ledger`, `members`,
//! `lease`, `admit`, `steer`) is a pure state machine. It is handed the time as
//! a [`Time`] and a seed for its random source, and it returns effects. This
//! crate holds what those cores have in common; see `docs/ARCHITECTURE.md`.

pub mod hash;

mod class;
mod name;
mod time;
mod verdict;

pub use class::{Class, ParseClassError};
pub use name::{DomainId, NameError, RegionId, ServiceId, TargetId, TenantId, VmId};
pub use time::{Clock, Time};
pub use verdict::{ParseVerdictError, Verdict};

/// The types that nearly every crate of the workspace imports.
pub mod prelude {
    pub use crate::{
        Class, DomainId, RegionId, ServiceId, TargetId, TenantId, Time, Verdict, VmId,
    };
    pub use std::time::Duration;
}
