//! One part of a system: a process that can be killed, paused, woken and stopped.

use std::process::{Child, Command};
use std::time::Duration;

use tokio::time::sleep;

/// A part of the system.
#[derive(Debug)]
pub struct Part {
    pub name: String,
    pub address: String,
    pub process: Option<Child>,
}

impl Part {
    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// SIGSTOP.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// SIGCONT.
    pub fn wake(&self) {
        self.signal("-CONT");
    }

    /// SIGTERM.
    pub fn stop(&self) {
        self.signal("-TERM");
    }

    /// Waits for the process to end after [`Part::stop`]; true if it ended well.
    pub async fn ended(&mut self) -> bool {
        let Some(mut process) = self.process.take() else {
            return false;
        };
        for _ in 0..600 {
            if let Some(status) = process.try_wait().unwrap() {
                return status.success();
            }
            sleep(Duration::from_millis(100)).await;
        }
        process.kill().unwrap();
        process.wait().unwrap();
        false
    }

    fn signal(&self, signal: &str) {
        let id = self.process.as_ref().unwrap().id().to_string();
        assert!(
            Command::new("kill")
                .args([signal, &id])
                .status()
                .unwrap()
                .success()
        );
    }
}
