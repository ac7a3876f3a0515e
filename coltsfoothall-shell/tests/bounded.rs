//! A stalled log target must not block the program; dropped lines are counted and reported.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use coltsfoothall_shell::bounded::{LINES, Output};
use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;

/// A target whose writes block until `go` receives a message or its sender is dropped.
struct Stalled {
    blocked: Sender<()>,
    go: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stalled {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // The receiver is gone once the test has ended.
        let _ended = self.blocked.send(());
        // An error means that the sender was dropped, which ends the stall.
        self.go.recv().unwrap_or_default();
        // The receiver is gone once the test has ended.
        drop(self.written.send(buf.to_vec()));
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(output: &Output, text: &str) {
    let mut record = Record::builder();
    record.level(Level::Info);
    output
        .append(&record.args(format_args!("{text}")).build())
        .unwrap();
}

#[test]
fn stall_blocks_nothing() {
    let (start, go) = channel();
    let (written, lines) = channel();
    let (blocked, stall) = channel();
    let encoder = Box::new(PatternEncoder::new("{m}{n}"));
    let target = Stalled {
        blocked,
        go,
        written,
    };
    let output = Output::new(encoder, Box::new(target));
    line(&output, "first");
    // A writer thread that starts later would count lines that are dropped until then as reported.
    stall.recv().unwrap();
    let count = LINES * 3;
    for _ in 0..count {
        line(&output, "busy");
    }
    let dropped = output.dropped() as usize;
    assert_eq!(dropped, count - LINES);
    drop(start);
    output.wait(Duration::from_secs(10));
    line(&output, "calm");
    output.wait(Duration::from_secs(10));
    let text: Vec<u8> = lines.try_iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    assert!(
        text.contains(&format!("E107 log_dropped lines={dropped}")),
        "the number of dropped lines is logged"
    );
    assert!(text.ends_with("calm\n"));
}
