//! Processes that a case starts. All of them are killed before it ends.

use std::io;
use std::process::{Child, Command};
use std::sync::Mutex;

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Starts a process.
pub fn start(command: &mut Command) -> io::Result<Child> {
    let mut running = RUNNING.lock().expect("processes");
    let child = command.spawn()?;
    running.push(child.id());
    Ok(child)
}

/// Kills a process and waits for its end.
pub fn kill(child: &mut Child) {
    let mut running = RUNNING.lock().expect("processes");
    let _ignored = child.kill();
    let _ignored = child.wait();
    running.retain(|id| *id != child.id());
}

/// Kills all processes that still run, when a case takes too long.
pub fn kill_all() {
    for id in RUNNING.lock().expect("processes").drain(..) {
        let _ignored = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}
