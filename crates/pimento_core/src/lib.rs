//! Types that all crates of pimentolanding share: names, time, request classes
//! and verdicts.
//!
//! The crates that make decisions (`consensus`, `ledger`, `members`, `lease`,
//! `admit`, `steer` and others) are pure state machines: they receive the time
//! as a [`Time`], take a seed if they need random numbers, and return effects.
//! This crate contains what they have in common; see `docs/ARCHITECTURE.md`.

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
