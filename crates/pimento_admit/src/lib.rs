//! Admission control: slots, queues, priority classes, fair queueing and
//! adaptive concurrency limits.
//!
//! Each entry VM runs one [`Admission`]. It decides for every target whose
//! lease the VM holds, so slots and connections are counted exactly. It is a
//! pure state machine: the caller passes in the time and a random seed, and
//! [`Effect`]s come out. See `docs/design/admission.md` and
//! `docs/ops/limits.md`.

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
