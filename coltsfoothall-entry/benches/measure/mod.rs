//! What processes take, as the kernel counts it: unlike wall time, the counts
//! hold on a busy machine.

#![expect(clippy::unwrap_used, reason = "a failed step ends the bench")]

use std::fs;
use std::process::Command;

use crate::system::Part;

/// Processor time of a clock tick, as /proc counts it.
const TICK_US: u64 = 10_000;

/// Bytes of a segment's headers: Ethernet, IP, and TCP with time stamps.
const HEADERS: u64 = 66;

/// The process number of a part that runs.
pub fn id(part: &Part) -> u32 {
    part.process.as_ref().unwrap().id()
}

/// Processor time of a process since its start, in microseconds.
pub fn cpu(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let rest = text.rsplit_once(')').unwrap().1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<u64>().unwrap();
    (ticks(11) + ticks(12)) * TICK_US
}

/// Processor time of a process's threads of this name, in microseconds.
pub fn cpu_thread(process: u32, name: &str) -> u64 {
    let mut total = 0;
    for task in fs::read_dir(format!("/proc/{process}/task"))
        .unwrap()
        .flatten()
    {
        let held = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        let run = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        if held.trim() == name {
            let nanos = run
                .split_whitespace()
                .next()
                .and_then(|field| field.parse::<u64>().ok());
            total += nanos.unwrap_or(0) / 1000;
        }
    }
    total
}

/// Resident memory of a process in KB.
pub fn memory(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// What one connection carried, as one side of it counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Flow {
    /// Own and other address.
    pub ends: (String, String),
    /// Bytes sent and received.
    pub bytes: u64,
    /// Segments sent and received.
    pub segments: u64,
}

/// Connections of a process.
pub fn flows(process: u32) -> Vec<Flow> {
    let text = Command::new("ss")
        .args(["-tinpOH"])
        .output()
        .unwrap()
        .stdout;
    let text = String::from_utf8_lossy(&text).into_owned();
    let mark = format!("pid={process},");
    let mut flows: Vec<Flow> = text
        .lines()
        .filter(|line| line.contains(&mark))
        .map(flow)
        .collect();
    flows.sort_by(|a, b| a.ends.cmp(&b.ends));
    flows
}

fn flow(line: &str) -> Flow {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let number = |name: &str| {
        let found = fields.iter().find_map(|field| field.strip_prefix(name));
        found.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
    };
    Flow {
        ends: (fields[3].into(), fields[4].into()),
        bytes: number("bytes_sent:") + number("bytes_received:"),
        segments: number("segs_out:") + number("segs_in:"),
    }
}

/// Bytes and segments of all connections between two looks that match, by the
/// addresses of their ends. What a connection that closed meanwhile carried is left out.
pub fn carried(before: &[Flow], after: &[Flow], matches: impl Fn(&Flow) -> bool) -> (u64, u64) {
    let (mut bytes, mut segments) = (0, 0);
    for flow in after.iter().filter(|flow| matches(flow)) {
        let old = before.binary_search_by(|held| held.ends.cmp(&flow.ends));
        let old = old.ok().map(|at| &before[at]);
        bytes += flow.bytes.saturating_sub(old.map_or(0, |old| old.bytes));
        segments += flow
            .segments
            .saturating_sub(old.map_or(0, |old| old.segments));
    }
    (bytes, segments)
}

/// Bytes on the wire of so many bytes in so many segments.
pub fn wire(bytes: u64, segments: u64) -> u64 {
    bytes + segments * HEADERS
}

/// Median, least and most.
pub fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let middle = values[values.len() / 2];
    format!(
        "{middle:.1} ({:.1} to {:.1}, n={})",
        values[0],
        values[values.len() - 1],
        values.len()
    )
}

/// The machine's load, to say with each figure.
pub fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap();
    let fields: Vec<&str> = text.split_whitespace().take(3).collect();
    format!("load averages {}", fields.join(" "))
}

/// Numbers on the command line, or these.
pub fn sizes(default: &[usize]) -> Vec<usize> {
    let given: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    if given.is_empty() {
        default.to_vec()
    } else {
        given
    }
}
