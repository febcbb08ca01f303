//! Checked YAML settings of a pimentolanding process.
//!
//! [`Settings::load`] names the file, the field and the fault of whatever it
//! refuses. See `docs/SETTINGS.md`.

mod load;
mod settings;

pub use load::SettingsError;
pub use settings::{ControlPeer, Limits, Listen, Role, Secrets, Settings, Targets};
