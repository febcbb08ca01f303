//! Reading and checking a settings file.

use crate::{Role, Settings};
use std::path::{Path, PathBuf};

/// The settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The settings file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not YAML, or a field is unknown, missing or malformed.
    #[error("{file}: {fault}")]
    Parse {
        /// The settings file.
        file: PathBuf,
        /// The field with its line and column, and the fault.
        fault: String,
    },
    /// A field does not go together with the others.
    #[error("{file}: {field}: {fault}")]
    Field {
        /// The settings file.
        file: PathBuf,
        /// The path of the field.
        field: &'static str,
        /// What is wrong with it.
        fault: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the file, the field and the fault.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let file = path.as_ref().to_owned();
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(source) => return Err(SettingsError::Read { file, source }),
        };
        let settings: Self = match serde_saphyr::from_str(&text) {
            Ok(settings) => settings,
            Err(e) => {
                return Err(SettingsError::Parse {
                    file,
                    fault: e.to_string(),
                });
            }
        };
        match settings.fault() {
            Some((field, fault)) => Err(SettingsError::Field { file, field, fault }),
            None => Ok(settings),
        }
    }

    /// Whether the VM has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Finds the first field that does not go together with the others.
    fn fault(&self) -> Option<(&'static str, String)> {
        let entry = self.has_role(Role::Entry);
        let missing = |what: &str| format!("needed by the {what} role");
        if self.roles.is_empty() {
            return Some(("roles", "at least one role is needed".into()));
        }
        if entry && self.listen.callers.is_none() {
            return Some(("listen.callers", missing("entry")));
        }
        if entry && self.listen.targets.is_none() {
            return Some(("listen.targets", missing("entry")));
        }
        if entry && self.listen.forwards.is_none() {
            return Some(("listen.forwards", missing("entry")));
        }
        if self.has_role(Role::Control) && self.data.is_none() {
            return Some(("data", missing("control")));
        }
        if self.control.is_empty() {
            return Some(("control", "at least one control VM is needed".into()));
        }
        if self.has_role(Role::Control) && !self.control.iter().any(|peer| peer.vm == self.vm) {
            let fault = format!(
                "does not list this VM, {}, which has the control role",
                self.vm
            );
            return Some(("control", fault));
        }
        None
    }
}
