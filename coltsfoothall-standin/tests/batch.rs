//! Service times of the engine's batch, and its prefix cache.

use coltsfoothall::clock::Time;
use coltsfoothall::prefix::{BLOCK_TOKENS, Block};
use coltsfoothall::size::Tokens;
use coltsfoothall_standin::batch::{Batch, Error, Job, Settings};
use coltsfoothall_standin::cache::Cache;
use coltsfoothall_wire::engine::{Attempt, Change};

fn job(attempt: Attempt, prompt: u64, tokens: u64) -> Job {
    Job {
        attempt,
        priority: 1,
        prompt: Tokens(prompt),
        blocks: Vec::new(),
        tokens,
    }
}

fn chain(seed: u64, len: u64) -> Vec<Block> {
    (0..len).map(|index| Block(seed * 1000 + index)).collect()
}

/// Steps until idle; attempts in the order of their ends, and the last end.
fn finish(batch: &mut Batch) -> (Vec<Attempt>, Time) {
    let (mut done, mut end) = (Vec::new(), Time::START);
    while let Some(at) = batch.next_at() {
        assert!(at > end, "time passes with every step");
        end = at;
        let outputs = batch.step(at);
        done.extend(outputs.iter().filter(|o| o.done).map(|o| o.attempt));
    }
    (done, end)
}

#[test]
fn one_request() {
    let settings = Settings::default();
    let mut batch = Batch::new(settings);
    batch.submit(Time::START, job(1, 2000, 3)).unwrap();
    assert!(batch.step(Time::START).is_empty(), "nothing is due yet");
    let (done, end) = finish(&mut batch);
    assert_eq!(done, [1]);
    // One step reads the prompt and makes a token, two more make one each.
    let expected = 100_000 + 3 * settings.step_us + 2 * settings.step_each_us;
    assert_eq!(end.as_micros(), expected);
}

#[test]
fn priorities_first() {
    for (priorities, order) in [(true, [1, 3, 2]), (false, [1, 2, 3])] {
        let settings = Settings {
            batch: 1,
            priorities,
            ..Settings::default()
        };
        let mut batch = Batch::new(settings);
        for (attempt, priority) in [(1, 5), (2, 5), (3, 0)] {
            let job = Job {
                priority,
                ..job(attempt, 10, 2)
            };
            batch.submit(Time::START, job).unwrap();
        }
        assert_eq!(finish(&mut batch).0, order);
    }
}

#[test]
fn long_first() {
    let settings = Settings {
        batch: 1,
        ..Settings::default()
    };
    let mut batch = Batch::new(settings);
    batch.prefer_long(true);
    for (attempt, prompt) in [(1, 10), (2, 10), (3, 900)] {
        batch.submit(Time::START, job(attempt, prompt, 1)).unwrap();
    }
    assert_eq!(finish(&mut batch).0, [1, 3, 2]);
}

#[test]
fn prefix_reuse() {
    let mut batch = Batch::new(Settings::default());
    let first = Job {
        blocks: chain(1, 4),
        ..job(1, 4 * BLOCK_TOKENS.0 + 10, 1)
    };
    let second = Job {
        attempt: 2,
        ..first.clone()
    };
    batch.submit(Time::START, first).unwrap();
    let (_, cold) = finish(&mut batch);
    batch.submit(cold, second).unwrap();
    let at = batch.next_at().unwrap();
    let outputs = batch.step(at);
    assert_eq!(outputs[0].cached, Some(Tokens(4 * BLOCK_TOKENS.0)));
    assert_eq!(batch.saved(), Tokens(4 * BLOCK_TOKENS.0));
    assert_eq!(batch.computed(), Tokens(4 * BLOCK_TOKENS.0 + 20));
    assert!(at.since(cold) < cold.since(Time::START));
}

#[test]
fn batching_slows() {
    let alone = {
        let mut batch = Batch::new(Settings::default());
        batch.submit(Time::START, job(0, 10, 50)).unwrap();
        finish(&mut batch).1
    };
    let mut batch = Batch::new(Settings::default());
    for attempt in 0..8 {
        batch.submit(Time::START, job(attempt, 10, 50)).unwrap();
    }
    let (done, together) = finish(&mut batch);
    assert_eq!(done.len(), 8);
    assert!(together > alone, "a step is slower for eight");
    assert!(
        together.as_micros() < 8 * alone.as_micros(),
        "yet faster than one by one"
    );
}

#[test]
fn queue_bound() {
    let settings = Settings {
        batch: 1,
        queue: 1,
        ..Settings::default()
    };
    let mut batch = Batch::new(settings);
    batch.submit(Time::START, job(1, 10, 2)).unwrap();
    batch.submit(Time::START, job(2, 10, 2)).unwrap();
    assert_eq!(
        batch.submit(Time::START, job(2, 10, 2)),
        Err(Error::Duplicate(2))
    );
    assert_eq!(
        batch.submit(Time::START, job(3, 10, 2)),
        Err(Error::Full(1))
    );
    assert!(batch.cancel(2) && !batch.cancel(2));
    batch.submit(Time::START, job(3, 10, 2)).unwrap();
    assert_eq!(finish(&mut batch).0, [1, 3]);
}

#[test]
fn least_recent_out() {
    let mut cache = Cache::new(Tokens(6 * BLOCK_TOKENS.0));
    cache.store(&chain(1, 3));
    cache.store(&chain(2, 3));
    assert_eq!(cache.touch(&chain(1, 3)), Tokens(3 * BLOCK_TOKENS.0));
    cache.store(&chain(3, 2));
    assert_eq!(cache.prefix(&chain(1, 3)), 3);
    assert_eq!(
        cache.prefix(&chain(2, 3)),
        1,
        "the end of a chain goes first"
    );
    assert_eq!(cache.held(), cache.capacity());
    let events: Vec<_> = cache.drain().collect();
    let numbers = events.iter().map(|event| event.seq);
    assert!(numbers.eq(1..=10), "eight stored, two evicted");
    assert_eq!(events[9].change, Change::Evicted(Block(2002)));
}
