//! The library face of pimentolanding, for examples and embedding tests.
//!
//! The two programs are `pimentod`, the daemon, and `pimento`, the operators'
//! command line; `README.md` shows how to start them.

pub use pimento_core as core;
pub use pimento_rules as rules;
pub use pimento_settings as settings;
