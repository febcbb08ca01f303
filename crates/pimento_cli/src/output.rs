//! Printing results as text or JSON.

use crate::args::OutputFormat;
use serde_json::Value;
use std::io::Write as _;

/// Prints results to standard output in the chosen format.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    format: OutputFormat,
}

impl Output {
    /// Creates an output with a format.
    pub const fn new(format: OutputFormat) -> Self {
        Self { format }
    }

    /// Whether results are printed as JSON.
    pub const fn is_json(self) -> bool {
        matches!(self.format, OutputFormat::Json)
    }

    /// Prints a document as JSON, or the text that the function makes of it.
    pub fn print(self, document: &Value, text: impl FnOnce(&Value) -> String) {
        let text = match self.format {
            OutputFormat::Json => format!("{document:#}"),
            OutputFormat::Text => text(document),
        };
        // A closed pipe only means that the reader needs no more output, which is
        // not a failure.
        drop(writeln!(std::io::stdout(), "{}", text.trim_end()));
    }
}

/// Prints the progress of a long command to standard error.
pub fn progress(text: impl AsRef<str>) {
    eprintln!("{}", text.as_ref());
}

/// Formats any document as indented lines, with lists of objects as tables.
///
/// It knows no field names, so that fields which a newer server adds are shown
/// too.
pub fn indented_text(document: &Value) -> String {
    value_lines(document, 0).join("\n")
}

const INDENT_SPACES: usize = 2;

fn value_lines(value: &Value, depth: usize) -> Vec<String> {
    let pad = " ".repeat(depth * INDENT_SPACES);
    match value {
        Value::Object(fields) => fields
            .iter()
            .flat_map(|(name, field)| field_lines(name, field, depth))
            .collect(),
        Value::Array(items) if !items.is_empty() => table(items, &pad),
        scalar => vec![format!("{pad}{}", inline_text(scalar))],
    }
}

fn field_lines(name: &str, field: &Value, depth: usize) -> Vec<String> {
    let pad = " ".repeat(depth * INDENT_SPACES);
    let nested = match field {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => !items.is_empty(),
        _ => false,
    };
    if !nested {
        return vec![format!("{pad}{name}: {}", inline_text(field))];
    }
    let mut lines = vec![format!("{pad}{name}:")];
    lines.extend(value_lines(field, depth + 1));
    lines
}

/// A value on one line.
fn inline_text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "none".into(),
        other => other.to_string(),
    }
}

/// Fields that identify a row; their columns come first.
const KEY_FIELDS: [&str; 4] = ["domain", "number", "target", "vm"];

/// Formats a list of objects with a column for each field of the first one, or
/// another list with one item per line.
fn table(items: &[Value], pad: &str) -> Vec<String> {
    let first = items.first().and_then(Value::as_object);
    let Some(first) = first else {
        let line = |item: &Value| format!("{pad}{}", inline_text(item));
        return items.iter().map(line).collect();
    };
    let mut names: Vec<&String> = first.keys().collect();
    names.sort_by_key(|name| !KEY_FIELDS.contains(&name.as_str()));
    let head: Vec<String> = names.iter().map(|name| name.to_uppercase()).collect();
    let row = |item: &Value| -> Vec<String> {
        let cell = |name: &&String| inline_text(item.get(name.as_str()).unwrap_or(&Value::Null));
        names.iter().map(cell).collect()
    };
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(items.iter().map(row)).collect();
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..names.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("{pad}{}", cells.join("  ").trim_end())
    };
    rows.iter().map(line).collect()
}
