//! The state machine that the control group replicates.

use crate::{Command, Outcome};
use pimento_rules::Rules;

/// The replicated state.
#[derive(Debug, Default)]
pub struct State {
    rules: Rules,
}

/// A snapshot could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("the snapshot does not decode: {0}")]
pub struct RestoreError(String);

impl State {
    /// Applies the command at a log index; the same on every control VM.
    pub fn apply(&mut self, index: u64, _command: &Command) -> Outcome {
        Outcome { index }
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Decodes a state that [`Self::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] if the bytes are not a snapshot.
    pub fn restore(_bytes: &[u8]) -> Result<Self, RestoreError> {
        Ok(Self::default())
    }

    /// The rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }
}
