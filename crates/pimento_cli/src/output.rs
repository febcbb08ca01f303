//! Printing results, as text or JSON.

use crate::args::Form;
use serde_json::Value;
use std::io::Write as _;

/// Where results go; progress goes to standard error.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    form: Form,
}

impl Output {
    /// Prints in a form.
    pub const fn new(form: Form) -> Self {
        Self { form }
    }

    /// Whether results are printed for programs.
    pub const fn is_json(self) -> bool {
        matches!(self.form, Form::Json)
    }

    /// Prints a result: the document itself, or the text made of it.
    pub fn print(self, document: &Value, text: impl FnOnce(&Value) -> String) {
        let text = match self.form {
            Form::Json => format!("{document:#}"),
            Form::Text => text(document),
        };
        // A reader that has closed the pipe wants no more; that is no failure.
        drop(writeln!(std::io::stdout(), "{}", text.trim_end()));
    }
}

/// Tells on standard error what goes on in a command that takes long.
pub fn progress(text: impl AsRef<str>) {
    eprintln!("{}", text.as_ref());
}

/// A document as indented lines, whatever its fields.
///
/// Lists of objects become tables, so that a status stays readable when the
/// server adds fields.
pub fn lines(document: &Value) -> String {
    value_lines(document, 0).join("\n")
}

/// The spaces by which each level is indented.
const INDENT: usize = 2;

fn value_lines(value: &Value, depth: usize) -> Vec<String> {
    let pad = " ".repeat(depth * INDENT);
    match value {
        Value::Object(fields) => fields
            .iter()
            .flat_map(|(name, field)| field_lines(name, field, depth))
            .collect(),
        Value::Array(items) if !items.is_empty() => table(items, &pad),
        scalar => vec![format!("{pad}{}", plain(scalar))],
    }
}

fn field_lines(name: &str, field: &Value, depth: usize) -> Vec<String> {
    let pad = " ".repeat(depth * INDENT);
    let nested = match field {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => !items.is_empty(),
        _ => false,
    };
    if !nested {
        return vec![format!("{pad}{name}: {}", plain(field))];
    }
    let mut lines = vec![format!("{pad}{name}:")];
    lines.extend(value_lines(field, depth + 1));
    lines
}

/// A value on one line.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "none".into(),
        other => other.to_string(),
    }
}

/// The fields that name a row, which come first.
const NAMES: [&str; 4] = ["domain", "number", "target", "vm"];

/// A list of objects with a column for each field, or one item a line.
fn table(items: &[Value], pad: &str) -> Vec<String> {
    let first = items.first().and_then(Value::as_object);
    let Some(first) = first else {
        let line = |item: &Value| format!("{pad}{}", plain(item));
        return items.iter().map(line).collect();
    };
    let mut names: Vec<&String> = first.keys().collect();
    names.sort_by_key(|name| !NAMES.contains(&name.as_str()));
    let head: Vec<String> = names.iter().map(|name| name.to_uppercase()).collect();
    let row = |item: &Value| -> Vec<String> {
        let cell = |name: &&String| plain(item.get(name.as_str()).unwrap_or(&Value::Null));
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
