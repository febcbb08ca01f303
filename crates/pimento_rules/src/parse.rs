//! Reading release notes from YAML.

use crate::{Note, NoteError, Position, note::MAX_NOTE_BYTES};
use std::cell::RefCell;

impl Note {
    /// Reads a note from YAML.
    ///
    /// Only the form is checked here; [`crate::Rules::apply`] checks the
    /// content against the rules in force.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] that names the path of the field, with line and
    /// column where the parser gives them.
    pub fn parse(yaml: &str) -> Result<Self, NoteError> {
        if yaml.len() > MAX_NOTE_BYTES {
            return Err(NoteError::TooLarge(yaml.len()));
        }
        let path = RefCell::new(String::from("."));
        let read = serde_saphyr::with_deserializer_from_str(yaml, |de| {
            serde_path_to_error::deserialize::<_, Self>(de).map_err(|e| {
                *path.borrow_mut() = e.path().to_string();
                e.into_inner()
            })
        });
        let note = match read {
            Ok(note) => note,
            Err(e) => return Err(parse_error(path.into_inner(), &e)),
        };
        let len = note.encode().len();
        // Aliases can make a short text stand for a long note.
        if len > MAX_NOTE_BYTES {
            return Err(NoteError::TooLarge(len));
        }
        Ok(note)
    }
}

fn parse_error(field: String, error: &serde_saphyr::Error) -> NoteError {
    let place = error.location().map(|at| Position {
        line: at.line(),
        column: at.column(),
    });
    let text = error.without_snippet().to_string();
    // The place has a field of its own.
    let tail = place
        .map(|place| format!(" at {place}"))
        .unwrap_or_default();
    let fault = text.strip_suffix(&tail).unwrap_or(&text).to_owned();
    NoteError::Parse {
        field,
        place,
        fault,
    }
}
