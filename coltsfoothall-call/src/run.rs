//! One request on its way: sent, resumed, sent again, until its answer is whole.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use coltsfoothall::key::Key;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::fault::{Code, Fault, Outcome as Fate};

use crate::answer::Text;
use crate::ask::{Ask, Origin, Work};
use crate::caller::{Caller, Effort, Error, Outcome, Times};
use crate::check::Wrong;
use crate::turn::{Break, Reply};

/// Times that a request which is not found is sent anew under its key.
const STRAYS: u32 = 3;

/// A request on its way.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    pub(crate) caller: &'a Caller,
    pub(crate) ask: &'a Ask,
    pub(crate) key: Key,
    /// Key that fresh ones are derived from, and their count.
    pub(crate) base: Key,
    pub(crate) fresh: u32,
    /// Whether an answer began, so that the system knows the request.
    pub(crate) known: bool,
    pub(crate) text: Text,
    pub(crate) reply: Reply,
    pub(crate) effort: Effort,
    pub(crate) breaks: Vec<String>,
    pub(crate) times: Times,
    pub(crate) begun: Instant,
    pub(crate) last: Instant,
    pub(crate) failures: u32,
    pub(crate) strays: u32,
}

impl<'a> Run<'a> {
    /// A new request with its key.
    pub(crate) async fn start(caller: &'a Caller, ask: &'a Ask) -> Result<Self, Error> {
        let begun = Instant::now();
        let key = match &ask.origin {
            Origin::Own => own(caller.unique()),
            Origin::Minted => caller.mint().await?,
            Origin::Given(key) => key.clone(),
        };
        Ok(Self {
            begun,
            known: false,
            ..Self::known(caller, ask, key)
        })
    }

    /// A request that the system knows already.
    pub(crate) fn known(caller: &'a Caller, ask: &'a Ask, key: Key) -> Self {
        let now = Instant::now();
        Self {
            caller,
            ask,
            base: key.clone(),
            key,
            fresh: 0,
            known: true,
            text: Text::default(),
            reply: Reply::default(),
            effort: Effort::default(),
            breaks: Vec::new(),
            times: Times::default(),
            begun: now,
            last: now,
            failures: 0,
            strays: 0,
        }
    }

    /// Stays with the request to its end.
    pub(crate) async fn finish(
        mut self,
        hear: &mut (dyn FnMut(&str) + Send),
        stop: &CancellationToken,
    ) -> Result<Outcome, Error> {
        let done = tokio::select! {
            biased;
            () = stop.cancelled() => None,
            done = self.turns(hear) => Some(done),
        };
        match done {
            Some(Ok(())) => Ok(self.outcome()),
            Some(Err(error)) => Err(error),
            None => {
                self.caller.cancel(&self.key).await?;
                Err(Error::Cancelled(self.key))
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        self.times.total = self.begun.elapsed();
        Outcome {
            key: self.key,
            status: self.reply.status,
            tokens: self.text.tokens(),
            finish: self.text.finish(),
            text: self.text.as_str().into(),
            body: self.reply.body,
            effort: self.effort,
            breaks: self.breaks,
            times: self.times,
        }
    }

    /// Connects again and again until the answer is whole.
    async fn turns(&mut self, hear: &mut (dyn FnMut(&str) + Send)) -> Result<(), Error> {
        loop {
            let address = self.caller.address().await?;
            match self.turn(&address, hear).await {
                Ok(()) => return Ok(()),
                Err(Break::Wrong(wrong)) => return Err(Error::Wrong(self.key.clone(), wrong)),
                Err(Break::Fault(fault)) => self.refused(&address, fault).await?,
                Err(Break::Unsent(step)) => self.rest(&address, step).await?,
                Err(Break::Silent(step)) => {
                    self.effort.resends += 1;
                    self.rest(&address, step).await?;
                }
                Err(Break::Cut(step)) => {
                    self.effort.resumes += 1;
                    self.rest(&address, step).await?;
                }
            }
        }
    }

    /// Leaves an address that failed alone, and pauses.
    async fn rest(&mut self, address: &str, step: String) -> Result<(), Error> {
        let after = self.begun.elapsed().as_millis();
        self.breaks.push(format!("{after} ms, {address}: {step}"));
        self.caller.avoid(address);
        let pause = self.caller.pause(self.failures);
        self.failures += 1;
        if pause >= self.left() {
            return Err(self.given_up(step));
        }
        sleep(pause).await;
        Ok(())
    }

    /// The error of a request whose time is over.
    fn given_up(&self, step: String) -> Error {
        let key = self.key.clone();
        match self.text.tokens() {
            0 => Error::Patience(key, step),
            tokens => Error::Wrong(key, Wrong::Cut(format!("{tokens} tokens, then: {step}"))),
        }
    }

    /// Decides what to do after an error; it is final unless this returns.
    async fn refused(&mut self, address: &str, fault: Box<Fault>) -> Result<(), Error> {
        let ran = self.text.tokens() > 0;
        match fault.code {
            // The instance is leaving: another takes the same request.
            Code::Unavailable => return self.rest(address, fault.to_string()).await,
            // Nobody knows the key any more: it may be sent anew under the same.
            Code::NotFound if self.known && self.strays < STRAYS => {
                self.strays += 1;
                self.known = false;
                return self.rest(address, fault.to_string()).await;
            }
            // What became of it is not known, but a completion may run twice.
            Code::LedgerLost if !ran && self.may_repeat() => {
                self.renew().await?;
                return self.rest(address, fault.to_string()).await;
            }
            _ => {}
        }
        if fault.outcome == Fate::NotRun && ran {
            let wrong = Wrong::Ran(format!("{} tokens came, then: {fault}", self.text.tokens()));
            return Err(Error::Wrong(self.key.clone(), wrong));
        }
        match fault.retry_after_ms {
            Some(wait) if fault.outcome == Fate::NotRun && wait.duration() < self.left() => {
                self.effort.waits += 1;
                sleep(wait.duration()).await;
                // The system keeps its word that the old key never runs.
                self.renew().await
            }
            _ => Err(Error::Fault(self.key.clone(), fault)),
        }
    }

    fn may_repeat(&self) -> bool {
        match self.ask.work {
            Work::Completion(_) => self.ask.idempotent != Some(false),
            Work::Call { .. } => self.ask.idempotent == Some(true),
        }
    }

    /// Takes a fresh key: derived from the first, so that a restarted caller takes the same.
    async fn renew(&mut self) -> Result<(), Error> {
        self.known = false;
        self.fresh += 1;
        self.key = match &self.ask.origin {
            Origin::Own => own(self.caller.unique()),
            Origin::Minted => self.caller.mint().await?,
            Origin::Given(_) => match format!("{}.{}", self.base, self.fresh).parse() {
                Ok(key) => key,
                Err(_long) => own(self.caller.unique()),
            },
        };
        Ok(())
    }

    /// Time left to wait.
    pub(crate) fn left(&self) -> Duration {
        let deadline = self
            .ask
            .deadline
            .map_or(self.caller.settings().patience, Millis::duration);
        deadline.saturating_sub(self.begun.elapsed())
    }
}

fn own(unique: u64) -> Key {
    format!("c-{unique:016x}")
        .parse()
        .expect("letters, digits and a hyphen make a key")
}
