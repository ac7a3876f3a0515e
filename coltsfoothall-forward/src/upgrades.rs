//! Upgrades of services to another version: applies orders, judges candidates, and reports to
//! operators.

use coltsfoothall::forward::history::Position;
use coltsfoothall::forward::upgrade::{Change, Order, Stage, View};
use coltsfoothall::id;
use coltsfoothall_shell::event;

use crate::adapter::{Error, Listing, Progress, Report, Status};
use crate::state::State;

/// Applies the orders of a listing. In a complete listing, some may have been decided already.
pub async fn apply(state: &State, listing: &Listing, complete: bool) {
    for item in &listing.items {
        if item.value.is_none() {
            continue;
        }
        match state.adapter.parse_upgrade(item) {
            Ok(Some(order)) => {
                let is_new = accept(state, order.clone());
                if is_new && complete {
                    apply_outcome(state, &order).await;
                }
            }
            Ok(None) => {}
            Err(error) => event::UPGRADE_BAD.emit(format_args!(
                "name={:?} reason={:?}",
                item.name,
                error.to_string()
            )),
        }
    }
}

/// Applies an order. Returns whether it is new.
pub fn accept(state: &State, order: Order) -> bool {
    let service = order.service.clone();
    let fields = format!(
        "service={service} target={} limit_ms={} place={}",
        order.target,
        order.limit.as_millis(),
        order.position
    );
    let mut upgrades = state.upgrades.borrow_mut();
    if !upgrades.apply_order(state.now(), order) {
        return false;
    }
    event::UPGRADE_ORDERED.emit(format_args!("{fields}"));
    let roster = state.roster.borrow();
    let entries = roster.nodes().iter().map(|node| &node.entry);
    for entry in entries.filter(|entry| entry.service == service) {
        upgrades.record_present(&service, entry.version.as_ref());
    }
    true
}

/// Applies the outcome of an order that has been decided. If the store does not answer, the
/// candidate is probed again until the leader reads the outcome.
async fn apply_outcome(state: &State, order: &Order) {
    match state.adapter.read_report(&order.service).await {
        Ok(Some(status)) => {
            if let Some(stage) = final_stage(&status, order) {
                let mut upgrades = state.upgrades.borrow_mut();
                upgrades.apply_final_stage(state.now(), &order.service, stage);
            }
        }
        Ok(None) => {}
        Err(error) => log_failure(order, &error),
    }
}

fn log_failure(order: &Order, error: &Error) {
    event::UPGRADE_UNTOLD.emit(format_args!(
        "service={} reason={:?}",
        order.service,
        error.to_string()
    ));
}

/// Judges the candidates by the counts of all instances.
pub fn judge(state: &State) {
    let changes = state.upgrades.borrow_mut().judge(state.now());
    for change in changes {
        log(&change);
    }
}

fn log(change: &Change) {
    let (old, new) = (change.answers.baseline, change.answers.candidate);
    event::UPGRADE.emit(format_args!(
        "service={} target={} stage={:?} reason={:?} runs={} bad={} ms={} baseline_runs={} baseline_bad={} baseline_ms={}",
        change.service,
        change.target,
        change.stage,
        change.reason,
        new.runs,
        new.bad,
        new.mean().as_millis(),
        old.runs,
        old.bad,
        old.mean().as_millis(),
    ));
}

/// The last report to operators on a service.
#[derive(Debug)]
struct Record {
    service: id::Service,
    /// Position of the order that it is about.
    order: Position,
    written: Option<Status>,
}

/// Advances upgrades and reports to operators, while this instance leads.
#[derive(Debug, Default)]
pub struct Driver {
    records: Vec<Record>,
}

impl Driver {
    /// Advances every order once.
    pub async fn tick(&mut self, state: &State) {
        let orders: Vec<Order> = {
            let upgrades = state.upgrades.borrow();
            upgrades.orders().map(|(order, _)| order.clone()).collect()
        };
        for order in &orders {
            if let Err(error) = self.advance_one(state, order).await {
                // The next tick retries; after a conflict it reads the report first.
                self.records
                    .retain(|record| record.service != order.service);
                log_failure(order, &error);
            }
        }
    }

    async fn advance_one(&mut self, state: &State, order: &Order) -> Result<(), Error> {
        let now = state.now();
        let record = self.record(state, order).await?;
        if let Some(status) = &record.written
            && let Some(stage) = final_stage(status, order)
        {
            state
                .upgrades
                .borrow_mut()
                .apply_final_stage(now, &order.service, stage);
            return Ok(());
        }
        let view = view(state, order);
        let change = {
            let mut upgrades = state.upgrades.borrow_mut();
            upgrades.advance(now, &order.service, &view)
        };
        if let Some(change) = change {
            log(&change);
        }
        let stage = state
            .upgrades
            .borrow()
            .stage(&order.service)
            .map(|(_, stage)| stage);
        let Some(stage) = stage else {
            return Ok(());
        };
        let report = Report {
            progress: progress(stage),
            target: order.target.clone(),
        };
        let is_written = record.written.as_ref().is_some_and(|status| {
            is_current(status, order) && status.report.as_ref() == Some(&report)
        });
        if is_written || state.fence().is_none() {
            return Ok(());
        }
        let previous = record.written.as_ref().map(|status| status.position);
        let position = state
            .adapter
            .write_report(&order.service, &report, previous)
            .await?;
        record.written = Some(Status {
            report: Some(report),
            position,
        });
        Ok(())
    }

    /// The record of an order, read from the store the first time.
    async fn record(&mut self, state: &State, order: &Order) -> Result<&mut Record, Error> {
        let known =
            |record: &Record| record.service == order.service && record.order == order.position;
        let index = match self.records.iter().position(known) {
            Some(index) => index,
            None => {
                let written = state.adapter.read_report(&order.service).await?;
                if written
                    .as_ref()
                    .is_some_and(|status| status.report.is_none())
                {
                    event::UPGRADE_UNTOLD.emit(format_args!(
                        "service={} reason=\"the stored status cannot be parsed and is replaced\"",
                        order.service
                    ));
                }
                self.records
                    .retain(|record| record.service != order.service);
                self.records.push(Record {
                    service: order.service.clone(),
                    order: order.position,
                    written,
                });
                self.records.len() - 1
            }
        };
        Ok(&mut self.records[index])
    }
}

/// Whether a status was written later than an order.
fn is_current(status: &Status, order: &Order) -> bool {
    status.position > order.position
}

/// The final stage of an order, if one was reported to operators.
fn final_stage(status: &Status, order: &Order) -> Option<Stage> {
    let report = status.report.as_ref()?;
    if !is_current(status, order) || report.target != order.target {
        return None;
    }
    match report.progress {
        Progress::Running => None,
        Progress::Complete => Some(Stage::Complete),
        Progress::RolledBack => Some(Stage::RolledBack),
    }
}

fn progress(stage: Stage) -> Progress {
    match stage {
        Stage::Trial | Stage::Moving { .. } => Progress::Running,
        Stage::Complete => Progress::Complete,
        Stage::RolledBack => Progress::RolledBack,
    }
}

fn view(state: &State, order: &Order) -> View {
    let peers = state.peers.borrow();
    let boots = peers.profiles(state.now()).into_iter();
    let boots = boots.map(|profile| profile.boot).collect();
    let roster = state.roster.borrow();
    let nodes = roster.nodes().iter();
    let old = nodes.filter(|node| {
        node.entry.service == order.service && node.entry.version.as_ref() != Some(&order.target)
    });
    let open = old.map(|node| node.load().open).sum();
    View { boots, open }
}
