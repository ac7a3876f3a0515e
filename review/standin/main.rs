//! Runs the review's cases against the project's own program.
//!
//! `standin CASE DIRECTORY` writes `record.txt` to the directory. It exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod endless;
mod http;
mod json;
mod overlap;
mod process;
mod reclaim;
mod regress;
mod reports;
mod site;
mod store;
mod unread;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use site::Record;

/// What a case is run with.
pub struct Setup {
    pub record: Record,
    /// The file of the record.
    pub file: PathBuf,
    pub program: PathBuf,
    /// A temporary folder for settings and logs.
    pub scratch: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(directory)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE DIRECTORY");
        return ExitCode::from(2);
    };
    if case == "runner" {
        let rest: Vec<String> = arguments.collect();
        return reclaim::runner(&directory, &rest);
    }
    let play: fn(&Setup) -> bool = match case.as_str() {
        "unread" => unread::play,
        "endless" => endless::play,
        "overlap" => overlap::play,
        "reports" => reports::play,
        "reclaim" => reclaim::play,
        "regress" => regress::play,
        _ => return ExitCode::from(2),
    };
    let file = PathBuf::from(directory).join("record.txt");
    let Ok(record) = Record::new(&file) else {
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    let setup = Setup {
        record: record.clone(),
        file,
        program: PathBuf::from("target/release/coltsfoothall-node"),
        scratch: scratch.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.line(&format!("case {case}, disruption: {}", setup.trouble));
    let (done, ended) = std::sync::mpsc::channel();
    let playing = std::thread::spawn(move || {
        // A panic drops the instances, which kills their processes.
        let broken = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&setup)));
        let _ignored = done.send(());
        broken.ok()
    });
    let broken = match ended.recv_timeout(LIMIT) {
        Ok(()) => playing.join().ok().flatten(),
        Err(_) => None,
    };
    process::kill_all();
    if std::env::var_os("KEEP").is_none() {
        let _ignored = std::fs::remove_dir_all(&scratch);
    }
    match broken {
        Some(true) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Some(false) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        None => {
            record.line("the case could not run");
            ExitCode::from(2)
        }
    }
}
