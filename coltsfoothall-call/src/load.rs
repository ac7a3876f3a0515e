//! The load tool: requests arrive at random times that do not wait for answers,
//! and each answer is checked against the stand-ins' rules.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use coltsfoothall_wire::caller::{Finish, Prompt};

use crate::ask::{Ask, Work};
use crate::caller::{self, Caller, Error, Outcome};
use crate::check::{self, Wrong};
use crate::mix::Mix;
use crate::tally::{Report, Tally};

/// Most requests open at once; it bounds the tool's memory and connections.
const OPEN: usize = 4096;
/// Callers that share the load, each with addresses of its own.
const CALLERS: u64 = 8;
/// Statuses of success of a plain service.
const SUCCESS: std::ops::Range<u16> = 200..300;

/// Settings of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Mean of arrivals in a second.
    pub rate: f64,
    /// Time in which requests arrive.
    pub span: Duration,
    /// Seed of arrivals, requests and callers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 10.0,
            span: Duration::from_secs(10),
            seed: 1,
        }
    }
}

/// What became of one request.
#[derive(Debug)]
enum Verdict {
    Completion { outcome: Outcome, again: bool },
    Call(Outcome),
    Status(u16),
    Failed(Error),
}

/// Runs load from callers with the settings given; `stop` ends the arrivals.
pub async fn run(
    caller: &caller::Settings,
    mix: &Mix,
    settings: Settings,
    stop: &CancellationToken,
) -> Report {
    let callers: Vec<Arc<Caller>> = (0..CALLERS)
        .map(|n| one(caller, settings.seed, n))
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
    let mut tally = Tally::default();
    let mut open = JoinSet::new();
    let mut next = Instant::now();
    let end = next + settings.span;
    for number in 0.. {
        next += gap(settings.rate, &mut rng);
        if next >= end {
            break;
        }
        tokio::select! {
            () = stop.cancelled() => break,
            () = sleep_until(next) => {}
        }
        while let Some(Ok(verdict)) = open.try_join_next() {
            note(&mut tally, verdict);
        }
        let Some(ask) = mix.draw(number, &mut rng) else {
            continue;
        };
        if open.len() >= OPEN {
            tally.left_out();
            continue;
        }
        tally.sent();
        let caller = &callers[(number % CALLERS) as usize];
        open.spawn(judge(Arc::clone(caller), ask));
    }
    while let Some(Ok(verdict)) = open.join_next().await {
        note(&mut tally, verdict);
    }
    tally.report()
}

fn one(settings: &caller::Settings, seed: u64, number: u64) -> Arc<Caller> {
    let seed = seed.wrapping_mul(CALLERS + 1).wrapping_add(number);
    Arc::new(Caller::new(caller::Settings {
        seed,
        ..settings.clone()
    }))
}

/// Time to the next arrival of a Poisson process.
fn gap(rate: f64, rng: &mut Pcg64Mcg) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::try_from_secs_f64(-uniform.ln() / rate).unwrap_or(Duration::MAX / 4)
}

async fn judge(caller: Arc<Caller>, ask: Ask) -> Verdict {
    let outcome = match caller.ask(&ask).await {
        Ok(outcome) => outcome,
        Err(error) => return Verdict::Failed(error),
    };
    match &ask.work {
        Work::Completion(prompt) => match completion(&caller, &ask, prompt, &outcome).await {
            Ok(again) => Verdict::Completion { outcome, again },
            Err(wrong) => Verdict::Failed(Error::Wrong(outcome.key, wrong)),
        },
        Work::Call { .. } if !SUCCESS.contains(&outcome.status) => Verdict::Status(outcome.status),
        Work::Call { path, body, .. } => {
            let body = String::from_utf8_lossy(body);
            match check::echo(path, &body, &outcome.body) {
                Ok(()) => Verdict::Call(outcome),
                Err(wrong) => Verdict::Failed(Error::Wrong(outcome.key, wrong)),
            }
        }
    }
}

/// Checks a completion; one that was resumed is read once more and compared.
///
/// Returns whether it was read again.
async fn completion(
    caller: &Caller,
    ask: &Ask,
    prompt: &Prompt,
    outcome: &Outcome,
) -> Result<bool, Wrong> {
    let count = check::tokens(&prompt.prompt, &outcome.text)?;
    if count != outcome.tokens {
        let message = format!(
            "{count} tokens in the text, event ids say {}",
            outcome.tokens
        );
        return Err(Wrong::Order(message));
    }
    if count > prompt.max_tokens {
        return Err(Wrong::Order(format!(
            "{count} tokens, {} asked for",
            prompt.max_tokens
        )));
    }
    if outcome.finish == Some(Finish::Length) && count < prompt.max_tokens {
        return Err(Wrong::Cut(format!(
            "{count} of {} tokens",
            prompt.max_tokens
        )));
    }
    if outcome.effort.resumes == 0 {
        return Ok(false);
    }
    match caller.read_again(ask, &outcome.key).await {
        Ok(again) if again.text == outcome.text => Ok(true),
        Ok(again) => Err(Wrong::Changed(format!(
            "{} bytes were received, {} are read again",
            outcome.text.len(),
            again.text.len()
        ))),
        Err(Error::Wrong(_, wrong)) => Err(wrong),
        // The system keeps ended requests for a while only.
        Err(_forgotten) => Ok(false),
    }
}

fn note(tally: &mut Tally, verdict: Verdict) {
    match verdict {
        Verdict::Completion { outcome, again } => {
            tally.completion(outcome.tokens, outcome.effort, &outcome.times);
            if again {
                tally.read_again();
            }
        }
        Verdict::Call(outcome) => tally.call(outcome.effort, &outcome.times),
        Verdict::Status(status) => tally.status(status),
        Verdict::Failed(error) => tally.error(&error),
    }
}
