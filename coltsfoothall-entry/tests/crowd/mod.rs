//! Callers that ask at a moderate rate while a test breaks things, and a check
//! of what each of them got.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothall::size::Millis;
use coltsfoothall_call::ask::{Ask, Work};
use coltsfoothall_call::caller::{Caller, Error, Outcome, Settings};
use coltsfoothall_call::check;
use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::fault::Outcome as Fate;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::system::{MODEL, System, TOKEN};

/// Time that each request may take in all.
const PATIENCE: Duration = Duration::from_secs(60);

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Seed of all choices.
    pub seed: u64,
    /// Callers that ask at once.
    pub callers: u64,
    /// Requests of each caller, one after another.
    pub each: u64,
    /// Shares of ten: streamed completions, whole ones, idempotent calls; the
    /// rest are calls that must not be repeated.
    pub shares: [u32; 3],
    /// Most tokens of a completion.
    pub tokens: u64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            seed: 1,
            callers: 24,
            each: 3,
            shares: [5, 2, 2],
            tokens: 200,
        }
    }
}

/// One request and what came of it.
#[derive(Debug)]
pub struct Told {
    pub ask: Ask,
    pub result: Result<Outcome, Error>,
}

impl Told {
    /// Whether it was marked as not to be repeated.
    pub fn once(&self) -> bool {
        matches!(&self.ask.work, Work::Call { path, .. } if path.starts_with("/quotes"))
    }

    /// What a final error says of it.
    pub fn fate(&self) -> Option<Fate> {
        match &self.result {
            Err(Error::Fault(_, fault)) => Some(fault.outcome),
            Ok(_) | Err(_) => None,
        }
    }
}

/// Callers at work.
#[derive(Debug)]
pub struct Crowd {
    tasks: JoinSet<Vec<Told>>,
    seed: u64,
}

impl Crowd {
    /// Starts callers that know all entry instances.
    pub fn start(system: &System, mix: &Mix) -> Self {
        let mut tasks = JoinSet::new();
        for caller in 0..mix.callers {
            let seed = mix.seed * 1000 + caller;
            let entries = system
                .entries
                .iter()
                .map(|part| part.address.clone())
                .collect();
            let settings = Settings {
                entries,
                token: TOKEN.into(),
                patience: PATIENCE,
                head: Duration::from_secs(30),
                silence: Duration::from_secs(5),
                seed,
            };
            tasks.spawn(ask_all(Caller::new(settings), mix.clone(), seed));
        }
        Self {
            tasks,
            seed: mix.seed,
        }
    }

    /// Waits for all answers.
    pub async fn finish(self) -> Vec<Told> {
        self.tasks.join_all().await.into_iter().flatten().collect()
    }

    /// Waits for all answers, which must all be whole; `excused` names errors
    /// that a test expects.
    pub async fn all_whole(self, system: &System, excused: impl Fn(&Told) -> bool) {
        let seed = self.seed;
        let told = self.finish().await;
        let mut text = String::new();
        for told in &told {
            match &told.result {
                Ok(outcome) => check_whole(&told.ask, outcome),
                Err(_expected) if excused(told) => {}
                Err(error) => writeln!(text, "{error}: {:?}", short(&told.ask)).unwrap(),
            }
        }
        let whole = told.iter().filter(|told| told.result.is_ok()).count();
        assert!(
            text.is_empty(),
            "seed {seed}, {whole} whole:\n{text}\n{}",
            system.logs()
        );
        println!("seed {seed}: {whole} of {} whole", told.len());
    }
}

async fn ask_all(caller: Caller, mix: Mix, seed: u64) -> Vec<Told> {
    let caller = Arc::new(caller);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut told = Vec::new();
    for number in 0..mix.each {
        let ask = any(&mix, &mut rng, seed, number);
        let result = caller.ask(&ask).await;
        told.push(Told { ask, result });
        sleep(Duration::from_millis(rng.random_range(0..200))).await;
    }
    told
}

/// A request drawn from the seed; its text is its own.
pub fn any(mix: &Mix, rng: &mut Pcg64Mcg, seed: u64, number: u64) -> Ask {
    let words = rng.random_range(4..400);
    let mut text = format!("sheet {seed}.{number}");
    for _ in 0..words {
        write!(text, " {:x}", rng.random::<u16>()).unwrap();
    }
    let [streamed, whole, calls] = mix.shares;
    let kind = rng.random_range(0..10);
    let work = if kind < streamed + whole {
        let max_tokens = rng.random_range(mix.tokens / 4..mix.tokens);
        Work::Completion(Prompt {
            model: MODEL.into(),
            prompt: text,
            max_tokens,
            stream: kind < streamed,
        })
    } else {
        let read = kind < streamed + whole + calls;
        Work::Call {
            service: "clerk-desk".parse().unwrap(),
            method: if read { Method::PUT } else { Method::POST },
            path: if read {
                "/sheets/1".into()
            } else {
                "/quotes".into()
            },
            body: text.into(),
        }
    };
    Ask {
        deadline: Some(Millis::from(PATIENCE)),
        ..Ask::new(work)
    }
}

/// An answer is its own request's, and whole.
pub fn check_whole(ask: &Ask, outcome: &Outcome) {
    match &ask.work {
        Work::Completion(prompt) => {
            let tokens = check::tokens(&prompt.prompt, &outcome.text).unwrap();
            assert_eq!(tokens, prompt.max_tokens, "request {}", outcome.key);
            assert_eq!(outcome.tokens, tokens, "request {}", outcome.key);
        }
        Work::Call { body, .. } => {
            assert_eq!(outcome.status, 200, "request {}", outcome.key);
            let run: coltsfoothall_standin::service::Run =
                coltsfoothall_wire::http::parse(&outcome.body).unwrap();
            assert_eq!(run.echo.as_bytes(), &body[..], "request {}", outcome.key);
        }
    }
}

fn short(ask: &Ask) -> String {
    match &ask.work {
        Work::Completion(prompt) => {
            let head: String = prompt.prompt.chars().take(20).collect();
            format!(
                "{head} tokens={} stream={}",
                prompt.max_tokens, prompt.stream
            )
        }
        Work::Call { method, path, .. } => format!("{method} {path}"),
    }
}
