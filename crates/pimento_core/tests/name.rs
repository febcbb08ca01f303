//! Names have a maximum length and are safe in paths, headers and labels.

use pimento_core::{NameError, ServiceId};

#[test]
fn valid_name() {
    let name = ServiceId::new("sign-ups.v2").expect("all characters are allowed");
    assert_eq!(name.as_str(), "sign-ups.v2");
}

#[test]
fn invalid_names() {
    assert_eq!(ServiceId::new(""), Err(NameError::Empty));
    assert_eq!(ServiceId::new("a/b"), Err(NameError::BadChar('/')));
    assert_eq!(ServiceId::new("a".repeat(65)), Err(NameError::TooLong(65)));
}

#[test]
fn arbitrary_text() {
    bolero::check!().with_type::<String>().for_each(|s| {
        if let Ok(name) = ServiceId::new(s) {
            assert!(!name.contains('/') && name.len() <= 64);
        }
    });
}
