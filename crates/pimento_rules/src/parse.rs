//! Parsing of release notes from YAML.

use crate::{Note, NoteError, Position, note::MAX_NOTE_BYTES};
use std::cell::RefCell;

impl Note {
    /// Parses a note from YAML.
    ///
    /// This checks only the syntax and the types of the fields;
    /// [`crate::Rules::apply`] validates the content against the rules in force.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] with the path of the invalid field, and its line
    /// and column if the parser reports them.
    pub fn parse(yaml: &str) -> Result<Self, NoteError> {
        if yaml.len() > MAX_NOTE_BYTES {
            return Err(NoteError::TooLarge(yaml.len()));
        }
        let path = RefCell::new(String::from("."));
        let parsed = serde_saphyr::with_deserializer_from_str(yaml, |de| {
            serde_path_to_error::deserialize::<_, Self>(de).map_err(|e| {
                *path.borrow_mut() = e.path().to_string();
                e.into_inner()
            })
        });
        let note = match parsed {
            Ok(note) => note,
            Err(e) => return Err(parse_error(path.into_inner(), &e)),
        };
        let len = note.encode().len();
        // YAML aliases can expand a short text to a large note.
        if len > MAX_NOTE_BYTES {
            return Err(NoteError::TooLarge(len));
        }
        Ok(note)
    }
}

fn parse_error(field: String, error: &serde_saphyr::Error) -> NoteError {
    let position = error.location().map(|location| Position {
        line: location.line(),
        column: location.column(),
    });
    let text = error.without_snippet().to_string();
    // The position is reported in its own field, so strip it from the message.
    let suffix = position
        .map(|position| format!(" at {position}"))
        .unwrap_or_default();
    let message = text.strip_suffix(&suffix).unwrap_or(&text).to_owned();
    NoteError::Parse {
        field,
        position,
        message,
    }
}
