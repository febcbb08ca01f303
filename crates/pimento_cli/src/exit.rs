//! Exit codes, and failures with their exit code.

use std::{fmt, process::ExitCode};

/// The exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// A failure at the server or locally, without a more specific code.
    Failed = 1,
    /// Invalid usage or input.
    Usage = 2,
    /// The server refused the command, such as a note whose number is in use.
    Refused = 3,
    /// The change may have been made, or is not in force everywhere yet.
    Unknown = 4,
    /// No server could be reached, so nothing was changed.
    Unreachable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// Message for the operator.
    pub text: String,
}

impl Failure {
    /// Creates a failure with a message.
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { exit, text }
    }

    /// A failure with [`Exit::Usage`].
    pub fn usage(text: impl Into<String>) -> Self {
        Self::new(Exit::Usage, text)
    }

    /// A failure with [`Exit::Failed`].
    pub fn failed(text: impl Into<String>) -> Self {
        Self::new(Exit::Failed, text)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
