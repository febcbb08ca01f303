//! Unix signals that stop a process or reload its settings.

mod signals;

pub use signals::{Request, Signals};
