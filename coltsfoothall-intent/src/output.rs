//! Output of the commands as text or JSON. The text form masks tokens.

use std::fmt::Write;

use coltsfoothall::catalog::{Adapter, Catalog, Model, Placement, Revision, Service, Workspace};
use coltsfoothall::confirm::Verdict;
use coltsfoothall::plan::{Plan, Step, Verb};
use coltsfoothall_wire::operator::Status;
use serde::{Deserialize, Serialize};

/// Replacement for a token in text output.
const HIDDEN: &str = "(hidden)";

/// JSON output of `confirm`: the verdict and, for a stale or expired plan, a new plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The verdict.
    pub verdict: Verdict,
    /// A new plan for the same intent, made on the configuration in force.
    pub anew: Option<Plan>,
}

/// The configuration in the form of an intent.
#[derive(Debug, Serialize)]
struct View<'a> {
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    services: &'a [Service],
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    workspaces: &'a [Workspace],
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    models: &'a [Model],
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    adapters: &'a [Adapter],
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    placements: &'a [Placement],
}

/// Formats a value as indented JSON with a trailing newline.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value);
    text.expect("messages have only map keys that JSON allows") + "\n"
}

/// Formats a plan as text.
#[must_use]
pub fn plan(plan: &Plan) -> String {
    let mut text = format!("plan {} on revision {}\n", plan.id, plan.base);
    if plan.steps.is_empty() {
        line(
            &mut text,
            0,
            "nothing to do: the configuration already matches the intent",
        );
        return text;
    }
    steps(&mut text, &plan.steps);
    let count = |verb| plan.steps.iter().filter(|step| step.verb == verb).count();
    let summary = format!(
        "{} to create, {} to change, {} to remove",
        count(Verb::Create),
        count(Verb::Change),
        count(Verb::Remove)
    );
    line(&mut text, 0, &summary);
    text
}

/// Formats a verdict as text; `lost` means that an instance called earlier in this run may have
/// begun to write.
#[must_use]
pub fn verdict(verdict: &Verdict, lost: bool) -> String {
    let mut text = String::new();
    match verdict {
        Verdict::Accepted(revision) => {
            line(&mut text, 0, &format!("accepted as revision {revision}"));
        }
        Verdict::Stale {
            current,
            since,
            changed,
        } => stale(&mut text, *current, *since, changed),
        Verdict::Refused { message } => line(&mut text, 0, &format!("refused: {message}")),
        Verdict::Untried { message } if !lost => {
            line(
                &mut text,
                0,
                &format!("refused, this run wrote nothing: {message}"),
            );
            line(
                &mut text,
                0,
                "confirm again, also to find out the result of an earlier run that was interrupted",
            );
        }
        Verdict::Untried { message } | Verdict::Unsettled { message } => {
            line(&mut text, 0, &format!("not yet known: {message}"));
            line(
                &mut text,
                0,
                "confirm again to find out; a plan takes effect at most once",
            );
        }
        Verdict::Expired { current } => {
            let now = format!("no longer known: revision {current} is in force");
            line(&mut text, 0, &now);
            line(
                &mut text,
                0,
                "too many plans were accepted since; make a new plan for the intent",
            );
        }
    }
    text
}

fn stale(text: &mut String, current: Revision, since: Option<Revision>, changed: &[Step]) {
    line(text, 0, &format!("stale: revision {current} is in force"));
    match since {
        Some(base) => line(
            text,
            0,
            &format!("changed by others since revision {base}:"),
        ),
        None => line(
            text,
            0,
            "the plan's base is no longer known; the configuration is:",
        ),
    }
    steps(text, changed);
}

/// Formats the configuration as text, as YAML with a heading line.
#[must_use]
pub fn catalog(catalog: &Catalog) -> String {
    let mut text = format!("# revision {}", catalog.revision);
    if let Some(plan) = &catalog.plan {
        text += &format!(", by plan {plan}");
    }
    text.push('\n');
    let mut workspaces = catalog.workspaces.clone();
    for token in workspaces
        .iter_mut()
        .flat_map(|workspace| &mut workspace.tokens)
    {
        *token = HIDDEN.into();
    }
    let view = View {
        services: &catalog.services,
        workspaces: &workspaces,
        models: &catalog.models,
        adapters: &catalog.adapters,
        placements: &catalog.placements,
    };
    match serde_saphyr::to_string(&view) {
        Ok(yaml) => text += &yaml,
        // Names and numbers should always serialize; JSON, which is valid YAML, is the fallback.
        Err(_yaml) => text += &json(&view),
    }
    text
}

/// Formats a status as text.
#[must_use]
pub fn status(status: &Status) -> String {
    let mut text = String::new();
    let known = match status.age_ms {
        Some(age) => format!("known to be current {age} ago"),
        None => "not known to be current".into(),
    };
    line(
        &mut text,
        0,
        &format!(
            "revision {} at {}, {known}",
            status.revision, status.instance
        ),
    );
    let (force, all) = (status.in_force, status.members.len());
    line(
        &mut text,
        0,
        &format!("in force on {force} of {all} entry instances"),
    );
    line(&mut text, 0, &format!("{} requests open here", status.open));
    if status.broken > 0 {
        let broken = format!(
            "{} RULES BROKEN since the start; this is a bug",
            status.broken
        );
        line(&mut text, 0, &broken);
    }
    line(&mut text, 0, "entry instances:");
    for member in &status.members {
        let leaving = if member.leaving { ", leaving" } else { "" };
        let row = format!(
            "{} {} in {}, revision {}, heard {} ago{leaving}",
            member.id, member.address, member.domain, member.revision, member.heard_ms
        );
        line(&mut text, 1, &row);
    }
    line(&mut text, 0, "endpoints:");
    for endpoint in &status.endpoints {
        let row = format!(
            "{} of {} in {}, {}, {} open",
            endpoint.id, endpoint.service, endpoint.domain, endpoint.state, endpoint.open
        );
        line(&mut text, 1, &row);
    }
    text
}

fn steps(text: &mut String, steps: &[Step]) {
    for step in steps {
        line(
            text,
            1,
            &format!("{} {} {}", step.verb, step.kind, step.name),
        );
        for effect in &step.effects {
            line(text, 2, &format!("- {effect}"));
        }
    }
}

/// Appends a line, indented by two spaces per level. Control characters are removed, as the text
/// may come from a peer.
fn line(text: &mut String, level: usize, line: &str) {
    let clean: String = line.chars().filter(|c| !c.is_control()).collect();
    writeln!(text, "{:1$}{clean}", "", 2 * level).expect("writing to a string cannot fail");
}
