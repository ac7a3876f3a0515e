//! Intents, the rules of a catalog, and plans with their effects.

use coltsfoothall::catalog::{Catalog, MAX_HISTORY, Revision};
use coltsfoothall::intent::{Error, Intent};
use coltsfoothall::object::Kind;
use coltsfoothall::plan::{Plan, Verb, difference};
use coltsfoothall::rule;
use proptest::prelude::*;

const WHOLE: &str = "
models: [{name: roster, version: 2}, {name: rights, version: 1}]
adapters: [{name: legality, model: roster, version: 1}]
services:
  - {name: turni-llm, kind: {model: {model: roster, adapters: [legality]}}, min: 6, max: 9}
  - {name: equipaggi, kind: {plain: {non_idempotent: [/hotel]}}, min: 3, max: 3}
workspaces:
  - {name: planners, tokens: [t-planners], share: 4}
  - {name: officers, tokens: [t-officers]}
placements: [{service: turni-llm, domains: [bergamo, brescia], price: 900}]
";

fn make(base: &Catalog, text: &str) -> Result<Plan, Error> {
    Plan::make(base, text.parse()?, "p".parse().expect("a good name"))
}

fn whole() -> Catalog {
    make(&Catalog::default(), WHOLE)
        .expect("a good intent")
        .after
}

