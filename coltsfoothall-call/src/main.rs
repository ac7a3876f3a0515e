//! A caller of coltsfoothall, and a load tool. Exit codes stand in `--help`.

mod flag;

use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Args, ParseFailure};
use quick_error::quick_error;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use coltsfoothall::key::Key;
use coltsfoothall_call::ask::{Ask, Origin, Work};
use coltsfoothall_call::caller::{self, Caller, Effort, Outcome};
use coltsfoothall_call::load;
use coltsfoothall_call::mix::Mix;
use coltsfoothall_shell::{settings, stop};
use coltsfoothall_wire::caller::{Finish, Prompt};

use crate::flag::{Access, Command, Source};

/// An answer was wrong, cut or crossed.
const WRONG: u8 = 1;
/// The command line, or a file that it names, cannot be used.
const USAGE: u8 = 2;
/// The system answered with an error, or could not be reached.
const REFUSED: u8 = 3;
/// The request was cancelled.
const CANCELLED: u8 = 4;

/// Columns of a message about the command line.
const WIDTH: usize = 100;

quick_error! {
    /// Why the program ends without success.
    #[derive(Debug)]
    enum Error {
        /// The request failed.
        Caller(error: caller::Error) {
            from()
            display("{error}")
        }
        /// A file cannot be used.
        Settings(error: settings::Error) {
            from()
            display("{error}")
        }
        /// The prompt cannot be read.
        Prompt(file: String, error: io::Error) {
            display("prompt {file}: {error}")
        }
        /// A method, or the standard output, cannot be used.
        Usage(message: String) {
            display("{message}")
        }
        /// Answers of a load run were wrong.
        Wrong(count: u64) {
            display("{count} answers were wrong")
        }
    }
}

impl Error {
    fn exit(&self) -> ExitCode {
        let code = match self {
            Self::Caller(caller::Error::Wrong(..)) | Self::Wrong(_) => WRONG,
            Self::Caller(caller::Error::Cancelled(_)) => CANCELLED,
            Self::Caller(_) => REFUSED,
            Self::Settings(_) | Self::Prompt(..) | Self::Usage(_) => USAGE,
        };
        ExitCode::from(code)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = match flag::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return usage(&failure),
    };
    match obey(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfoothall-call: {error}");
            error.exit()
        }
    }
}

fn usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE),
        _ => ExitCode::SUCCESS,
    }
}

async fn obey(command: Command) -> Result<(), Error> {
    let stop = stop::token().map_err(|error| Error::Usage(error.to_string()))?;
    match command {
        Command::Complete {
            access,
            model,
            source,
            max_tokens,
            no_stream,
            key,
            mint,
            urgency,
        } => {
            let prompt = Prompt {
                model,
                prompt: read(source)?,
                max_tokens,
                stream: !no_stream,
            };
            let ask = Ask {
                origin: origin(key, mint),
                class: urgency.class,
                deadline: urgency.deadline(),
                ..Ask::from(prompt)
            };
            complete(&access, &ask, &stop).await
        }
        Command::Service {
            access,
            method,
            body,
            non_idempotent,
            key,
            mint,
            urgency,
            service,
            path,
        } => {
            let method = method
                .parse()
                .map_err(|_method| Error::Usage(format!("{method:?} is no HTTP method")))?;
            let work = Work::Call {
                service,
                method,
                path,
                body: body.into(),
            };
            let ask = Ask {
                origin: origin(key, mint),
                idempotent: non_idempotent.then_some(false),
                class: urgency.class,
                deadline: urgency.deadline(),
                ..Ask::new(work)
            };
            call(&access, &ask, &stop).await
        }
        Command::Addresses { access } => addresses(&access).await,
        Command::Cancel { access, key } => Ok(Caller::new(access.settings()).cancel(&key).await?),
        Command::Load {
            access,
            rate,
            seconds,
            mix,
            patience,
        } => {
            let mix: Mix = settings::load(&mix)?;
            let patience = Duration::from_secs(patience);
            let caller = caller::Settings {
                patience,
                ..access.settings()
            };
            let span = Duration::from_secs(seconds);
            let settings = load::Settings {
                rate,
                span,
                seed: caller.seed,
            };
            let report = load::run(&caller, &mix, settings, &stop).await;
            if access.json {
                print_json(&report)?
            } else {
                print(&format!("{report}\n"))?
            }
            if report.wrong == 0 {
                Ok(())
            } else {
                Err(Error::Wrong(report.wrong))
            }
        }
    }
}

