//! The slot table's rules.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use coltsfoothall::id::Instance;
use coltsfoothall::key::{Epoch, Slot};
use coltsfoothall::ledger::Life;
use coltsfoothall::slot::{Candidate, MAX_MOVES, Process, Refused, SLOT_COUNT, Table};

fn candidates(count: usize, domains: usize) -> Vec<Candidate> {
    let candidate = |at: usize| Candidate {
        instance: name(at),
        domain: format!("d{}", at % domains).parse().unwrap(),
        leaving: false,
    };
    (0..count).map(candidate).collect()
}

fn name(at: usize) -> Instance {
    format!("i{at:03}").parse().unwrap()
}

fn process(instance: Instance) -> Process {
    Process {
        instance,
        life: Life(u64::MAX >> 1),
    }
}

#[test]
fn stale_epoch() {
    let table = Table::first(4, &candidates(3, 3)).unwrap();
    let slot = Slot(0);
    let backed = table
        .replace_backup(slot, Epoch(1), &name(0), Some(process(name(1))))
        .unwrap();
    let refused = Refused::Epoch(slot, Epoch(2), Epoch(1));
    assert_eq!(
        backed.takeover(slot, Epoch(1), &name(1)),
        Err(refused.clone())
    );
    assert_eq!(backed.claim(slot, Epoch(1), &name(2)), Err(refused));
    let role = Refused::Role(slot, name(2));
    assert_eq!(backed.takeover(slot, Epoch(2), &name(2)), Err(role));
    let taken = backed.takeover(slot, Epoch(2), &name(1)).unwrap();
    assert_eq!(taken.entry(slot).unwrap().cold, Epoch(1));
    let claimed = backed.claim(slot, Epoch(2), &name(2)).unwrap();
    assert_eq!(claimed.entry(slot).unwrap().cold, Epoch(3));
}

#[test]
fn other_domain() {
    let all = candidates(6, 2);
    let table = Table::first(16, &all).unwrap();
    for (slot, entry) in table.iter() {
        let backup = table.backup_for(slot, &all).unwrap();
        let domain = |name: &Instance| {
            all.iter()
                .find(|c| c.instance == *name)
                .unwrap()
                .domain
                .clone()
        };
        assert_ne!(domain(&backup), domain(&entry.primary));
    }
}

#[test]
fn fair_share() {
    let mut all = candidates(9, 3);
    let mut table = Table::first(SLOT_COUNT, &all[..1]).unwrap();
    all[0].leaving = true;
    for _ in 0..200 {
        for from in 0..9 {
            let moves = table.moves(&name(from), &all);
            assert!(moves.len() <= MAX_MOVES);
            for step in moves {
                let epoch = table.entry(step.slot).unwrap().epoch;
                table = table
                    .hand_over(step.slot, epoch, &name(from), &process(step.to))
                    .unwrap();
            }
        }
    }
    assert_eq!(table.primaries(&name(0)), 0);
    assert!((1..9).all(|at| table.primaries(&name(at)) == 32));
    assert!(serde_json::to_vec(&table).unwrap().len() < 64 << 10);
}

#[test]
fn claimed_slots() {
    let first = Table::first(3, &candidates(2, 2)).unwrap();
    assert_eq!(first.claimed().count(), 0);
    let table = first.claim(Slot(1), Epoch(1), &name(1)).unwrap();
    let claimed: Vec<_> = table.claimed().collect();
    assert_eq!(claimed, [(Slot(1), Epoch(2))]);
}