fn effects(base: &Catalog, text: &str) -> String {
    let plan = make(base, text).expect("a good intent");
    let lines = plan.steps.iter().flat_map(|step| step.effects.clone());
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn first_plan() {
    let plan = make(&Catalog::default(), WHOLE).unwrap();
    assert_eq!(plan.base, Revision(0));
    assert_eq!(plan.after.revision, Revision(1));
    assert_eq!(plan.after.plan, Some(plan.id.clone()));
    assert_eq!(plan.after.accepted(&plan.id), Some(Revision(1)));
    assert_eq!(plan.steps.len(), 8);
    assert!(plan.steps.iter().all(|step| step.verb == Verb::Create));
    assert_eq!(plan.after.models[0].name.as_str(), "rights");
}

#[test]
fn effects_named() {
    let base = whole();
    let change = effects(&base, "models: [{name: roster, version: 3}]");
    assert!(change.contains("endpoints of service turni-llm load model roster version 3"));
    assert!(change.contains("version: 3 in place of 2"));
    let gone = effects(
        &base,
        "remove: {services: [turni-llm, equipaggi], placements: [turni-llm]}",
    );
    assert!(gone.contains("requests for model roster are refused with not_found afterwards"));
    assert!(gone.contains("calls of service equipaggi are refused with not_found afterwards"));
    let plain = effects(&base, "services: [{name: equipaggi, kind: {plain: {}}}]");
    assert!(plain.contains("calls under /hotel may be repeated after a failure"));
    let token = effects(
        &base,
        "workspaces: [{name: planners, tokens: [secret], share: 4}]",
    );
    assert!(token.contains("requests with 1 token are refused with unauthorized"));
    assert!(!token.contains("secret") && !token.contains("t-planners"));
}

#[test]
fn same_again() {
    let base = whole();
    assert!(make(&base, WHOLE).unwrap().steps.is_empty());
}

#[test]
fn every_step_explained() {
    let base = whole();
    for (from, to) in [(&Catalog::default(), &base), (&base, &Catalog::default())] {
        let steps = difference(from, to);
        assert!(
            steps.iter().all(|step| !step.effects.is_empty()),
            "{steps:?}"
        );
    }
}

#[test]
fn rules_refused() {
    let base = whole();
    let cases = [
        (
            "services: [{name: s, kind: {model: {model: none}}}]",
            "service.s.model",
        ),
        (
            "services: [{name: s, kind: {plain: {}}, min: 3, max: 2}]",
            "service.s.min",
        ),
        (
            "services: [{name: s, kind: {plain: {}}, min: 1000000}]",
            "service.s.min",
        ),
        (
            "services: [{name: s, kind: {plain: {non_idempotent: [x]}}}]",
            "service.s.non_idempotent",
        ),
        (
            "services: [{name: s, kind: {plain: {}}, target: {first: 0}}]",
            "service.s.target.first",
        ),
        (
            "services: [{name: s, kind: {model: {model: rights, adapters: [legality]}}}]",
            "service.s.adapters",
        ),
        (
            "services: [{name: s, kind: {model: {model: roster, adapters: [none]}}}]",
            "service.s.adapters",
        ),
        ("remove: {models: [roster]}", "adapter.legality.model"),
        (
            "remove: {services: [turni-llm]}",
            "placement.turni-llm.service",
        ),
        ("remove: {models: [none]}", "model.none.remove"),
        ("placements: [{service: none}]", "placement.none.service"),
        (
            "placements: [{service: equipaggi, on_demand: 4}]",
            "placement.equipaggi.on_demand",
        ),
        (
            "placements: [{service: equipaggi, domains: [a, a]}]",
            "placement.equipaggi.domains",
        ),
        (
            "workspaces: [{name: w, tokens: [x], share: 0}]",
            "workspace.w.share",
        ),
        ("workspaces: [{name: w, tokens: []}]", "workspace.w.tokens"),
        (
            "workspaces: [{name: w, tokens: ['']}]",
            "workspace.w.tokens",
        ),
        (
            "workspaces: [{name: w, tokens: ['a b']}]",
            "workspace.w.tokens",
        ),
        (
            "workspaces: [{name: w, tokens: [a, a]}]",
            "workspace.w.tokens",
        ),
        (
            "workspaces: [{name: w, tokens: [t-planners]}]",
            "workspace.w.tokens",
        ),
        (
            "models: [{name: m, version: 1}, {name: m, version: 2}]",
            "model.m.name",
        ),
        (
            "{models: [{name: m, version: 1}], remove: {models: [m]}}",
            "model.m.name",
        ),
    ];
    for (text, field) in cases {
        let error = make(&base, text).expect_err(text);
        assert_eq!(error.field().as_deref(), Some(field), "{text}: {error}");
    }
}

#[test]
fn documents_refused() {
    let cases = [
        ("", "empty"),
        ("service: []", "service"),
        ("services: [{name: s, kind: {plain: {}}, mni: 3}]", "mni"),
        ("services: [{name: 'a b', kind: {plain: {}}}]", "name holds"),
        (
            "models: [{name: m, version: -1}]",
            "invalid u32 at line 1, column 29",
        ),
        ("models: [{name: m}]", "version"),
        ("models: [{name: m, version: 1", "line"),
    ];
    for (text, part) in cases {
        let error = text.parse::<Intent>().expect_err(text).to_string();
        assert!(error.contains(part), "{text}: {error}");
    }
    // The message may be logged, so it does not quote the document.
    let text = "workspaces: [{name: w, tokens: [secret], shrae: 1}]";
    let error = text.parse::<Intent>().unwrap_err().to_string();
    assert!(
        error.contains("shrae") && !error.contains("secret"),
        "{error}"
    );
}

#[test]
fn json_too() {
    let intent: Intent = WHOLE.parse().unwrap();
    let json = serde_json::to_string(&intent).unwrap();
    assert_eq!(json.parse::<Intent>().unwrap(), intent);
}

#[test]
fn size_bounded() {
    let prefix = |n: usize| format!("/{n:01000}");
    let prefixes: Vec<String> = (0..1100).map(prefix).collect();
    let text = format!(
        "services: [{{name: s, kind: {{plain: {{non_idempotent: [{}]}}}}}}]",
        prefixes.join(", ")
    );
    let error = make(&Catalog::default(), &text).unwrap_err();
    assert!(matches!(error, Error::Large(..)), "{error}");
}

#[test]
fn history_bounded() {
    let mut catalog = Catalog::default();
    for number in 0..100 {
        catalog.advance(format!("p{number}").parse().unwrap());
    }
    assert_eq!(catalog.history.len(), MAX_HISTORY);
    assert_eq!(
        catalog.accepted(&"p99".parse().unwrap()),
        Some(Revision(100))
    );
    assert_eq!(
        catalog.accepted(&"p36".parse().unwrap()),
        Some(Revision(37))
    );
    assert_eq!(catalog.accepted(&"p35".parse().unwrap()), None);
    assert!(catalog.has_revision(Revision(37)) && !catalog.has_revision(Revision(36)));
}

#[test]
fn unsorted_refused() {
    let mut catalog = whole();
    catalog.models.reverse();
    let error = catalog.check().unwrap_err();
    assert!(matches!(error, rule::Error::Order(ref object) if object.kind == Kind::Model));
}

proptest! {
    #[test]
    fn any_text(text in "\\PC{0,200}") {
        // Refused or read; never a panic.
        if let Ok(intent) = text.parse::<Intent>() {
            let _plan = Plan::make(&whole(), intent, "p".parse().unwrap());
        }
    }

    #[test]
    fn steps_complete(versions in proptest::collection::vec((0..6_u8, 1..4_u32), 0..6)) {
        let base = whole();
        let mut rows: Vec<(u8, u32)> = versions;
        rows.sort_unstable();
        rows.dedup_by_key(|row| row.0);
        let rows: Vec<String> =
            rows.iter().map(|(m, v)| format!("{{name: m{m}, version: {v}}}")).collect();
        let plan = make(&base, &format!("models: [{}]", rows.join(", "))).unwrap();
        prop_assert_eq!(plan.steps.len(), rows.len());
        let back = difference(&plan.after, &base);
        prop_assert_eq!(back.len(), rows.len());
        prop_assert!(plan.after.check().is_ok());
    }
}
