//! Checks the event catalogue and its documentation.

use std::{fs, path::Path};

use ggb_telemetry::Event;

#[test]
fn docs_list_every_event() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/events.md");
    let docs = fs::read_to_string(path).unwrap();
    let is_row =
        |line: &&str| line.trim_start_matches("| ").starts_with(|c: char| c.is_ascii_digit());
    let listed: Vec<&str> = docs.lines().filter(is_row).collect();
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| format!("| {} | {} | {} |", event.number(), event.name(), event.help().trim()))
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn numbers_are_unique_and_sorted() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
}
