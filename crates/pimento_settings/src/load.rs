//! Reading and validation of a settings file.

use crate::{Role, Settings};
use std::path::{Path, PathBuf};

/// The settings file is unreadable or invalid.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The settings file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not valid YAML, or a field is unknown, missing or malformed.
    #[error("{file}: {problem}")]
    Parse {
        /// The settings file.
        file: PathBuf,
        /// The problem, with the field and its line and column.
        problem: String,
    },
    /// A field is inconsistent with the others.
    #[error("{file}: {field}: {problem}")]
    Field {
        /// The settings file.
        file: PathBuf,
        /// The path of the field.
        field: &'static str,
        /// The problem with its value.
        problem: String,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the file, the field and the problem.
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
                    problem: e.to_string(),
                });
            }
        };
        match settings.find_problem() {
            Some((field, problem)) => Err(SettingsError::Field {
                file,
                field,
                problem,
            }),
            None => Ok(settings),
        }
    }

    /// Whether the VM has the role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Finds the first field that is inconsistent with the others, and the problem.
    fn find_problem(&self) -> Option<(&'static str, String)> {
        let is_entry = self.has_role(Role::Entry);
        let needed_by = |role: &str| format!("needed by the {role} role");
        if self.roles.is_empty() {
            return Some(("roles", "at least one role is needed".into()));
        }
        if is_entry && self.listen.callers.is_none() {
            return Some(("listen.callers", needed_by("entry")));
        }
        if is_entry && self.listen.targets.is_none() {
            return Some(("listen.targets", needed_by("entry")));
        }
        if is_entry && self.listen.forwards.is_none() {
            return Some(("listen.forwards", needed_by("entry")));
        }
        if self.has_role(Role::Control) && self.data.is_none() {
            return Some(("data", needed_by("control")));
        }
        if self.control.is_empty() {
            return Some(("control", "at least one control VM is needed".into()));
        }
        if self.has_role(Role::Control) && !self.control.iter().any(|peer| peer.vm == self.vm) {
            let problem = format!(
                "does not list this VM, {}, which has the control role",
                self.vm
            );
            return Some(("control", problem));
        }
        None
    }
}
