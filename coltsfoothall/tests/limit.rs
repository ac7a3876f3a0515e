//! Shares, limits and queues at the gate.

use std::time::Duration;

use coltsfoothall::catalog::Workspace;
use coltsfoothall::clock::Time;
use coltsfoothall::limit::{Decision, Gate, Number, Outcome, Refusal, Settings, Ticket};
use coltsfoothall::record::{Cause, Class};
use coltsfoothall::size::{Rate, Tokens};
use proptest::prelude::*;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn workspace(name: &str, share: u32) -> Workspace {
    Workspace {
        name: name.parse().expect("a valid name"),
        tokens: Vec::new(),
        share,
        open: 0,
        rate: Rate(0),
    }
}

fn ticket(workspace: &str, class: Class, deadline: u64) -> Ticket {
    Ticket {
        workspace: workspace.parse().expect("a valid name"),
        class,
        service: "reader".parse().expect("a valid name"),
        deadline: at(deadline),
        cost: Tokens(872),
    }
}

fn workspaces() -> [Workspace; 2] {
    [workspace("large", 1), workspace("small", 1)]
}

fn gate(room: u64) -> Gate {
    let mut gate = Gate::new(Settings::default());
    gate.set_workspaces(&workspaces());
    gate.set_budget(&"reader".parse().expect("a valid name"), Tokens(room));
    gate
}

fn admitted(decision: Decision) -> Option<Number> {
    match decision {
        Decision::Admit(number) => Some(number),
        Decision::Queue(_) | Decision::Refuse(_) => None,
    }
}

fn queued(decision: Decision) -> Number {
    match decision {
        Decision::Queue(number) => number,
        other => panic!("{other:?}"),
    }
}

fn refused(decision: Decision) -> Refusal {
    match decision {
        Decision::Refuse(refusal) => refusal,
        other => panic!("{other:?}"),
    }
}

fn ready(outcomes: &[Outcome]) -> Vec<Number> {
    let number = |outcome: &Outcome| match outcome {
        Outcome::Ready(number) => Some(*number),
        Outcome::Refused(..) => None,
    };
    outcomes.iter().filter_map(number).collect()
}

/// A gate with room for four requests, all of which one workspace took, and
/// the four.
fn full(workspace: &str) -> (Gate, Vec<Number>) {
    let mut gate = Gate::new(Settings {
        greed: 10_000,
        ..Settings::default()
    });
    gate.set_workspaces(&workspaces());
    gate.set_budget(&"reader".parse().expect("a valid name"), Tokens(4_000));
    let fill = ticket(workspace, Class::Interactive, 600_000);
    let open = (0..4).filter_map(|_| admitted(gate.offer(at(0), &fill)));
    let open: Vec<Number> = open.collect();
    assert_eq!(open.len(), 4);
    (gate, open)
}

#[test]
fn flood_leaves_room() {
    let mut gate = gate(20_000);
    let flood = ticket("large", Class::Interactive, 600_000);
    let open = (0..100).filter_map(|_| admitted(gate.offer(at(0), &flood)));
    assert!((10..20).contains(&open.count()));
    let small = ticket("small", Class::Interactive, 600_000);
    assert!(admitted(gate.offer(at(1), &small)).is_some());
}

#[test]
fn small_goes_first() {
    let (mut gate, open) = full("large");
    for _ in 0..50 {
        queued(gate.offer(at(0), &ticket("large", Class::Interactive, 600_000)));
    }
    let small = queued(gate.offer(at(1), &ticket("small", Class::Interactive, 600_000)));
    gate.record_end(at(2), open[0]);
    assert_eq!(ready(&gate.poll(at(2))), [small]);
}

#[test]
fn long_not_passed() {
    let (mut gate, open) = full("large");
    let mut long = ticket("small", Class::Interactive, 600_000);
    long.cost = Tokens(50_000);
    let long = queued(gate.offer(at(1), &long));
    let mut short = ticket("large", Class::Interactive, 600_000);
    short.cost = Tokens(10);
    queued(gate.offer(at(1), &short));
    gate.record_prefill(at(2), open[0]);
    assert!(gate.poll(at(2)).is_empty(), "a short one passed a long one");
    gate.record_end(at(3), open[0]);
    gate.record_end(at(3), open[1]);
    assert_eq!(ready(&gate.poll(at(3)))[0], long);
}

#[test]
fn interactive_first() {
    let (mut gate, open) = full("large");
    queued(gate.offer(at(0), &ticket("large", Class::Batch, 600_000)));
    let next = queued(gate.offer(at(0), &ticket("small", Class::Interactive, 600_000)));
    gate.record_end(at(1), open[0]);
    assert_eq!(ready(&gate.poll(at(1))), [next]);
}

