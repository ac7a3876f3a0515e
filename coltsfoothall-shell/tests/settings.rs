//! Invalid settings are refused with the file, the field and the reason.

use std::fs;
use std::path::{Path, PathBuf};

use coltsfoothall_shell::journal::{Level, Log};
use coltsfoothall_shell::settings::{self, Check, Error, Fault};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Entry {
    name: String,
    port: u16,
    log: Log,
    peers: Vec<Peer>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Peer {
    address: String,
    weight: u32,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            name: "entry-1".into(),
            port: 7000,
            log: Log::default(),
            peers: Vec::new(),
        }
    }
}

impl Check for Entry {
    fn check(&self) -> Result<(), Fault> {
        if self.port == 0 {
            return Err(Fault::new("port", "must not be 0"));
        }
        self.log.check().map_err(|fault| fault.within("log"))
    }
}

fn parse(text: &str) -> Result<Entry, Error> {
    settings::parse(Path::new("entry.yaml"), text)
}

/// Line, field and full text of the error for invalid settings; line 0 for a violated rule.
fn refused(text: &str) -> (u64, String, String) {
    let error = parse(text).expect_err("the settings must be refused");
    let message = error.to_string();
    assert!(message.contains("entry.yaml"), "{message}");
    match error {
        Error::Field(_, line, fault) => (line, fault.field, message),
        Error::Rule(_, fault) => (0, fault.field, message),
        other => panic!("{other}"),
    }
}

#[test]
fn defaults_kept() {
    for text in ["", "# nothing\n", "{}", "name: entry-2\n"] {
        let entry = parse(text).unwrap();
        assert_eq!(entry.port, 7000);
        assert_eq!(entry.log.level, Level::Info);
    }
}

#[test]
fn unknown_field() {
    let (line, field, text) = refused("name: a\nprot: 1\n");
    assert_eq!((line, field.as_str()), (2, "prot"));
    assert!(text.contains("unknown field `prot`"), "{text}");
}

#[test]
fn unknown_nested() {
    let (_, field, text) = refused("name: a\nlog:\n  level: info\n  fil: x\nport: 3\n");
    assert_eq!(field, "log.fil", "{text}");
}

#[test]
fn bad_value() {
    let (line, field, text) = refused("name: a\n\nport: 70000\n");
    assert_eq!((line, field.as_str()), (3, "port"), "{text}");
    let (line, field, text) = refused("log:\n  # quiet\n  level: loud\n");
    assert_eq!((line, field.as_str()), (3, "log.level"), "{text}");
}

#[test]
fn missing_field() {
    let (_, field, text) = refused("peers:\n  - address: 127.0.0.1:1\n");
    assert_eq!(field, "peers.weight", "{text}");
}

#[test]
fn broken_rule() {
    let (_, field, text) = refused("port: 0\n");
    assert_eq!(field, "port");
    assert!(text.ends_with("must not be 0"), "{text}");
    let (_, field, _) = refused("log:\n  file: ''\n");
    assert_eq!(field, "log.file");
}

#[test]
fn broken_yaml() {
    for text in ["name: [", "\t- x: y", "name: a: b", "*x", "- 1\n- 2"] {
        let error = parse(text).unwrap_err().to_string();
        assert!(error.contains("entry.yaml"), "{error}");
    }
}

#[test]
fn missing_file() {
    let error = settings::load::<Entry>(Path::new("no/such.yaml")).unwrap_err();
    assert!(matches!(error, Error::Read(..)));
    assert!(error.to_string().contains("no/such.yaml"));
}

#[test]
fn described_values() {
    let file = scratch("described.yaml");
    fs::write(&file, "port: 7001\n").unwrap();
    let text = settings::describe::<Entry>(&file).unwrap();
    assert!(text.contains("settings are good"));
    assert!(text.contains("port: 7001"), "{text}");
    let again: Entry = settings::parse(&file, &text).unwrap();
    assert_eq!(again.port, 7001);
}

fn scratch(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}
