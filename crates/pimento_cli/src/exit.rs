//! Exit codes and the failures behind them.

use std::{fmt, process::ExitCode};

/// How the command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Ok = 0,
    /// Failed on the server or locally.
    Failed = 1,
    /// The usage or the input is wrong.
    Usage = 2,
    /// The server refused, such as a note whose number is taken.
    Refused = 3,
    /// The change may have been accepted, or is not known to be in force.
    Unknown = 4,
    /// No server could be reached, so nothing was changed.
    Unreachable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command ended without success.
#[derive(Debug)]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// What to tell the operator.
    pub text: String,
}

impl Failure {
    /// A failure with its explanation.
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { exit, text }
    }

    /// Wrong usage or input.
    pub fn usage(text: impl Into<String>) -> Self {
        Self::new(Exit::Usage, text)
    }

    /// A failure without a better code.
    pub fn failed(text: impl Into<String>) -> Self {
        Self::new(Exit::Failed, text)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
