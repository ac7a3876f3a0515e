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

/// Prompt tokens that an engine under full load reads between two tokens.
const PIECE: Tokens = Tokens(2_048);

/// Most tokens that count for how long an answer takes; more overflow nothing.
const LONGEST: u32 = 1 << 16;

/// A request that asks for an endpoint.
#[derive(Debug)]
pub struct Pick {
    /// Its place at the gate, if it was admitted here.
    pub number: Option<Number>,
    /// What it asks of the gate.
    pub ticket: Ticket,
    /// Number of the attempt to be made.
    pub attempt: u64,
    /// Endpoints that are not to be chosen, sorted.
    pub exclude: Vec<id::Endpoint>,
    /// The marks of its content.
    pub fingerprint: Fingerprint,
    /// Whether it may run more than once.
    pub idempotent: bool,
    model: Option<id::Model>,
    blocks: Vec<Block>,
    prompt: Tokens,
    max_tokens: Tokens,
}

impl Pick {
    /// What a request asks for. `text` is what was generated already.
    #[must_use]
    pub fn new(
        intake: &Intake,
        text: &str,
        attempt: u64,
        exclude: Vec<id::Endpoint>,
        deadline: Time,
    ) -> Self {
        // One that is carried on is owed its place until its deadline.
        let ticket = demand(intake, deadline);
        let fingerprint = Fingerprint::new(intake);
        let bare = Self {
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
            return bare;
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
            ..bare
        }
    }

    /// What the router is asked. `exclude` names the endpoints that are out of question.
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

/// What a new request asks of the gate: to begin early enough for its answer to
/// be whole at its deadline.
#[must_use]
pub fn ticket(intake: &Intake, deadline: Time) -> Ticket {
    let span = intake.deadline.duration();
    demand(intake, deadline - expected(intake).min(span / 2))
}

/// How long an answer takes once it begins, at full load: it waits behind what
/// one endpoint reads at once, and a piece of others' prompts is read between
/// any two of its tokens.
fn expected(intake: &Intake) -> Duration {
    let settings = choice::Settings::default();
    let reading = |tokens: Tokens| Duration::from_secs_f64(tokens.0 as f64 * settings.read / 1e6);
    match &intake.work {
        Work::Completion {
            prompt, max_tokens, ..
        } => {
            let tokens = u32::try_from(*max_tokens).unwrap_or(u32::MAX).min(LONGEST);
            let each = settings.step.duration() + reading(PIECE);
            reading(settings.depth) + reading(prefix::tokens(prompt)) + each * tokens
        }
        Work::Call { .. } => Duration::ZERO,
    }
}

fn demand(intake: &Intake, deadline: Time) -> Ticket {
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
