//! Command line.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use rand::Rng;

use coltsfoothall::id;
use coltsfoothall::key::Key;
use coltsfoothall::size::Millis;
use coltsfoothall_wire::caller::Class;
use coltsfoothall_wire::limit;

use coltsfoothall_call::caller::Settings;

/// How to reach the system, common to all commands.
#[derive(Debug, Clone, Bpaf)]
pub struct Access {
    /// Address of an entry instance, as 127.0.0.1:7000; may be given several times
    #[bpaf(argument("ADDR"), some("at least one --entry is needed"))]
    pub entry: Vec<String>,
    /// Bearer token of the workspace
    #[bpaf(argument("TOKEN"), fallback(String::new()))]
    pub token: String,
    /// Seed of random choices; drawn anew if left out
    #[bpaf(argument("N"), optional)]
    pub seed: Option<u64>,
    /// Print JSON
    pub json: bool,
}

/// How urgent a request is and how long to wait for it.
#[derive(Debug, Clone, Bpaf)]
pub struct Urgency {
    /// interactive (the default) or batch
    #[bpaf(argument::<String>("CLASS"), parse(class), fallback(Class::Interactive))]
    pub class: Class,
    /// Time to wait in all, in milliseconds
    #[bpaf(argument::<u64>("N"), guard(within_limit, "must be from 1 to 3600000"), optional)]
    pub deadline_ms: Option<u64>,
}

impl Urgency {
    /// The deadline, if one was given.
    pub fn deadline(&self) -> Option<Millis> {
        self.deadline_ms.map(Millis)
    }
}

/// What each exit code says.
const EXIT: &str = "Exit codes: 0 whole answer; 1 an answer was wrong, cut or crossed; \
    2 wrong command line or file; 3 error answer or nothing reachable; 4 cancelled.";

/// A caller of coltsfoothall. It asks an entry instance for the addresses to
/// use, resumes answers that break off, and checks what it receives.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(EXIT))]
pub enum Command {
    /// Ask for a completion and print it as it comes
    #[bpaf(command)]
    Complete {
        #[bpaf(external)]
        access: Access,
        /// The model or adapter
        #[bpaf(argument("MODEL"))]
        model: String,
        /// The prompt
        #[bpaf(external, fallback(Source::Text("Hello".into())))]
        source: Source,
        /// Most tokens to generate
        #[bpaf(argument("N"), fallback(64), display_fallback)]
        max_tokens: u64,
        /// Wait for the whole answer instead of its parts
        no_stream: bool,
        /// Use this key
        #[bpaf(argument("KEY"), optional)]
        key: Option<Key>,
        /// Let the system mint the key
        mint: bool,
        #[bpaf(external)]
        urgency: Urgency,
    },
    /// Call a plain service and print its answer
    #[bpaf(command)]
    Service {
        #[bpaf(external)]
        access: Access,
        /// Method
        #[bpaf(argument("METHOD"), fallback("GET".into()), display_fallback)]
        method: String,
        /// Body
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        body: String,
        /// The call must not run more than once
        non_idempotent: bool,
        /// Use this key
        #[bpaf(argument("KEY"), optional)]
        key: Option<Key>,
        /// Let the system mint the key
        mint: bool,
        #[bpaf(external)]
        urgency: Urgency,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: id::Service,
        /// Path within the service
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Print the addresses to use
    #[bpaf(command)]
    Addresses {
        #[bpaf(external)]
        access: Access,
    },
    /// Cancel a request
    #[bpaf(command)]
    Cancel {
        #[bpaf(external)]
        access: Access,
        /// The request's key
        #[bpaf(positional("KEY"))]
        key: Key,
    },
    /// Send requests at random times, check each answer, print percentiles
    #[bpaf(command)]
    Load {
        #[bpaf(external)]
        access: Access,
        /// Mean of requests in a second
        #[bpaf(argument::<f64>("R"), guard(is_rate, "must be above 0"), fallback(10.0), display_fallback)]
        rate: f64,
        /// Seconds for which requests arrive
        #[bpaf(argument("S"), fallback(10), display_fallback)]
        seconds: u64,
        /// Kinds of requests (YAML)
        #[bpaf(argument("FILE"))]
        mix: PathBuf,
        /// Seconds after which a request is given up on
        #[bpaf(argument("S"), fallback(60), display_fallback)]
        patience: u64,
    },
}

/// Where the prompt comes from.
#[derive(Debug, Clone, Bpaf)]
pub enum Source {
    /// As it stands on the command line.
    Text(
        /// The prompt
        #[bpaf(long("prompt"), argument("TEXT"))]
        String,
    ),
    /// From a file.
    File(
        /// File with the prompt
        #[bpaf(long("prompt-file"), argument("FILE"))]
        PathBuf,
    ),
}

impl Access {
    /// Settings of a caller with this access.
    pub fn settings(&self) -> Settings {
        Settings {
            entries: self.entry.clone(),
            token: self.token.clone(),
            seed: self.seed.unwrap_or_else(|| rand::rng().random()),
            ..Settings::default()
        }
    }
}

fn class(text: String) -> Result<Class, String> {
    match text.as_str() {
        "interactive" => Ok(Class::Interactive),
        "batch" => Ok(Class::Batch),
        _ => Err(format!("{text:?} is neither interactive nor batch")),
    }
}

fn within_limit(millis: &u64) -> bool {
    *millis > 0 && Duration::from_millis(*millis) <= limit::DEADLINE
}

fn is_rate(rate: &f64) -> bool {
    rate.is_finite() && *rate > 0.0
}