fn origin(key: Option<Key>, mint: bool) -> Origin {
    match key {
        Some(key) => Origin::Given(key),
        None if mint => Origin::Minted,
        None => Origin::Own,
    }
}

fn read(source: Source) -> Result<String, Error> {
    match source {
        Source::Text(text) => Ok(text),
        Source::File(file) => read_file(&file),
    }
}

fn read_file(file: &Path) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|error| Error::Prompt(file.display().to_string(), error))
}

/// An answer as `--json` prints it.
#[derive(Debug, Serialize)]
struct Shown<'a> {
    key: &'a Key,
    status: u16,
    text: &'a str,
    tokens: u64,
    finish: Option<Finish>,
    resumes: u32,
    resends: u32,
    waits: u32,
    first_ms: Option<f64>,
    total_ms: f64,
}

impl<'a> Shown<'a> {
    fn new(outcome: &'a Outcome, text: &'a str) -> Self {
        let Effort {
            resumes,
            resends,
            waits,
        } = outcome.effort;
        Self {
            key: &outcome.key,
            status: outcome.status,
            text,
            tokens: outcome.tokens,
            finish: outcome.finish,
            resumes,
            resends,
            waits,
            first_ms: outcome.times.first.map(millis),
            total_ms: millis(outcome.times.total),
        }
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

async fn complete(access: &Access, ask: &Ask, stop: &CancellationToken) -> Result<(), Error> {
    let caller = Caller::new(access.settings());
    let quiet = access.json;
    let mut broken = None;
    let mut hear = |text: &str| {
        if !quiet && let Err(error) = print(text) {
            broken = Some(error);
        }
    };
    let outcome = caller.follow(ask, &mut hear, stop).await?;
    if let Some(error) = broken {
        return Err(error);
    }
    if quiet {
        return print_json(&Shown::new(&outcome, &outcome.text));
    }
    print("\n")?;
    let Outcome {
        key,
        tokens,
        effort,
        times,
        ..
    } = &outcome;
    eprintln!(
        "request {key}: {tokens} tokens in {:.0} ms, first after {:.0} ms, {} resumes",
        millis(times.total),
        times.first.map_or(0.0, millis),
        effort.resumes
    );
    Ok(())
}

async fn call(access: &Access, ask: &Ask, stop: &CancellationToken) -> Result<(), Error> {
    let caller = Caller::new(access.settings());
    let outcome = caller.follow(ask, &mut |_text| {}, stop).await?;
    let text = String::from_utf8_lossy(&outcome.body);
    if access.json {
        return print_json(&Shown::new(&outcome, &text));
    }
    print(&format!("{text}\n"))?;
    eprintln!("request {}: status {}", outcome.key, outcome.status);
    Ok(())
}

async fn addresses(access: &Access) -> Result<(), Error> {
    let answer = Caller::new(access.settings()).addresses().await?;
    if access.json {
        return print_json(&answer);
    }
    for known in &answer.addresses {
        print(&format!(
            "{} {} weight {}\n",
            known.address, known.domain, known.weight
        ))?;
    }
    print(&format!("keep for {}\n", answer.ttl_ms))
}

fn print_json<T: Serialize>(value: &T) -> Result<(), Error> {
    let text = serde_json::to_string(value).map_err(|error| Error::Usage(error.to_string()))?;
    print(&format!("{text}\n"))
}

/// Writes to the standard output, which may have been closed.
fn print(text: &str) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .map_err(|error| Error::Usage(format!("standard output: {error}")))
}
