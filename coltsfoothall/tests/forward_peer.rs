//! Liveness, addresses and clocks of the other entry instances.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use coltsfoothall::batch;
use coltsfoothall::clock::Time;
use coltsfoothall::forward::peer::{
    MAX_HEARTBEATS_PER_BATCH, Peers, Profile, Settings, first_batch,
};
use coltsfoothall::forward::rate_limit::Coverage;
use coltsfoothall::size::Megabits;

fn at(millis: u64) -> Time {
    Time::START + Duration::from_millis(millis)
}

fn front(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 80))
}

fn profile(last: u8, boot: u64, domain: &str) -> Profile {
    Profile {
        name: format!("entry-{last}").parse().unwrap(),
        boot,
        domain: domain.parse().unwrap(),
        front: front(last),
        peer: front(last),
        ready: true,
        version: 1,
        clock: Duration::from_secs(1_000),
        link: Megabits(0),
    }
}

fn peers() -> Peers {
    Peers::new("entry-1".parse().unwrap(), Settings::default())
}

#[test]
fn local_addresses_only() {
    let mut peers = peers();
    for (last, domain) in [(2, "north"), (3, "south"), (4, "south")] {
        peers.receive(at(0), profile(last, 1, domain));
    }
    let own = Some((front(1), "north"));
    assert_eq!(
        peers.front_addresses(at(0), "south", own),
        [front(3), front(4)]
    );
    assert_eq!(
        peers.front_addresses(at(0), "north", own),
        [front(2), front(1)]
    );
    assert_eq!(
        peers.front_addresses(at(0), "west", own).len(),
        4,
        "a caller of an unknown domain gets all addresses"
    );
    peers.receive(at(1_000), profile(3, 1, "south"));
    let all = peers.front_addresses(at(2_000), "south", own);
    assert_eq!(
        all,
        [front(3), front(1)],
        "one local address is not enough, and silent instances are left out"
    );
}

#[test]
fn never_empty() {
    let mut peers = peers();
    peers.receive(at(0), profile(2, 1, "north"));
    assert_eq!(peers.front_addresses(at(9_000), "north", None), [front(2)]);
}

#[test]
fn stopping_left_out() {
    let mut peers = peers();
    peers.receive(at(0), profile(2, 1, "north"));
    peers.receive(at(0), profile(3, 1, "north"));
    let stopping = Profile {
        ready: false,
        ..profile(2, 1, "north")
    };
    peers.receive(at(10), stopping);
    assert_eq!(peers.front_addresses(at(10), "north", None), [front(3)]);
}

#[test]
fn members_kept() {
    let mut peers = peers();
    peers.registered(profile(2, 1, "north"));
    peers.receive(at(0), profile(3, 1, "north"));
    let coverage = |reporting| Coverage {
        members: 3,
        reporting,
    };
    assert_eq!(peers.coverage(at(0)), coverage(2));
    assert_eq!(peers.coverage(at(2_000)), coverage(1));
    assert_eq!(
        peers.expire(at(5_000)),
        [1],
        "neither registered nor heard from"
    );
    assert_eq!(
        peers.coverage(at(5_000)).members,
        2,
        "a registered one may still grant"
    );
    let name = "entry-2".parse().unwrap();
    peers.withdrawn(&"elsewhere".parse().unwrap(), &name);
    peers.expire(at(5_000));
    assert_eq!(
        peers.coverage(at(5_000)).members,
        2,
        "the key of another domain is not its registration"
    );
    peers.withdrawn(&"north".parse().unwrap(), &name);
    peers.expire(at(5_000));
    assert_eq!(peers.coverage(at(5_000)).members, 1);
}

#[test]
fn restart_seen() {
    let mut peers = peers();
    assert_eq!(peers.receive(at(0), profile(2, 1, "north")), None);
    assert_eq!(peers.receive(at(1), profile(2, 8, "north")), Some(1));
    assert_eq!(
        peers.receive(at(2), profile(1, 8, "north")),
        None,
        "an instance is no peer of itself"
    );
    assert_eq!(peers.addresses(), [front(2)]);
}

#[test]
fn introduced_is_not_alive() {
    let mut peers = peers();
    peers.introduce(at(0), profile(2, 1, "north"));
    assert_eq!(peers.addresses(), [front(2)], "it gets heartbeats");
    assert_eq!(
        peers.coverage(at(0)).reporting,
        1,
        "but does not count as alive"
    );
    peers.expire(at(5_000));
    assert!(peers.addresses().is_empty());
}

#[test]
fn wrong_clocks_outvoted() {
    let mut peers = peers();
    for last in 2..8 {
        let clock = if last < 4 { 5_000 } else { 1_000 };
        let profile = Profile {
            clock: Duration::from_secs(clock),
            ..profile(last, 1, "north")
        };
        peers.receive(at(0), profile);
    }
    let time = peers.true_time(at(500), Duration::from_secs(9_999));
    assert_eq!(
        time,
        Duration::from_secs(1_000) + Duration::from_millis(500)
    );
}

#[test]
fn newest_found() {
    let mut peers = peers();
    let newer = Profile {
        version: 9,
        ..profile(3, 1, "north")
    };
    peers.receive(at(0), profile(2, 1, "north"));
    peers.receive(at(0), newer);
    assert_eq!(
        ahead(&peers, at(0), 4),
        [3],
        "only those with the newest version"
    );
    assert!(ahead(&peers, at(0), 9).is_empty());
    assert!(
        ahead(&peers, at(3_000), 4).is_empty(),
        "a silent instance is not asked"
    );
}

