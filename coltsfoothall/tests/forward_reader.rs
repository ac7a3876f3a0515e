//! Who reads the endpoints' registrations in a large fleet.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::clock::Time;
use coltsfoothall::forward::reader::{ALONE, READERS, Reading, Source};
use coltsfoothall::id;

const DOMAINS: usize = 5;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn fleet(count: usize) -> Vec<id::Instance> {
    let name = |at| format!("entry-{}-{at:03}", at % DOMAINS);
    let mut names: Vec<id::Instance> = (0..count).map(|at| name(at).parse().unwrap()).collect();
    names.sort_unstable();
    names
}

/// The others of an instance's failure domain, without those that are lost.
fn near<'a>(
    fleet: &'a [id::Instance],
    me: &id::Instance,
    lost: &[&id::Instance],
) -> Vec<&'a id::Instance> {
    let domain = &me.as_str()[..7];
    let others = fleet
        .iter()
        .filter(|name| *name != me && !lost.contains(name));
    others
        .filter(|name| name.as_str().starts_with(domain))
        .collect()
}

fn source(reading: &Reading, now: Time, fleet: &[id::Instance], me: &id::Instance) -> Source {
    reading.source(now, me, &near(fleet, me, &[]), fleet.len(), ALONE)
}

/// All endpoints of a fleet of any size beat once a second, and all instances hear of it: 300
/// instances and 2,997 endpoints asked for 1.8 Gbit/s of the store's 1 Gbit/s, and news that an
/// endpoint leaves took 6.4 s.
#[test]
fn beats_of_all() {
    for count in [60, 195, 330, 1_000] {
        let fleet = fleet(count);
        let reading = Reading::default();
        let mut asked: Vec<(id::Instance, usize)> = Vec::new();
        let mut reads = 0;
        for me in &fleet {
            match source(&reading, at(0), &fleet, me) {
                Source::Store => reads += 1,
                Source::Reader(name) => {
                    assert_eq!(name.as_str()[..7], me.as_str()[..7], "of its own domain");
                    assert_eq!(source(&reading, at(0), &fleet, &name), Source::Store);
                    match asked.iter_mut().find(|(have, _)| *have == name) {
                        Some((_, count)) => *count += 1,
                        None => asked.push((name, 1)),
                    }
                }
            }
        }
        assert_eq!(reads, DOMAINS * READERS, "of {count}");
        let busiest = asked.iter().map(|(_, count)| *count).max().unwrap();
        let mean = count / DOMAINS / READERS;
        assert!(
            busiest <= mean * 2 + 4,
            "{busiest} of {count} ask one reader"
        );
    }
}

#[test]
fn small_fleets_read() {
    let fleet = fleet(ALONE);
    for me in &fleet {
        assert_eq!(
            source(&Reading::default(), at(0), &fleet, me),
            Source::Store
        );
    }
}

/// A reader is frozen: still heard of, no answer. Its follower reads for itself at once, and
/// has another reader after that.
#[test]
fn reader_frozen() {
    let fleet = fleet(195);
    let me = fleet.last().unwrap();
    let mut reading = Reading::default();
    let first = source(&reading, at(0), &fleet, me);
    reading.failed(at(1_000));
    assert_eq!(source(&reading, at(1_001), &fleet, me), Source::Store);
    assert_eq!(source(&reading, at(3_999), &fleet, me), Source::Store);
    let second = source(&reading, at(4_000), &fleet, me);
    assert!(second != first && second != Source::Store, "{second:?}");
}

/// All readers of a domain are lost: the next ones by name read, with no word between them.
#[test]
fn readers_lost() {
    let fleet = fleet(195);
    let me = fleet.last().unwrap();
    let all = near(&fleet, me, &[]);
    let lost = &all[..READERS];
    let heir = all[READERS];
    let reading = Reading::default();
    let role = reading.source(at(0), heir, &near(&fleet, heir, lost), 195, ALONE);
    assert_eq!(role, Source::Store);
    let asked = reading.source(at(0), me, &near(&fleet, me, lost), 195, ALONE);
    assert!(matches!(asked, Source::Reader(name) if !lost.contains(&&name)));
}

/// The only ones of a failure domain have nobody to ask.
#[test]
fn few_in_domain() {
    let fleet = fleet(195);
    let me: id::Instance = "entry-9-001".parse().unwrap();
    let reading = Reading::default();
    assert_eq!(
        reading.source(at(0), &me, &[], fleet.len(), ALONE),
        Source::Store
    );
}
