//! Runs a command and reports its output and exit code.

use std::fs;
use std::io::{self, Read};
use std::path::Path;

use bytes::Bytes;
use coltsfoothall::confirm::Verdict;
use coltsfoothall::intent::{self, Intent};
use coltsfoothall::plan::Plan;
use coltsfoothall_wire::{http, limit};
use quick_error::quick_error;

use crate::call::{self, Caller};
use crate::exit::Exit;
use crate::flag::{Command, Reach};
use crate::output::{self, Confirmation};

/// Output and result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Text for standard output.
    pub out: String,
    /// Text for standard error.
    pub err: String,
    /// Result, which gives the exit code.
    pub exit: Exit,
}

quick_error! {
    /// The command failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file cannot be read.
        Read(file: String, error: io::Error) {
            display("cannot read {file}: {error}")
        }
        /// A file cannot be written.
        Write(file: String, error: io::Error) {
            display("cannot write {file}: {error}")
        }
        /// A file is too large.
        Large(file: String, max_len: usize) {
            display("{file}: file is over {max_len} bytes")
        }
        /// A file does not contain a valid intent.
        Intent(file: String, error: intent::Error) {
            display("{file}: {error}")
        }
        /// A file does not contain a valid plan.
        Plan(file: String, error: http::Error) {
            display("{file}: not a plan as written by plan --out: {error}")
        }
        /// The call to the entry instances failed.
        Call(error: call::Error) {
            from()
            display("{error}")
        }
    }
}

/// Runs a command.
pub async fn run(command: Command) -> Report {
    let confirms = matches!(command, Command::Confirm { .. });
    match execute(command).await {
        Ok(report) => report,
        Err(error) => {
            let lost = confirms && matches!(&error, Error::Call(call) if call.lost());
            failed(&error, lost)
        }
    }
}

fn failed(error: &Error, lost: bool) -> Report {
    let mut err = format!("{error}\n");
    if lost {
        err += "not yet known whether the plan was accepted: confirm again to find out\n";
    }
    Report {
        out: String::new(),
        err,
        exit: if lost { Exit::Unknown } else { Exit::Refused },
    }
}

async fn execute(command: Command) -> Result<Report, Error> {
    match command {
        Command::Plan { reach, out, file } => plan(reach, out.as_deref(), &file).await,
        Command::Confirm { reach, out, file } => confirm(reach, out.as_deref(), &file).await,
        Command::Show { reach } => {
            let json = reach.json;
            let catalog = Caller::new(reach).show().await?;
            Ok(done(if json {
                output::json(&catalog)
            } else {
                output::catalog(&catalog)
            }))
        }
        Command::Status { reach } => {
            let json = reach.json;
            let status = Caller::new(reach).status().await?;
            Ok(done(if json {
                output::json(&status)
            } else {
                output::status(&status)
            }))
        }
    }
}

fn done(out: String) -> Report {
    Report {
        out,
        err: String::new(),
        exit: Exit::Done,
    }
}

async fn plan(reach: Reach, out: Option<&Path>, file: &Path) -> Result<Report, Error> {
    let json = reach.json;
    let text = read(file, limit::INTENT)?;
    // Parsed locally first, so that an error names the file.
    parse_intent(file, &text)?;
    let plan = Caller::new(reach).plan(text).await?;
    save(out, &plan)?;
    let mut report = done(if json {
        output::json(&plan)
    } else {
        output::plan(&plan)
    });
    if !plan.steps.is_empty() {
        report.err = match out {
            Some(out) => format!("nothing has changed yet; confirm {}\n", out.display()),
            None if json => String::new(),
            None => "nothing has changed; to confirm, plan with --out PLAN\n".into(),
        };
    }
    Ok(report)
}

async fn confirm(reach: Reach, out: Option<&Path>, file: &Path) -> Result<Report, Error> {
    let json = reach.json;
    let text = read(file, limit::FRAME)?;
    let name = file.display().to_string();
    let plan: Plan = http::parse(&text).map_err(|error| Error::Plan(name, error))?;
    let caller = Caller::new(reach);
    let answer = caller.confirm(&plan).await?;
    let exit = Exit::of_verdict(&answer.value, answer.lost);
    let mut report = Report {
        out: output::verdict(&answer.value, answer.lost),
        err: String::new(),
        exit,
    };
    let mut anew = None;
    if matches!(
        answer.value,
        Verdict::Stale { .. } | Verdict::Expired { .. }
    ) {
        // The plan call takes YAML, and JSON is valid YAML.
        match caller.plan(http::json(&plan.intent)).await {
            Ok(new_plan) => {
                report.out += "new plan for the same intent, not confirmed yet:\n";
                report.out += &output::plan(&new_plan);
                anew = Some(new_plan);
            }
            Err(error) => {
                report.err = format!("cannot make a new plan for the same intent: {error}\n")
            }
        }
    }
    if let Some(new_plan) = &anew
        && let Err(error) = save(out, new_plan)
    {
        // The verdict must be reported even if the new plan cannot be written.
        report.err += &format!("{error}\n");
    }
    if json {
        let verdict = answer.value;
        report.out = output::json(&Confirmation { verdict, anew });
    }
    Ok(report)
}

fn parse_intent(file: &Path, text: &[u8]) -> Result<Intent, Error> {
    let name = file.display().to_string();
    let parsed = match std::str::from_utf8(text) {
        Ok(text) => text.parse(),
        Err(error) => Err(intent::Error::Document(error.to_string())),
    };
    parsed.map_err(|error| Error::Intent(name, error))
}

/// Reads a file, or standard input for `-`, of at most `max_len` bytes.
fn read(file: &Path, max_len: usize) -> Result<Bytes, Error> {
    let name = file.display().to_string();
    let mut bytes = Vec::new();
    let limit = max_len as u64 + 1;
    let result = if name == "-" {
        io::stdin().lock().take(limit).read_to_end(&mut bytes)
    } else {
        fs::File::open(file).and_then(|open| open.take(limit).read_to_end(&mut bytes))
    };
    match result {
        Err(error) => Err(Error::Read(name, error)),
        Ok(_read) if bytes.len() > max_len => Err(Error::Large(name, max_len)),
        Ok(_read) => Ok(bytes.into()),
    }
}

fn save(out: Option<&Path>, plan: &Plan) -> Result<(), Error> {
    let Some(out) = out else {
        return Ok(());
    };
    let name = out.display().to_string();
    fs::write(out, output::json(plan)).map_err(|error| Error::Write(name, error))
}