#[test]
fn batch_not_starved() {
    let (mut gate, mut open) = full("small");
    let batch = queued(gate.offer(at(0), &ticket("large", Class::Batch, 600_000)));
    for n in 1..40 {
        queued(gate.offer(at(n), &ticket("small", Class::Interactive, 600_000)));
        gate.record_end(at(n), open.remove(0));
        open.extend(ready(&gate.poll(at(n))));
        if open.contains(&batch) {
            return;
        }
    }
    panic!("batch waited for 40 interactive requests");
}

#[test]
fn given_up_at_once() {
    let mut gate = gate(4_000);
    let flood = ticket("large", Class::Interactive, 20_000);
    let mut refusals = 0;
    for _ in 0..200 {
        match gate.offer(at(0), &flood) {
            Decision::Refuse(refusal) => {
                assert_eq!(refusal.cause, Cause::Overloaded);
                assert!(refusal.retry_after >= Duration::from_secs(1));
                refusals += 1;
            }
            Decision::Admit(_) | Decision::Queue(_) => {}
        }
    }
    assert!(refusals > 150, "{refusals} refused");
    assert!(gate.waiting() < 50);
}

#[test]
fn late_ones_refused() {
    let (mut gate, _open) = full("large");
    let long = ticket("large", Class::Interactive, 600_000);
    for _ in 0..4 {
        queued(gate.offer(at(0), &long));
    }
    let late = queued(gate.offer(at(0), &ticket("large", Class::Interactive, 9_000)));
    assert!(gate.poll(at(1_000)).is_empty());
    let outcomes = gate.poll(at(8_000));
    let given_up = matches!(outcomes[..], [Outcome::Refused(number, _)] if number == late);
    assert!(given_up, "told before its deadline: {outcomes:?}");
}

#[test]
fn rate_and_open() {
    let mut gate = gate(1 << 30);
    let mut limited = workspace("large", 1);
    limited.rate = Rate(2);
    let mut narrow = workspace("small", 1);
    narrow.open = 1;
    gate.set_workspaces(&[limited, narrow]);
    let large = ticket("large", Class::Interactive, 600_000);
    let small = ticket("small", Class::Interactive, 600_000);
    admitted(gate.offer(at(0), &large)).unwrap();
    admitted(gate.offer(at(0), &large)).unwrap();
    let wait = refused(gate.offer(at(0), &large)).retry_after;
    assert_eq!(wait, Duration::from_millis(500));
    assert!(admitted(gate.offer(at(0) + wait, &large)).is_some());
    let first = admitted(gate.offer(at(0), &small)).unwrap();
    assert_eq!(refused(gate.offer(at(0), &small)).cause, Cause::Overloaded);
    gate.record_end(at(1), first);
    assert!(admitted(gate.offer(at(1), &small)).is_some());
}

#[test]
fn no_room() {
    let mut gate = gate(0);
    let offer = gate.offer(at(0), &ticket("small", Class::Batch, 600_000));
    assert_eq!(refused(offer).cause, Cause::NoEndpoint);
}

proptest! {
    #[test]
    fn all_accounted(steps in proptest::collection::vec((0u8..5, 0u64..400, any::<bool>()), 1..300)) {
        let mut gate = gate(8_000);
        let mut open: Vec<Number> = Vec::new();
        let mut waiting: Vec<Number> = Vec::new();
        for (n, (step, pick, batch)) in steps.into_iter().enumerate() {
            let now = at(n as u64 * 10);
            let class = if batch { Class::Batch } else { Class::Interactive };
            let name = if pick % 2 == 0 { "large" } else { "small" };
            match step {
                0 | 1 => match gate.offer(now, &ticket(name, class, n as u64 * 10 + pick * 20)) {
                    Decision::Admit(number) => open.push(number),
                    Decision::Queue(number) => waiting.push(number),
                    Decision::Refuse(_) => {}
                },
                2 if !open.is_empty() => {
                    let number = open.remove(pick as usize % open.len());
                    gate.record_prefill(now, number);
                    gate.record_end(now, number);
                }
                3 if !waiting.is_empty() => gate.record_end(now, waiting.remove(pick as usize % waiting.len())),
                _ => {
                    for outcome in gate.poll(now) {
                        let (number, goes) = match outcome {
                            Outcome::Ready(number) => (number, true),
                            Outcome::Refused(number, _) => (number, false),
                        };
                        prop_assert!(waiting.contains(&number), "{number:?} did not wait");
                        waiting.retain(|have| *have != number);
                        if goes {
                            open.push(number);
                        }
                    }
                }
            }
            prop_assert_eq!(gate.open(), open.len() + waiting.len());
        }
        for number in open.into_iter().chain(waiting) {
            gate.record_end(at(1 << 20), number);
        }
        prop_assert_eq!((gate.open(), gate.waiting()), (0, 0));
        prop_assert!(admitted(gate.offer(at(1 << 20), &ticket("small", Class::Batch, 1 << 21))).is_some());
    }
}
