//! Lookup of routes and API keys in a configuration.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use coltsfoothall::forward::config::{Config, Kind, Limits, Route, Target, Unit, Workspace};
use coltsfoothall::size::{Millis, Tokens};
use proptest::prelude::*;

fn route(host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: service.parse().unwrap(),
        weight: *weight,
    });
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Millis(1_000),
        target_latency: Millis(100),
        rank: 0,
        targets: targets.collect(),
        attempts: 1,
        public: false,
    }
}

fn config(routes: Vec<Route>) -> Config {
    Config::new(1, Limits::default(), routes, Vec::new(), Vec::new())
}

#[test]
fn longest_prefix() {
    let one = &[("a", 1)];
    let config = config(vec![
        route("h", "/", one),
        route("h", "/x/", one),
        route("h", "/x/y/", one),
        route("other", "/x/y/z/", one),
    ]);
    let name = |path: &str| config.route("h", path).map(|route| route.prefix.clone());
    assert_eq!(name("/x/y/z/q"), Some("/x/y/".into()));
    assert_eq!(name("/x/yy"), Some("/x/".into()));
    assert_eq!(name("/xx"), Some("/".into()));
    assert_eq!(config.route("nobody", "/x/"), None);
}

#[test]
fn prefix_ends_with_slash() {
    let config = config(vec![route("h", "/x/", &[("a", 1)])]);
    assert!(
        config.route("h", "/x").is_none(),
        "the prefix ends with a slash"
    );
    assert!(config.route("h", "*").is_none());
    assert!(config.route("h", "").is_none());
}

#[test]
fn targets_by_weight() {
    let route = route("h", "/", &[("a", 90), ("b", 10)]);
    let draws = (0..1_000).filter_map(|draw| route.target(draw));
    let heavy = draws.filter(|service| service.as_str() == "a").count();
    assert_eq!(heavy, 900);
    let unweighted = self::route("h", "/", &[("a", 0), ("b", 0)]);
    assert_eq!(
        unweighted.target(7).unwrap().as_str(),
        "a",
        "targets without weights are still served"
    );
}

#[test]
fn keys_found() {
    let workspace = |name: &str, keys: &[&str]| Workspace {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        rank: None,
        unit: Unit::Tokens,
        plain: Tokens(1),
        rate: 0.0,
        burst: 0.0,
    };
    let workspaces = vec![
        workspace("zeta", &["k3", "k1"]),
        workspace("alpha", &["k2"]),
    ];
    let config = Config::new(1, Limits::default(), Vec::new(), Vec::new(), workspaces);
    let name = |key: &str| {
        config
            .workspace_by_key(key)
            .map(|workspace| workspace.name.to_string())
    };
    assert_eq!(name("k1"), Some("zeta".into()));
    assert_eq!(name("k2"), Some("alpha".into()));
    assert_eq!(name("k"), None);
    assert!(
        config
            .workspaces()
            .iter()
            .all(|workspace| workspace.keys.is_empty())
    );
    assert_eq!(config.limits.idle, Duration::from_secs(15));
}

proptest! {
    #[test]
    fn any_path(paths in proptest::collection::vec("(/[ab]{0,2}){0,4}/", 0..12), asked in "[/ab]{0,12}") {
        let routes: Vec<Route> = paths.iter().map(|path| route("h", path, &[("a", 1)])).collect();
        let expected = paths.iter().filter(|path| asked.starts_with(path.as_str())).map(String::len).max();
        let config = config(routes);
        prop_assert_eq!(config.route("h", &asked).map(|route| route.prefix.len()), expected);
    }
}
