//! Validated YAML settings of a pimentolanding process.
//!
//! Errors of [`Settings::load`] name the file, the field and the problem. See
//! `docs/SETTINGS.md`.

mod load;
mod settings;

pub use load::SettingsError;
pub use settings::{ControlPeer, Limits, Listen, Role, Secrets, Settings, Targets};
