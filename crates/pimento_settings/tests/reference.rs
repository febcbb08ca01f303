//! Errors name the bad field, and the settings reference is complete.

use pimento_settings::{Settings, SettingsError};
use std::io::Write;

const REFERENCE: &str = include_str!("../../../docs/SETTINGS.md");

const VALID: &str = "
vm: a
region: north
domain: north-a
roles: [entry]
listen:
  callers: 127.0.0.1:1
  targets: 127.0.0.1:2
  operators: 127.0.0.1:3
  links: 127.0.0.1:4
  forwards: 127.0.0.1:5
control:
- vm: c
  address: 127.0.0.1:6
secrets:
  operators: token
  links: key
";

fn load(text: &str) -> Result<Settings, SettingsError> {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
    file.write_all(text.as_bytes()).expect("a writable file");
    Settings::load(file.path())
}

fn load_error(text: &str) -> String {
    load(text)
        .expect_err("the settings are invalid")
        .to_string()
}

#[test]
fn valid_settings() {
    let settings = load(VALID).expect("valid settings");
    assert_eq!(settings.limits.connections, 4_096);
}

#[test]
fn unknown_field() {
    let error = load_error(&VALID.replace("domain:", "domian:"));
    assert!(error.contains("domian"), "{error}");
}

#[test]
fn missing_listener() {
    let error = load_error(&VALID.replace("  callers: 127.0.0.1:1\n", ""));
    assert!(error.contains("listen.callers"), "{error}");
}

#[test]
fn missing_data() {
    let error = load_error(&VALID.replace("[entry]", "[entry, control]"));
    assert!(error.contains("data"), "{error}");
}

#[test]
fn complete_reference() {
    let settings = load(VALID).expect("valid settings");
    let value = serde_json::to_value(settings).expect("settings can be serialized");
    for (field, value) in value.as_object().expect("a map") {
        let inner = value.as_object().map(|map| map.keys());
        match inner {
            Some(keys) => keys.for_each(|key| assert_row(&format!("{field}.{key}"))),
            None => assert_row(field),
        }
    }
}

fn assert_row(field: &str) {
    let row = format!("| `{field}` |");
    assert!(REFERENCE.contains(&row), "docs/SETTINGS.md lacks {row}");
}

#[test]
fn arbitrary_text() {
    bolero::check!()
        .with_iterations(300)
        .with_type::<String>()
        .for_each(|text| {
            drop(load(text));
        });
}
