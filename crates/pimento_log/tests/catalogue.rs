//! The catalogue of events is complete, and event numbers are unique.

use pimento_log::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn complete_catalogue() {
    for event in Event::ALL {
        let row = format!("| {} | {:?} |", event.number(), event);
        assert!(CATALOGUE.contains(&row), "docs/EVENTS.md lacks a row {row}");
    }
}

#[test]
fn ascending_numbers() {
    let numbers = Event::ALL.iter().map(|event| event.number());
    assert!(numbers.is_sorted_by(|a, b| a < b));
}
