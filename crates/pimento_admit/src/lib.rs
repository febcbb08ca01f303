//! Admission: slots, queues, classes, fair shares and adaptive limits.
//!
//! One [`Admission`] runs at each entry VM and decides for all targets whose
//! leases the VM holds, so slots and connections are counted exactly. It is a
//! pure state machine: time and seed are handed in, [`Effect`]s come out. See
//! `docs/design/admission.md` and `docs/ops/limits.md`.

mod admission;
mod config;
mod estimate;
mod health;
mod limit;
mod queue;
mod request;
mod service;
mod target;

pub use admission::Admission;
pub use config::AdmissionConfig;
pub use request::{Completion, Effect, Headroom, LoadReport, RefusalReason, Request, TargetView};
