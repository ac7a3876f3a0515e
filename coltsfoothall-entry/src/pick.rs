//! What a request asks of the gate and of the router.

use std::time::Duration;

use coltsfoothall::choice::{self, Query};
use coltsfoothall::clock::Time;
use coltsfoothall::fingerprint::Fingerprint;
use coltsfoothall::id;
use coltsfoothall::limit::{Number, Ticket};
use coltsfoothall::prefix::{self, Block};
use coltsfoothall::record::{Intake, Work};
use coltsfoothall::size::Tokens;

/// Prompt tokens that an engine under full load processes between two generated tokens.
const PREFILL_CHUNK: Tokens = Tokens(2_048);

/// Maximum number of tokens that count for the expected duration of an answer. More could
/// overflow the multiplication.
const MAX_EXPECTED_TOKENS: u32 = 1 << 16;

/// A request that asks for an endpoint.
#[derive(Debug)]
pub struct Pick {
    /// Its admission, if it was admitted here.
    pub number: Option<Number>,
    /// The demand that the gate decides on.
    pub ticket: Ticket,
    /// Number of the attempt.
    pub attempt: u64,
    /// Endpoints that must not be chosen, sorted.
    pub exclude: Vec<id::Endpoint>,
    /// The fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// Whether it may run more than once.
    pub idempotent: bool,
    model: Option<id::Model>,
    blocks: Vec<Block>,
    prompt: Tokens,
    max_tokens: Tokens,
}

impl Pick {
    /// Creates the pick of a request. `text` is what was generated already.
    #[must_use]
    pub fn new(
        intake: &Intake,
        text: &str,
        attempt: u64,
        exclude: Vec<id::Endpoint>,
        deadline: Time,
    ) -> Self {
        // A request that was taken over keeps its claim until its deadline.
        let ticket = ticket_until(intake, deadline);
        let fingerprint = Fingerprint::new(intake);
        let plain = Self {
            number: None,
            ticket,
            attempt,
            exclude,
            fingerprint,
            idempotent: intake.idempotent,
            model: None,
            blocks: Vec::new(),
            prompt: Tokens(1),
            max_tokens: Tokens(1),
        };
        let Work::Completion {
            model,
            adapter,
            prompt,
            max_tokens,
        } = &intake.work
        else {
            return plain;
        };
        let seed = prefix::seed(model, adapter.as_ref());
        let blocks = if text.is_empty() {
            prefix::blocks(seed, prompt)
        } else {
            prefix::blocks(seed, &format!("{prompt}{text}"))
        };
        Self {
            model: Some(model.clone()),
            blocks,
            prompt: prefix::tokens(prompt),
            max_tokens: Tokens(*max_tokens),
            ..plain
        }
    }

    /// The query for the router. `exclude` names the endpoints that must not be chosen.
    pub(crate) fn query<'a>(
        &'a self,
        domain: &'a id::Domain,
        exclude: &'a [id::Endpoint],
        isolated: bool,
    ) -> Query<'a> {
        Query {
            service: &self.ticket.service,
            model: self.model.as_ref(),
            blocks: &self.blocks,
            prompt: self.prompt,
            max_tokens: self.max_tokens,
            class: self.ticket.class,
            domain,
            exclude,
            isolated,
        }
    }
}

/// What a new request asks of the gate: to start early enough for its answer to be complete
/// at its deadline.
#[must_use]
pub fn ticket(intake: &Intake, deadline: Time) -> Ticket {
    let span = intake.deadline.duration();
    ticket_until(intake, deadline - expected(intake).min(span / 2))
}

/// Expected duration of an answer at full load: it waits behind the prompt tokens that one
/// endpoint has queued, and a piece of other prompts is processed between any two of its
/// tokens.
fn expected(intake: &Intake) -> Duration {
    let settings = choice::Settings::default();
    let read_time = |tokens: Tokens| Duration::from_secs_f64(tokens.0 as f64 * settings.read / 1e6);
    match &intake.work {
        Work::Completion {
            prompt, max_tokens, ..
        } => {
            let tokens = u32::try_from(*max_tokens)
                .unwrap_or(u32::MAX)
                .min(MAX_EXPECTED_TOKENS);
            let per_token = settings.step.duration() + read_time(PREFILL_CHUNK);
            read_time(settings.depth) + read_time(prefix::tokens(prompt)) + per_token * tokens
        }
        Work::Call { .. } => Duration::ZERO,
    }
}

fn ticket_until(intake: &Intake, deadline: Time) -> Ticket {
    let cost = match &intake.work {
        Work::Completion { prompt, .. } => prefix::tokens(prompt),
        Work::Call { .. } => Tokens(1),
    };
    Ticket {
        workspace: intake.name.workspace.clone(),
        class: intake.class,
        service: intake.service.clone(),
        deadline,
        cost,
    }
}
