//! A plain timeout, the rule of silence and lock holds alone, and the watch.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::stall::{Monitor, Settings, Verdict};

const PEERS: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    Timeout,
    Paper,
    Monitor,
}

/// What happens, in milliseconds since the start.
#[derive(Debug, Clone, Copy)]
enum Case {
    /// One peer dies.
    Death,
    /// This instance stands still.
    Stall,
    /// This instance hears nobody for a while.
    Cut,
    /// All peers die.
    Fleet,
}

const BEGIN: u64 = 20_000;
const END: u64 = 28_000;

/// Peers dropped and the time of the first drop.
fn run(rule: Rule, case: Case, seed: u64) -> (usize, Option<u64>) {
    let settings = Settings::default();
    let at = |ms: u64| Time::START + Duration::from_millis(ms);
    let mut watch = Monitor::new(at(0), settings.clone());
    let mut last = [0; PEERS];
    let mut dead = [false; PEERS];
    let (mut heard, mut first, mut batch) = (0, None, 0);
    // A stalled listener reads what waits for it a while after its timers run.
    for ms in (0..80_000).step_by(50) {
        let busy = (BEGIN..END).contains(&ms);
        if matches!(case, Case::Stall) && busy {
            continue;
        }
        let late = matches!(case, Case::Stall) && (END..END + 600).contains(&ms);
        for (peer, last) in last.iter_mut().enumerate() {
            let beat = (ms + seed * 37 + peer as u64 * 130) % 1000 < 50;
            let gone = match case {
                Case::Death => peer == 0 && ms >= BEGIN,
                Case::Fleet => ms >= BEGIN,
                Case::Cut => busy,
                Case::Stall => late,
            };
            if beat && !gone {
                (*last, heard) = (ms, ms);
                watch.record_message(at(ms));
            }
        }
        if ms % 200 != 0 {
            continue;
        }
        watch.tick(at(ms));
        batch = batch.max(heard);
        for peer in (0..PEERS).filter(|peer| !dead[*peer]).collect::<Vec<_>>() {
            let due = last[peer] + 3000;
            let drop = match rule {
                Rule::Timeout => ms >= due,
                Rule::Paper => {
                    // Its two conditions: a stall since anybody was heard, silence.
                    let stalled = matches!(case, Case::Stall) && batch < END && ms >= END;
                    ms >= due && (!stalled && batch >= due || ms >= due + 30_000)
                }
                Rule::Monitor => watch.judge(at(ms), at(last[peer]), PEERS) == Verdict::Dead,
            };
            if drop {
                dead[peer] = true;
                first.get_or_insert(ms - BEGIN);
            }
        }
    }
    (dead.iter().filter(|dead| **dead).count(), first)
}

fn worst(rule: Rule, case: Case) -> (usize, u64) {
    let runs: Vec<_> = (0..200).map(|seed| run(rule, case, seed)).collect();
    let lost = runs.iter().map(|run| run.0).max().unwrap();
    let late = runs.iter().filter_map(|run| run.1).max().unwrap_or(0);
    (lost, late)
}

#[test]
fn three_rules() {
    for case in [Case::Death, Case::Stall, Case::Cut, Case::Fleet] {
        for rule in [Rule::Timeout, Rule::Paper, Rule::Monitor] {
            println!("{case:?} {rule:?}: {:?}", worst(rule, case));
        }
    }
}

#[test]
fn single_death() {
    assert_eq!(
        worst(Rule::Monitor, Case::Death),
        worst(Rule::Timeout, Case::Death)
    );
}

#[test]
fn own_stall() {
    assert_eq!(worst(Rule::Timeout, Case::Stall).0, PEERS);
    assert_eq!(worst(Rule::Monitor, Case::Stall).0, 0);
}

#[test]
fn cut_off() {
    assert_eq!(worst(Rule::Timeout, Case::Cut).0, PEERS);
    assert_eq!(worst(Rule::Monitor, Case::Cut).0, 0);
}

#[test]
fn whole_fleet() {
    let (lost, late) = worst(Rule::Monitor, Case::Fleet);
    assert_eq!(lost, PEERS);
    assert!(late <= 34_000);
}
