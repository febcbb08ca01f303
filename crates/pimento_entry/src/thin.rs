//! Application of a release note without checks or replication.

use pimento_rules::{Note, Rules};

/// Applies a note's additions.
pub(crate) fn apply(text: &str, rules: &Rules) -> Result<Rules, String> {
    let note: Note = serde_saphyr::from_str(text).map_err(|e| e.to_string())?;
    let mut next = rules.clone();
    next.version = note.number;
    next.services.extend(note.added.services);
    next.services.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(next)
}
