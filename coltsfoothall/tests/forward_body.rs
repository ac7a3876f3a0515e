//! Crowds of callers that send large bodies, beside ordinary ones.

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::body::{Budget, Error, Id, MAX_SMALL};
use coltsfoothall::size::Bytes;
use proptest::prelude::*;

/// Memory for bodies on a machine of 160 MB.
const LIMIT: Bytes = Bytes(40 << 20);
const LARGE: Bytes = Bytes(4 << 20);
const PART: Bytes = Bytes(64 << 10);

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

/// Lets bodies come that are read at once and, if `whole`, to their end. Returns those that have
/// memory.
fn crowd(budget: &mut Budget, count: u64, size: Bytes, whole: bool) -> Vec<Id> {
    let mut held = Vec::new();
    for number in 0..count {
        let id = budget.begin(at(number));
        if let Ok(evicted) = budget.grow(at(number), id, size) {
            held.retain(|id| !evicted.contains(id));
            held.push(id);
            if whole {
                budget.complete(id);
            }
        }
    }
    held
}

#[test]
fn stalled_make_room() {
    let mut budget = Budget::new(LIMIT);
    let held = crowd(&mut budget, 100, LARGE, false);
    let id = budget.begin(at(500));
    assert_eq!(budget.grow(at(500), id, LARGE), Ok(vec![held[0]]));
}

#[test]
fn flowing_outlast_stalled() {
    let mut budget = Budget::new(LIMIT);
    let flowing = budget.begin(at(0));
    budget.grow(at(0), flowing, MAX_SMALL).unwrap();
    for number in 0..100 {
        let stalled = budget.begin(at(10 * number));
        budget.grow(at(10 * number), stalled, LARGE).unwrap();
        let evicted = budget.grow(at(10 * number + 5), flowing, Bytes(1 << 10));
        assert!(!evicted.unwrap().contains(&flowing));
    }
}

#[test]
fn whole_are_kept() {
    let mut budget = Budget::new(LIMIT);
    let held = crowd(&mut budget, 100, LARGE, true);
    assert_eq!(held.len(), 7, "a quarter is kept for small bodies");
    let id = budget.begin(at(500));
    assert_eq!(budget.grow(at(500), id, LARGE), Err(Error::Exhausted));
    budget.end(held[0]);
    let id = budget.begin(at(501));
    assert_eq!(budget.grow(at(501), id, LARGE), Ok(vec![]));
}

#[test]
fn small_beside_large() {
    for whole in [false, true] {
        let mut budget = Budget::new(LIMIT);
        let held = crowd(&mut budget, 100, LARGE, whole);
        let small = crowd(&mut budget, 40, MAX_SMALL, true);
        assert_eq!((held.len(), small.len()), (7, 40));
    }
}

#[test]
fn refused_give_back() {
    let mut budget = Budget::new(LIMIT);
    crowd(&mut budget, 7, LARGE, true);
    let held = budget.held();
    let id = budget.begin(at(500));
    assert_eq!(budget.grow(at(500), id, LARGE), Err(Error::Exhausted));
    assert_eq!(budget.grow(at(501), id, PART), Err(Error::Exhausted));
    assert_eq!((budget.held(), budget.reading()), (held, 0));
}

proptest! {
    /// Bodies of all sizes and paces never take more than there is, nor large ones the part that is
    /// kept for small ones.
    #[test]
    fn limit_holds(steps in prop::collection::vec((0_usize..40, 1_u64..1 << 20, 0_u8..4), 1..400)) {
        let mut budget = Budget::new(LIMIT);
        let mut bodies: Vec<Id> = Vec::new();
        for (now, (index, bytes, step)) in (0..).zip(steps) {
            let id = match bodies.get(index) {
                Some(id) => *id,
                None => {
                    bodies.push(budget.begin(at(now)));
                    bodies[bodies.len() - 1]
                }
            };
            match step {
                0 | 1 => drop(budget.grow(at(now), id, Bytes(bytes))),
                2 => budget.complete(id),
                _ => budget.end(id),
            }
            prop_assert!(budget.held() <= LIMIT);
        }
    }
}
