//! Why a release note is refused.

use crate::note::MAX_NOTE_BYTES;
use std::fmt;

/// A place in a YAML text, both counted from one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// The line.
    pub line: u64,
    /// The column.
    pub column: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// What is wrong with a field of a release note.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FieldError {
    /// The thing is added although it exists.
    #[error("{0} exists already; list it under `changed`")]
    Exists(String),
    /// The thing is changed or withdrawn although it does not exist.
    #[error("{0} does not exist")]
    Missing(String),
    /// The same thing stands in the note twice.
    #[error("{0} is listed twice, also as {1}")]
    Duplicate(String, String),
    /// The name stands for nothing once the note is applied.
    #[error("there is no {0} named {1}")]
    Dangling(&'static str, String),
    /// The thing is withdrawn although something else refers to it.
    #[error("{0} is still in use by {1}")]
    InUse(String, String),
    /// The number lies outside its range.
    #[error("{found} is outside {min} to {max}")]
    Range {
        /// The number in the note.
        found: u64,
        /// The least allowed.
        min: u64,
        /// The most allowed.
        max: u64,
    },
    /// The ends of a link must be two regions in alphabetical order.
    #[error("the ends must be two regions in alphabetical order")]
    Ends,
    /// A cap or a hedge contradicts `repeatable`.
    #[error("only allowed if `repeatable` is {0}")]
    Repeatable(bool),
    /// The network has bits set after its prefix.
    #[error("{found} has bits set after the prefix; write {network}")]
    HostBits {
        /// The network in the note.
        found: String,
        /// The network without those bits.
        network: String,
    },
    /// The list would grow past its bound.
    #[error("the list would have {found} entries; at most {max} are kept")]
    TooMany {
        /// The length after the note.
        found: usize,
        /// The bound.
        max: usize,
    },
}

/// A release note is refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoteError {
    /// The note is larger than the control group takes.
    #[error("the note has {0} bytes; at most {MAX_NOTE_BYTES} are taken")]
    TooLarge(usize),
    /// The text is not YAML, or a field is unknown, missing or malformed.
    #[error("{}{fault}", prefix(field, *place))]
    Parse {
        /// The path of the field, or `.` for the whole note.
        field: String,
        /// Where the parser stopped, if it says so.
        place: Option<Position>,
        /// What the parser found.
        fault: String,
    },
    /// The encoded form of a note or of rules is damaged.
    #[error("the encoded {0} is damaged")]
    Damaged(&'static str),
    /// The number is not the last plus one.
    #[error("number: found {found}, the next number is {expected}")]
    Number {
        /// The number in the note.
        found: u64,
        /// The number that the next note must have.
        expected: u64,
    },
    /// A field contradicts the rest of the note or the rules in force.
    #[error("{field}: {fault}")]
    Field {
        /// The path of the field, such as `added.services[1].cap.limit`.
        field: String,
        /// What is wrong with it.
        fault: FieldError,
    },
}

impl NoteError {
    /// The path of the field at fault, or `.` for the whole note.
    pub fn field(&self) -> &str {
        match self {
            Self::TooLarge(_) | Self::Damaged(_) => ".",
            Self::Number { .. } => "number",
            Self::Parse { field, .. } | Self::Field { field, .. } => field,
        }
    }

    /// An error at a field.
    pub(crate) fn at(field: impl Into<String>, fault: FieldError) -> Self {
        Self::Field {
            field: field.into(),
            fault,
        }
    }
}

fn prefix(field: &str, place: Option<Position>) -> String {
    match place {
        Some(place) => format!("{field} ({place}): "),
        None => format!("{field}: "),
    }
}
