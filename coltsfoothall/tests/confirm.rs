//! Confirmations: races, lost answers, late writes and outages.

use std::sync::Arc;

use coltsfoothall::catalog::{Catalog, MAX_HISTORY, Revision};
use coltsfoothall::confirm::{Action, Attempt, Event, MAX_SWAPS, Verdict};
use coltsfoothall::plan::Plan;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// A key with every value that it ever had.
#[derive(Debug, Default)]
struct Store {
    values: Vec<Arc<Catalog>>,
    late: Vec<(u64, Arc<Catalog>, u64)>,
    /// Attempts whose swap took effect.
    landed: Vec<u64>,
}

impl Store {
    fn read(&self, back: usize) -> Event {
        let version = self.values.len().saturating_sub(back);
        let value = version
            .checked_sub(1)
            .map(|at| Catalog::clone(&self.values[at]));
        let (version, catalog) = (version as u64, Box::new(value.unwrap_or_default()));
        Event::Found { version, catalog }
    }

    fn swap(&mut self, version: u64, value: Arc<Catalog>) -> bool {
        let fits = version == self.values.len() as u64;
        if fits {
            self.values.push(value);
        }
        fits
    }

    /// A swap that comes late takes effect if it still fits.
    fn land(&mut self, version: u64, value: Arc<Catalog>, attempt: u64) -> bool {
        let fits = self.swap(version, value);
        if fits {
            self.landed.push(attempt);
        }
        fits
    }

    fn newest(&self) -> Arc<Catalog> {
        self.values.last().cloned().unwrap_or_default()
    }

    fn holds(&self, plan: &Plan) -> Vec<Revision> {
        let ours = self
            .values
            .iter()
            .filter(|value| value.plan.as_ref() == Some(&plan.id));
        ours.map(|value| value.revision).collect()
    }
}

fn plan(base: &Catalog, id: &str, version: u64) -> Plan {
    let intent = format!("models: [{{name: {id}, version: {version}}}]");
    Plan::make(
        base,
        intent.parse().expect("a good plan"),
        id.parse().expect("a good plan"),
    )
    .expect("a good plan")
}

fn attempt(plan: &Plan) -> Attempt {
    Attempt::new(plan.clone(), Arc::default(), Some(Arc::default()))
}

fn found(version: u64, catalog: &Catalog) -> Event {
    let catalog = Box::new(catalog.clone());
    Event::Found { version, catalog }
}

/// Runs one confirmation with no faults.
fn settle(store: &mut Store, attempt: &mut Attempt) -> Verdict {
    let mut action = attempt.start();
    loop {
        let event = match action {
            Action::Settle(verdict) => return verdict,
            Action::Read => store.read(0),
            Action::Swap { version, value } if store.swap(version, Arc::clone(&value)) => {
                Event::Swapped
            }
            Action::Swap { .. } => Event::Conflict,
        };
        action = attempt.step(event);
    }
}

#[test]
fn calm_accepted() {
    let mut store = Store::default();
    let one = plan(&Catalog::default(), "one", 1);
    assert_eq!(
        settle(&mut store, &mut attempt(&one)),
        Verdict::Accepted(Revision(1))
    );
    assert_eq!(
        settle(&mut store, &mut attempt(&one)),
        Verdict::Accepted(Revision(1))
    );
    assert_eq!(store.values.len(), 1);
}

#[test]
fn race_lost() {
    let mut store = Store::default();
    let one = plan(&Catalog::default(), "one", 1);
    let two = plan(&Catalog::default(), "two", 1);
    settle(&mut store, &mut attempt(&one));
    let Verdict::Stale {
        current,
        since,
        changed,
    } = settle(&mut store, &mut attempt(&two))
    else {
        panic!("not stale");
    };
    assert_eq!((current, since), (Revision(1), Some(Revision(0))));
    assert_eq!(changed[0].name, "one");
    // The first stays accepted after others overwrote it.
    let three = plan(&store.newest(), "three", 1);
    settle(&mut store, &mut attempt(&three));
    assert_eq!(
        settle(&mut store, &mut attempt(&one)),
        Verdict::Accepted(Revision(1))
    );
}

#[test]
fn lost_answer() {
    let one = plan(&Catalog::default(), "one", 1);
    let mut ours = attempt(&one);
    ours.start();
    ours.step(found(0, &Catalog::default()));
    assert_eq!(ours.step(Event::Lost), Action::Read);
    let settled = ours.step(found(1, &one.after));
    assert_eq!(settled, Action::Settle(Verdict::Accepted(Revision(1))));
}

