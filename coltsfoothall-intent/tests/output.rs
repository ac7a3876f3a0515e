//! Text output of plans, verdicts, the configuration and the status.

use coltsfoothall::catalog::{Catalog, Revision};
use coltsfoothall::confirm::Verdict;
use coltsfoothall::intent::Intent;
use coltsfoothall::plan::{Plan, difference};
use coltsfoothall::size::Millis;
use coltsfoothall_intent::output;
use coltsfoothall_wire::operator::{Endpoint, Member, Status};

fn sample_plan() -> Plan {
    let text = "
        models: [{name: roster, version: 3}]
        workspaces: [{name: planners, tokens: [secret]}]";
    Plan::make(
        &Catalog::default(),
        text.parse().expect("good test data"),
        "p1".parse().expect("good test data"),
    )
    .expect("good test data")
}

#[test]
fn plan_text() {
    let text = output::plan(&sample_plan());
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "plan p1 on revision 0");
    assert_eq!(lines[1], "  create model roster");
    assert!(lines[2].starts_with("    - no service uses it"));
    assert_eq!(lines.last(), Some(&"2 to create, 0 to change, 0 to remove"));
    assert!(!text.contains("secret"));
}

#[test]
fn catalog_text() {
    let text = output::catalog(&sample_plan().after);
    assert!(text.starts_with("# revision 1, by plan p1\n"));
    assert!(!text.contains("secret"));
    let intent: Intent = text.parse().unwrap();
    assert_eq!(intent.models, sample_plan().intent.models);
}

#[test]
fn verdict_text() {
    let changed = difference(&Catalog::default(), &sample_plan().after);
    let (current, since) = (Revision(1), Some(Revision(0)));
    let stale = Verdict::Stale {
        current,
        since,
        changed,
    };
    let text = output::verdict(&stale, false);
    assert!(text.contains("changed by others since revision 0:\n  create model roster"));
    let untried = Verdict::Untried {
        message: "down".into(),
    };
    assert!(output::verdict(&untried, false).contains("wrote nothing"));
    assert!(output::verdict(&untried, true).contains("not yet known"));
}

#[test]
fn status_text() {
    let status = Status {
        instance: "e1".parse().unwrap(),
        revision: Revision(4),
        age_ms: Some(Millis(900)),
        in_force: 1,
        members: vec![Member {
            id: "e1".parse().unwrap(),
            address: "10.0.0.1:7000\u{1b}[2J".into(),
            domain: "karlin".parse().unwrap(),
            revision: Revision(4),
            leaving: true,
            heard_ms: Millis(0),
        }],
        endpoints: vec![Endpoint {
            id: "m1".parse().unwrap(),
            service: "turni-llm".parse().unwrap(),
            domain: "karlin".parse().unwrap(),
            state: "live".into(),
            open: 3,
        }],
        open: 3,
        broken: 1,
    };
    let text = output::status(&status);
    assert!(text.contains("revision 4 at e1, known to be current 900 ms ago"));
    assert!(text.contains("in force on 1 of 1 entry instances"));
    assert!(text.contains("1 RULES BROKEN"));
    assert!(text.contains("m1 of turni-llm in karlin, live, 3 open"));
    assert!(text.contains("heard 0 ms ago, leaving"));
    assert!(!text.contains('\u{1b}'));
    assert_eq!(
        serde_json::from_str::<Status>(&output::json(&status)).unwrap(),
        status
    );
}
