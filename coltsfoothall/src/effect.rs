//! Effects of a change in plain English, one line each. Tokens are never shown.

use std::fmt::Display;

use crate::catalog::{Adapter, Catalog, Fencing, Kind, Model, Placement, Service, Workspace};
use crate::id;
use crate::object;

/// The configurations before and after.
#[derive(Debug, Clone, Copy)]
pub struct Change<'a> {
    /// Before.
    pub from: &'a Catalog,
    /// After.
    pub to: &'a Catalog,
}

/// Effects of a change of one model.
#[must_use]
pub fn model(change: Change<'_>, old: Option<&Model>, new: Option<&Model>) -> Vec<String> {
    let Some(new) = new else {
        return vec!["it can be named by no service afterwards".into()];
    };
    let mut lines = Vec::new();
    for service in services_of(change.to, &new.name) {
        lines.push(load(service, "model", &new.name, new.version));
    }
    if lines.is_empty() {
        lines.push(format!(
            "no service uses it, so version {} is loaded nowhere",
            new.version
        ));
    }
    if let Some(old) = old {
        field(&mut lines, "version", &old.version, &new.version);
        field(&mut lines, "weights", &old.weights, &new.weights);
    }
    lines
}

/// Effects of a change of one adapter.
#[must_use]
pub fn adapter(change: Change<'_>, old: Option<&Adapter>, new: Option<&Adapter>) -> Vec<String> {
    let Some(new) = new else {
        return vec!["requests for it are refused with not_found afterwards".into()];
    };
    let mut lines = Vec::new();
    for service in services_of(change.to, &new.model) {
        if adapters(&service.kind).contains(&new.name) {
            lines.push(load(service, "adapter", &new.name, new.version));
        }
    }
    if lines.is_empty() {
        lines.push(format!(
            "no service uses it, so version {} is loaded nowhere",
            new.version
        ));
    }
    if let Some(old) = old {
        field(&mut lines, "model", &old.model, &new.model);
        field(&mut lines, "version", &old.version, &new.version);
        field(&mut lines, "weights", &old.weights, &new.weights);
    }
    lines
}

/// Effects of a change of one service.
#[must_use]
pub fn service(change: Change<'_>, old: Option<&Service>, new: Option<&Service>) -> Vec<String> {
    let mut lines = Vec::new();
    match (old, new) {
        (None, None) => {}
        (Some(old), None) => {
            lost(change, old, &mut lines);
            lines.push(format!(
                "endpoints of service {} get no new work; what runs there is finished",
                old.name
            ));
        }
        (None, Some(new)) => {
            gained(change, new, &mut lines);
            lines.push(format!("{} endpoints are held", range(new)));
        }
        (Some(old), Some(new)) => {
            if old.kind != new.kind {
                lost(change, old, &mut lines);
                gained(change, new, &mut lines);
            }
            if (old.min, old.max) != (new.min, new.max) {
                field(&mut lines, "endpoints held", &range(old), &range(new));
            }
            field(
                &mut lines,
                "target to the first token",
                &old.target.first,
                &new.target.first,
            );
            field(
                &mut lines,
                "target between tokens",
                &old.target.between,
                &new.target.between,
            );
            fencing(old.fencing, new.fencing, &mut lines);
        }
    }
    lines
}

/// Effects of a change of one workspace.
#[must_use]
pub fn workspace(old: Option<&Workspace>, new: Option<&Workspace>) -> Vec<String> {
    let Some(new) = new else {
        return vec!["requests with its tokens are refused with unauthorized afterwards".into()];
    };
    let Some(old) = old else {
        return vec![
            format!(
                "requests with its {} are taken",
                count(new.tokens.len(), "token")
            ),
            format!("its share is {}", new.share),
            format!("limits: {}", limits(new)),
        ];
    };
    let mut lines = Vec::new();
    let more = beyond(&new.tokens, &old.tokens);
    if more > 0 {
        lines.push(format!("{} more taken", count(more, "token")));
    }
    let less = beyond(&old.tokens, &new.tokens);
    if less > 0 {
        let tokens = count(less, "token");
        lines.push(format!(
            "requests with {tokens} are refused with unauthorized afterwards"
        ));
    }
    if more == 0 && less == 0 && old.tokens != new.tokens {
        lines.push("its tokens are listed in another order".into());
    }
    field(&mut lines, "share", &old.share, &new.share);
    field(&mut lines, "limits", &limits(old), &limits(new));
    lines
}

/// Effects of a change of one placement preference.
#[must_use]
pub fn placement(old: Option<&Placement>, new: Option<&Placement>) -> Vec<String> {
    let Some(new) = new else {
        return vec!["instances may be in any failure domain, class and price".into()];
    };
    let Some(old) = old else {
        return vec![
            format!("failure domains: {}", list(&new.domains)),
            format!("machine classes: {}", list(&new.classes)),
            format!("highest price in u/h: {}", bound(new.price.0)),
            format!(
                "at least {} on demand",
                count(new.on_demand as usize, "instance")
            ),
        ];
    };
    let mut lines = Vec::new();
    field(
        &mut lines,
        "failure domains",
        &list(&old.domains),
        &list(&new.domains),
    );
    field(
        &mut lines,
        "machine classes",
        &list(&old.classes),
        &list(&new.classes),
    );
    let (before, after) = (bound(old.price.0), bound(new.price.0));
    field(&mut lines, "highest price in u/h", &before, &after);
    field(
        &mut lines,
        "instances on demand",
        &old.on_demand,
        &new.on_demand,
    );
    lines
}