#[test]
fn outage_told() {
    let one = plan(&Catalog::default(), "one", 1);
    let mut ours = attempt(&one);
    assert_eq!(ours.start(), Action::Read);
    assert!(matches!(
        ours.step(Event::Down),
        Action::Settle(Verdict::Untried { .. })
    ));
    let mut ours = attempt(&one);
    ours.start();
    ours.step(found(0, &Catalog::default()));
    ours.step(Event::Lost);
    assert!(matches!(
        ours.step(Event::Down),
        Action::Settle(Verdict::Unsettled { .. })
    ));
}

#[test]
fn known_here() {
    let one = plan(&Catalog::default(), "one", 1);
    let held = Arc::new(one.after.clone());
    let mut ours = Attempt::new(one, held, None);
    assert_eq!(ours.start(), Action::Settle(Verdict::Accepted(Revision(1))));
}

#[test]
fn altered_refused() {
    let mut store = Store::default();
    let mut one = plan(&Catalog::default(), "one", 1);
    one.after.models[0].version = 9;
    assert!(matches!(
        settle(&mut store, &mut attempt(&one)),
        Verdict::Refused { .. }
    ));
    let mut one = plan(&Catalog::default(), "one", 1);
    one.steps[0].effects.clear();
    assert!(matches!(
        settle(&mut store, &mut attempt(&one)),
        Verdict::Refused { .. }
    ));
    let empty = Plan::make(
        &Catalog::default(),
        "{}".parse().unwrap(),
        "e".parse().unwrap(),
    );
    let mut ours = attempt(&empty.unwrap());
    assert!(matches!(
        settle(&mut store, &mut ours),
        Verdict::Refused { .. }
    ));
    assert!(store.values.is_empty());
}

#[test]
fn reset_mended() {
    // The service lost revision 2, which is in force here.
    let one = plan(&Catalog::default(), "one", 1);
    let two = plan(&one.after, "two", 1);
    let three = plan(&two.after, "three", 1);
    let mut store = Store::default();
    store.swap(0, Arc::new(one.after.clone()));
    let mut ours = Attempt::new(three, Arc::new(two.after), None);
    assert_eq!(
        settle(&mut store, &mut ours),
        Verdict::Accepted(Revision(3))
    );
    assert!(store.newest().accepted(&two.id).is_some());
}

#[test]
fn too_old() {
    let mut store = Store::default();
    let old = plan(&Catalog::default(), "old", 1);
    for number in 0..=MAX_HISTORY {
        let next = plan(&store.newest(), &format!("p{number}"), 1);
        settle(&mut store, &mut attempt(&next));
    }
    let verdict = settle(&mut store, &mut attempt(&old));
    assert_eq!(
        verdict,
        Verdict::Expired {
            current: store.newest().revision
        }
    );
}

#[test]
fn busy_bounded() {
    let one = plan(&Catalog::default(), "one", 1);
    let mut ours = attempt(&one);
    let mut action = ours.start();
    for _ in 0..MAX_SWAPS {
        assert_eq!(action, Action::Read);
        ours.step(found(0, &Catalog::default()));
        action = ours.step(Event::Conflict);
    }
    let last = ours.step(found(0, &Catalog::default()));
    assert!(matches!(last, Action::Settle(Verdict::Untried { .. })));
}

#[test]
fn wrong_event() {
    let one = plan(&Catalog::default(), "one", 1);
    let mut ours = attempt(&one);
    ours.start();
    assert!(matches!(
        ours.step(Event::Swapped),
        Action::Settle(Verdict::Unsettled { .. })
    ));
}

/// An operator with a plan, who confirms until it is settled.
struct Operator {
    plan: Plan,
    attempt: Attempt,
    action: Action,
    number: u64,
    lost: bool,
}

impl Operator {
    fn new(plan: Plan, number: u64, rng: &mut Pcg64, store: &Store) -> Self {
        let mut attempt = begin(&plan, rng, store);
        let action = attempt.start();
        Self {
            plan,
            attempt,
            action,
            number,
            lost: false,
        }
    }
}

/// A confirmation at an instance that may lag behind the store.
fn begin(plan: &Plan, rng: &mut Pcg64, store: &Store) -> Attempt {
    let at = rng.random_range(0..=store.values.len());
    let held = at.checked_sub(1).map(|at| Arc::clone(&store.values[at]));
    Attempt::new(plan.clone(), held.unwrap_or_default(), None)
}

