//! Event numbers and names are unique, and docs/EVENTS.md lists exactly the events in the code.

use std::fs;
use std::path::Path;

use coltsfoothall_shell::event::{self, Event};
use coltsfoothall_shell::journal::{self, Level, Log};

/// The first three columns of the row in docs/EVENTS.md: number, level and name.
fn row(event: &Event) -> String {
    let level = event.level.as_str().to_lowercase();
    format!("| E{:03} | {level} | `{}` |", event.code, event.name)
}

#[test]
fn ascending_numbers() {
    assert!(
        event::ALL
            .windows(2)
            .all(|pair| pair[0].code < pair[1].code)
    );
    assert!(
        event::ALL
            .iter()
            .all(|event| (100..1000).contains(&event.code))
    );
}

#[test]
fn unique_names() {
    let mut names: Vec<&str> = event::ALL.iter().map(|event| event.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), event::ALL.len());
}

#[test]
fn complete_catalogue() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/EVENTS.md");
    let text = fs::read_to_string(file).unwrap();
    let mut listed = Vec::new();
    for line in text.lines().filter(|line| line.starts_with("| E")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 7, "five cells in {line}");
        assert!(
            cells.iter().skip(1).take(5).all(|cell| !cell.is_empty()),
            "{line}"
        );
        listed.push(format!("| {} | {} | {} |", cells[1], cells[2], cells[3]));
    }
    let expected: Vec<String> = event::ALL.iter().map(row).collect();
    assert_eq!(listed, expected, "docs/EVENTS.md against event::ALL");
}

#[test]
fn one_line() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("journal.log");
    if file.exists() {
        fs::remove_file(&file).unwrap();
    }
    let log = Log {
        level: Level::Info,
        file: Some(file.clone()),
        ..Log::default()
    };
    journal::start(&log).unwrap();
    let name = "evil\nE190 invariant_broken";
    event::STARTED.emit(format_args!("listen=127.0.0.1:1 name={name}"));
    log::debug!("below the level");
    let text = fs::read_to_string(&file).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 1, "{text}");
    let (time, rest) = lines[0].split_once(' ').unwrap();
    assert!(
        time.ends_with('Z') && time.len() == "2026-01-01T00:00:00.000Z".len(),
        "{time}"
    );
    assert_eq!(
        rest,
        "INFO E101 started listen=127.0.0.1:1 name=evil\\nE190 invariant_broken"
    );
    assert!(journal::start(&log).is_err(), "a second log in one process");
}