/// What a service did that nothing does afterwards.
fn lost(change: Change<'_>, old: &Service, lines: &mut Vec<String>) {
    match &old.kind {
        Kind::Model { model, adapters } => {
            if services_of(change.to, model).next().is_none() {
                lines.push(format!(
                    "requests for model {model} are refused with not_found afterwards"
                ));
            }
            for adapter in adapters {
                if !offered(change.to, adapter) {
                    lines.push(format!(
                        "requests for adapter {adapter} are refused with not_found afterwards"
                    ));
                }
            }
        }
        Kind::Plain { non_idempotent } => {
            let after = object::find(&change.to.services, old.name.as_str());
            let Some(Kind::Plain {
                non_idempotent: kept,
            }) = after.map(|service| &service.kind)
            else {
                let name = &old.name;
                lines.push(format!(
                    "calls of service {name} are refused with not_found afterwards"
                ));
                return;
            };
            for prefix in non_idempotent
                .iter()
                .filter(|prefix| !kept.contains(prefix))
            {
                lines.push(format!(
                    "calls under {prefix} may be repeated after a failure"
                ));
            }
        }
    }
}

/// What a service does afterwards.
fn gained(change: Change<'_>, new: &Service, lines: &mut Vec<String>) {
    match &new.kind {
        Kind::Model { model, adapters } => {
            lines.push(format!(
                "requests for model {model} go to service {}",
                new.name
            ));
            if let Some(found) = object::find(&change.to.models, model.as_str()) {
                lines.push(load(new, "model", model, found.version));
            }
            for adapter in adapters {
                if let Some(found) = object::find(&change.to.adapters, adapter.as_str()) {
                    lines.push(load(new, "adapter", adapter, found.version));
                }
            }
        }
        Kind::Plain { non_idempotent } => {
            lines.push(format!("calls of service {} go to its endpoints", new.name));
            for prefix in non_idempotent {
                lines.push(format!("calls under {prefix} run at most once"));
            }
        }
    }
}

fn fencing(old: Fencing, new: Fencing, lines: &mut Vec<String>) {
    if old == new {
        return;
    }
    lines.push(match new {
        Fencing::Checked => "its endpoints are trusted to refuse old fencing numbers".into(),
        Fencing::Ignored => "a new steward waits out the old lease before it gives orders".into(),
    });
}

fn services_of<'a>(
    catalog: &'a Catalog,
    model: &'a id::Model,
) -> impl Iterator<Item = &'a Service> {
    let runs = move |service: &&Service| match &service.kind {
        Kind::Model { model: own, .. } => own == model,
        Kind::Plain { .. } => false,
    };
    catalog.services.iter().filter(runs)
}

fn offered(catalog: &Catalog, adapter: &id::Adapter) -> bool {
    let mut kinds = catalog.services.iter().map(|service| &service.kind);
    kinds.any(|kind| adapters(kind).contains(adapter))
}

fn adapters(kind: &Kind) -> &[id::Adapter] {
    match kind {
        Kind::Model { adapters, .. } => adapters,
        Kind::Plain { .. } => &[],
    }
}

fn load(service: &Service, what: &str, name: &dyn Display, version: u32) -> String {
    format!(
        "endpoints of service {} load {what} {name} version {version}",
        service.name
    )
}

/// A line for a field that changes.
fn field<T: Display + PartialEq>(lines: &mut Vec<String>, name: &str, old: &T, new: &T) {
    if old != new {
        lines.push(format!("{name}: {new} in place of {old}"));
    }
}

fn range(service: &Service) -> String {
    match (service.min, service.max) {
        (min, 0) => format!("{min} or more"),
        (min, max) => format!("{min} to {max}"),
    }
}

fn limits(workspace: &Workspace) -> String {
    let open = bound(u64::from(workspace.open));
    let rate = bound(workspace.rate.0);
    format!("{open} requests open and {rate} requests/s on each entry instance")
}

fn bound(value: u64) -> String {
    match value {
        0 => "unlimited".into(),
        _ => value.to_string(),
    }
}

fn count(number: usize, noun: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {noun}{plural}")
}

fn list<T: Display>(names: &[T]) -> String {
    if names.is_empty() {
        return "any".into();
    }
    let names: Vec<String> = names.iter().map(T::to_string).collect();
    names.join(", ")
}

/// Items of one list that are not in the other.
fn beyond(list: &[String], other: &[String]) -> usize {
    list.iter().filter(|item| !other.contains(item)).count()
}