/// Instances that one in the north may ask for a newer configuration.
fn ahead(peers: &Peers, now: Time, version: u64) -> Vec<u8> {
    let ahead = peers.with_newer_config(now, version, &"north".parse().unwrap());
    let last = |profile: &Profile| match profile.front.ip() {
        IpAddr::V4(ip) => ip.octets()[3],
        IpAddr::V6(_) => 0,
    };
    ahead.into_iter().map(last).collect()
}

/// Requests for a configuration must spread over the instances that have it. They all went to the
/// last one by name.
#[test]
fn questions_spread() {
    let mut peers = peers();
    for last in 2..8 {
        let domain = if last < 4 { "north" } else { "south" };
        peers.receive(at(0), profile(last, 1, domain));
    }
    assert_eq!(
        ahead(&peers, at(0), 0),
        [2, 3, 4, 5, 6, 7],
        "too few local instances"
    );
    peers.receive(at(0), profile(8, 1, "north"));
    assert_eq!(ahead(&peers, at(0), 0), [2, 3, 8], "enough local instances");
}

/// All instances get heartbeats over successive ticks, in batches small enough for a slow link.
#[test]
fn told_in_turns() {
    for count in [0, 1, 16, 17, 63, 329] {
        let all: Vec<SocketAddr> = (0..count)
            .map(|n| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_500)))
            .collect();
        let batches = batch::count(all.len(), MAX_HEARTBEATS_PER_BATCH);
        let mut notified = Vec::new();
        for tick in 7..7 + batches {
            let recipients = batch::select(&all, MAX_HEARTBEATS_PER_BATCH, tick);
            assert!(
                recipients.len() <= MAX_HEARTBEATS_PER_BATCH,
                "{count}: {}",
                recipients.len()
            );
            notified.extend(recipients);
        }
        notified.sort_unstable();
        assert_eq!(notified, all);
    }
}

/// Guards against bursts that grow with the fleet: in each turn an instance is sent the heartbeats
/// of about as many instances as it sends its own to.
#[test]
fn batches_spread() {
    for count in [30_usize, 77, 330, 985] {
        let names = (0..count).map(|index| format!("entry-{index}").parse().unwrap());
        let first: Vec<usize> = names.map(|name| first_batch(&name)).collect();
        let targets: Vec<usize> = (0..count).collect();
        for turn in 0..3 {
            let mut received = vec![0_u32; count];
            for sender in &first {
                for target in batch::select(&targets, MAX_HEARTBEATS_PER_BATCH, sender + turn) {
                    received[target] += 1;
                }
            }
            let most = received.iter().max().unwrap();
            assert!(
                *most <= 3 * MAX_HEARTBEATS_PER_BATCH as u32,
                "{count} instances, turn {turn}: {most} heartbeats at once"
            );
        }
    }
}

/// A heartbeat whose sender's clock reads `clock` seconds more than at the start.
fn sent(last: u8, clock: u64) -> Profile {
    Profile {
        clock: Duration::from_secs(1_000 + clock),
        ..profile(last, 1, "north")
    }
}

/// Guards against an instance that stood still and takes heartbeats which waited in its socket for the
/// present, as they arrive now: it would trust what others have changed meanwhile.
#[test]
fn waiting_heartbeats() {
    let mut peers = peers();
    for last in [2, 3] {
        peers.receive(at(0), sent(last, 0));
    }
    assert!(peers.hears_all(at(100)));
    // It stood still from 0.1 to 10 s.
    peers.paused(at(10_000), Duration::ZERO);
    for last in [2, 3] {
        assert!(peers.is_outdated(at(10_000), &sent(last, 1)), "sent at 1 s");
    }
    assert!(!peers.hears_all(at(10_000)));
    for last in [2, 3] {
        assert!(!peers.is_outdated(at(10_010), &sent(last, 10)));
        peers.receive(at(10_010), sent(last, 10));
    }
    assert!(peers.hears_all(at(10_020)));
}

/// Guards against an instance whose machine was suspended and that takes what it heard before for
/// recent, as its clock stood still too.
#[test]
fn uncounted_time() {
    let mut peers = peers();
    for last in [2, 3] {
        peers.receive(at(0), sent(last, 0));
    }
    // Its clock reads 0.1 s, and 9 s have passed.
    peers.paused(at(100), Duration::from_secs(9));
    assert!(!peers.hears_all(at(100)));
    assert!(peers.is_outdated(at(110), &sent(2, 2)), "sent meanwhile");
    assert!(!peers.is_outdated(at(110), &sent(2, 9)));
    assert!(!peers.hears_all(at(110)), "the other one is not heard yet");
    assert!(!peers.is_outdated(at(110), &sent(3, 9)));
    assert!(peers.hears_all(at(110)));
}

/// Guards against heartbeats that are dropped for good, as their sender's clock was set back.
#[test]
fn clock_set_back() {
    let mut peers = peers();
    peers.receive(at(0), sent(2, 100));
    peers.paused(at(1_000), Duration::ZERO);
    assert!(peers.is_outdated(at(1_100), &sent(2, 50)));
    assert!(!peers.is_outdated(at(2_600), &sent(2, 51)));
}
