//! Ports of one system, which no other system on this machine gets while it runs.

use std::fs::{self, File};
use std::net::TcpListener;
use std::ops::Range;
use std::path::Path;

/// First port of all systems. They lie below those that connections get, so that
/// no connection takes one before its part listens.
const FIRST: u16 = 12_000;
/// Ports of one system; a larger system fails at its start.
const EACH: u16 = 80;
/// Systems that can run at once.
const SYSTEMS: u16 = 250;

/// Ports that belong to one system until this is dropped. A part that is down
/// finds its port free when it comes back.
#[derive(Debug)]
pub struct Ports {
    free: Vec<u16>,
    /// Its lock ends with the process that holds it, however that ends.
    _lock: File,
}

impl Ports {
    /// Takes ports that no other system holds and nothing listens on.
    pub fn take(count: usize) -> Self {
        let folder = std::env::temp_dir().join("coltsfoothall-ports");
        fs::create_dir_all(&folder).unwrap();
        // Test processes that run side by side begin at different places.
        let start = std::process::id() * 7 % u32::from(SYSTEMS);
        let start = u16::try_from(start).unwrap();
        (0..SYSTEMS)
            .map(|step| (start + step) % SYSTEMS)
            .find_map(|place| Self::of(&folder, place, count))
            .expect("a machine runs fewer systems at once than there are places")
    }

    /// The next port that was not given yet.
    pub fn next(&mut self) -> u16 {
        self.free.pop().unwrap()
    }

    /// The ports of a place; none if it is taken or has too few that are free.
    fn of(folder: &Path, place: u16, count: usize) -> Option<Self> {
        let lock = File::create(folder.join(format!("{place}.lock"))).unwrap();
        lock.try_lock().ok()?;
        let free: Vec<u16> = range(place).filter(|port| is_free(*port)).collect();
        (free.len() >= count).then_some(Self { free, _lock: lock })
    }
}

fn range(place: u16) -> Range<u16> {
    let first = FIRST + place * EACH;
    first..first + EACH
}

/// Something else may listen, such as a part whose test was killed.
fn is_free(port: u16) -> bool {
    TcpListener::bind(("127.0.0.1", port)).is_ok()
}
