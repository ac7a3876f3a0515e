//! The steward of the engines' service, and traffic while it works.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use coltsfoothall_wire::caller::Prompt;
use coltsfoothall_wire::store::Entry;
use serde::Deserialize;
use tokio::task::JoinHandle;

use super::system::{MODEL, System};

/// What stands in a steward's key.
#[derive(Debug, Deserialize)]
struct Claim {
    instance: String,
}

/// The entry instance that holds the key of the engines' service.
pub async fn holder(system: &System) -> Option<usize> {
    let path = "/v1/kv/steward.rights-reader";
    let within = Duration::from_secs(5);
    let entry: Entry = system
        .client
        .get("claim", &system.store, path, within)
        .await
        .ok()?;
    let claim: Claim = serde_json::from_str(&entry.value).unwrap();
    system
        .entries
        .iter()
        .position(|part| part.name == claim.instance)
}

/// Waits until there is a steward, other than the one named.
pub async fn until_holder(system: &System, other: Option<usize>) -> usize {
    let held = async |system: &System| {
        let holder = holder(system).await;
        holder.is_some() && holder != other
    };
    system.until("a steward", held).await;
    holder(system).await.unwrap()
}

/// A caller that asks until it is told to stop.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    whole: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Traffic {
    /// A caller that begins now.
    pub fn start(system: &System, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let whole = Arc::new(AtomicU64::new(0));
        let caller = system.caller(seed);
        let (ends, count) = (Arc::clone(&stop), Arc::clone(&whole));
        let task = tokio::spawn(async move {
            let mut number = 0;
            while !ends.load(Ordering::Relaxed) {
                number += 1;
                let text = format!("cue {seed} {number}");
                let prompt = Prompt {
                    model: MODEL.into(),
                    prompt: text,
                    max_tokens: 40,
                    stream: true,
                };
                let outcome = caller.complete(&prompt).await;
                let outcome = outcome.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
                assert_eq!(outcome.tokens, 40, "seed {seed}");
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
        Self { stop, whole, task }
    }

    /// Stops the caller; gives how many whole answers it got.
    pub async fn end(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.unwrap();
        self.whole.load(Ordering::Relaxed)
    }
}
