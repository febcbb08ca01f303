//! Errors of parsing, decoding and validating release notes.

use crate::note::MAX_NOTE_BYTES;
use std::fmt;

/// A position in a YAML document. Lines and columns start at one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Line number.
    pub line: u64,
    /// Column number within the line.
    pub column: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// Why a field of a release note is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FieldError {
    /// The note adds an item that already exists.
    #[error("{0} exists already; list it under `changed`")]
    Exists(String),
    /// The note changes or withdraws an item that does not exist.
    #[error("{0} does not exist")]
    Missing(String),
    /// The note lists the same item twice.
    #[error("{0} is listed twice, also as {1}")]
    Duplicate(String, String),
    /// The name refers to an item that does not exist after the note is applied.
    #[error("there is no {0} named {1}")]
    UnknownName(&'static str, String),
    /// The note withdraws an item that another item still refers to.
    #[error("{0} is still in use by {1}")]
    InUse(String, String),
    /// The number is outside its permitted range.
    #[error("{found} is outside {min} to {max}")]
    OutOfRange {
        /// The number in the note.
        found: u64,
        /// Smallest permitted number.
        min: u64,
        /// Largest permitted number.
        max: u64,
    },
    /// The ends of a link must be two regions in alphabetical order.
    #[error("the ends must be two regions in alphabetical order")]
    LinkEnds,
    /// The field requires the other value of `repeatable`: caps are only for
    /// services that are not repeatable, hedges only for those that are.
    #[error("only allowed if `repeatable` is {0}")]
    Repeatable(bool),
    /// The network address has bits set after its prefix length.
    #[error("{found} has bits set after the prefix; write {network}")]
    HostBits {
        /// The network in the note.
        found: String,
        /// The network with those bits cleared.
        network: String,
    },
    /// Applying the note would make a list longer than its limit.
    #[error("the list would have {found} entries; at most {max} are kept")]
    TooMany {
        /// Length of the list after the note is applied.
        found: usize,
        /// Largest permitted length.
        max: usize,
    },
}

/// The reason for rejecting a release note.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoteError {
    /// The note is larger than [`MAX_NOTE_BYTES`].
    #[error("the note has {0} bytes; at most {MAX_NOTE_BYTES} are allowed")]
    TooLarge(usize),
    /// The text is not YAML, or a field is unknown, missing or malformed.
    #[error("{}{message}", format_prefix(field, *position))]
    Parse {
        /// The path of the field, or `.` for the whole note.
        field: String,
        /// Position of the error, if the parser reports one.
        position: Option<Position>,
        /// The error message of the parser, without the position.
        message: String,
    },
    /// The binary encoding of a note or of rules is invalid.
    #[error("the encoded {0} is damaged")]
    Damaged(&'static str),
    /// The number of the note does not follow the last accepted number.
    #[error("number: found {found}, the next number is {expected}")]
    Number {
        /// The number in the note.
        found: u64,
        /// The number that the next note must have: the last accepted one plus one.
        expected: u64,
    },
    /// A field is invalid on its own, or conflicts with the rest of the note or
    /// with the rules in force.
    #[error("{field}: {error}")]
    Field {
        /// The path of the field, such as `added.services[1].cap.limit`.
        field: String,
        /// Why the field is invalid.
        error: FieldError,
    },
}

impl NoteError {
    /// Returns the path of the invalid field, or `.` for the whole note.
    pub fn field(&self) -> &str {
        match self {
            Self::TooLarge(_) | Self::Damaged(_) => ".",
            Self::Number { .. } => "number",
            Self::Parse { field, .. } | Self::Field { field, .. } => field,
        }
    }

    /// Creates an error for the field at the given path.
    pub(crate) fn at_field(field: impl Into<String>, error: FieldError) -> Self {
        Self::Field {
            field: field.into(),
            error,
        }
    }
}

fn format_prefix(field: &str, position: Option<Position>) -> String {
    match position {
        Some(position) => format!("{field} ({position}): "),
        None => format!("{field}: "),
    }
}