/// What the faulty store does with an action.
fn faulty(store: &mut Store, operator: &mut Operator, rng: &mut Pcg64) -> Event {
    let fault = rng.random_range(0..10);
    match operator.action.clone() {
        Action::Settle(_) => unreachable!("settled actions are taken before"),
        Action::Read if fault == 0 => Event::Down,
        Action::Read if fault == 1 => Event::Lost,
        Action::Read => store.read(if fault == 2 { 1 } else { 0 }),
        Action::Swap { .. } if fault == 0 => Event::Down,
        Action::Swap { version, value } => {
            operator.lost |= (1..=3).contains(&fault);
            if fault == 1 {
                store.late.push((version, value, operator.number));
                return Event::Lost;
            }
            let fits = store.land(version, value, operator.number);
            match (fault, fits) {
                (2 | 3, _) => Event::Lost,
                (_, true) => Event::Swapped,
                (_, false) => Event::Conflict,
            }
        }
    }
}

fn check(verdict: &Verdict, operator: &Operator, store: &Store, seed: u64) {
    let held = store.holds(&operator.plan);
    match verdict {
        Verdict::Accepted(revision) => assert_eq!(held, [*revision], "seed {seed}"),
        Verdict::Stale { .. } => assert!(held.is_empty(), "seed {seed}: stale but written"),
        Verdict::Untried { .. } => assert!(!operator.lost, "seed {seed}: untried but lost"),
        Verdict::Unsettled { .. } => assert!(operator.lost, "seed {seed}: nothing was lost"),
        Verdict::Refused { message } => panic!("seed {seed}: {message}"),
        // The run is shorter than the history.
        Verdict::Expired { .. } => panic!("seed {seed}: expired"),
    }
}

#[test]
fn operators_race() {
    let (mut accepted, mut stale, mut unsettled) = (0, 0, 0);
    for seed in 0..400 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut store = Store::default();
        let mut stales: Vec<Plan> = Vec::new();
        let mut untried: Vec<u64> = Vec::new();
        let mut number = 0;
        let mut next = |rng: &mut Pcg64, store: &Store, old: Option<&Plan>| {
            number += 1;
            let made = match old {
                Some(plan) => plan.clone(),
                None => plan(&store.newest(), &format!("p{number}"), 1),
            };
            Operator::new(made, number, rng, store)
        };
        let mut operators = [next(&mut rng, &store, None), next(&mut rng, &store, None)];
        for _ in 0..200 {
            let who = rng.random_range(0..operators.len());
            let operator = &mut operators[who];
            if let Action::Settle(verdict) = operator.action.clone() {
                check(&verdict, operator, &store, seed);
                let again = match verdict {
                    Verdict::Accepted(_) => {
                        accepted += 1;
                        None
                    }
                    Verdict::Stale { .. } => {
                        stale += 1;
                        stales.push(operator.plan.clone());
                        None
                    }
                    Verdict::Untried { .. } => {
                        untried.push(operator.number);
                        Some(operator.plan.clone())
                    }
                    _ => {
                        unsettled += 1;
                        Some(operator.plan.clone())
                    }
                };
                // What is not known is confirmed again, perhaps at another instance.
                operators[who] = next(&mut rng, &store, again.as_ref());
                continue;
            }
            let event = faulty(&mut store, operator, &mut rng);
            operator.action = operator.attempt.step(event);
            if rng.random_bool(0.2) && !store.late.is_empty() {
                let (version, value, attempt) = store.late.remove(0);
                store.land(version, value, attempt);
            }
        }
        for (version, value, attempt) in std::mem::take(&mut store.late) {
            store.land(version, value, attempt);
        }
        let wrote = untried
            .iter()
            .find(|attempt| store.landed.contains(attempt));
        assert_eq!(wrote, None, "seed {seed}: an untried confirmation wrote");
        // One winner for each base, no revision back, no second effect, stale for good.
        let revisions: Vec<u64> = store.values.iter().map(|value| value.revision.0).collect();
        let rising: Vec<u64> = (1..=store.values.len() as u64).collect();
        assert_eq!(revisions, rising, "seed {seed}");
        let mut plans: Vec<_> = store
            .values
            .iter()
            .map(|value| value.plan.clone())
            .collect();
        plans.sort();
        plans.dedup();
        assert_eq!(plans.len(), store.values.len(), "seed {seed}");
        assert!(
            stales.iter().all(|plan| store.holds(plan).is_empty()),
            "seed {seed}"
        );
    }
    // The run meets every case, or it proves little.
    assert!(
        accepted > 400 && stale > 400 && unsettled > 400,
        "{accepted} accepted, {stale} stale, {unsettled} unsettled"
    );
}
