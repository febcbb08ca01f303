//! Re-exports of pimentolanding crates, for examples and tests.
//!
//! The two programs are `pimentod`, the daemon, and `pimento`, the command line
//! tool for operators; `README.md` shows how to start them.

pub use pimento_core as core;
pub use pimento_rules as rules;
pub use pimento_settings as settings;
