//! The lease of a service's steward: taken, renewed and given back at the
//! key-value service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use coltsfoothall::catalog::Fencing;
use coltsfoothall::id;
use coltsfoothall::steward::{self, Action, Fence, Input, Permit, Steward};
use coltsfoothall_shell::event;
use coltsfoothall_wire::http;
use coltsfoothall_wire::store::{Entry, Grant, Put};

use crate::node::Node;
use crate::store::Error as Call;

/// Between two looks at a lease.
const TURN: Duration = Duration::from_millis(100);
/// Version of a key that is absent.
const ABSENT: u64 = 0;

/// What stands in the key that stewards hold.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
struct Claim {
    /// Who holds it.
    instance: id::Instance,
    /// The lease that it was taken under.
    lease: u64,
}

quick_error! {
    /// A key that cannot be understood.
    #[derive(Debug)]
    enum Error {
        /// Its value is not a claim.
        Claim(key: String, message: String) {
            display("reading {key}: {message}")
        }
    }
}

/// Lease and fencing number of one service.
#[derive(Debug)]
pub struct Lease {
    node: Arc<Node>,
    service: id::Service,
    key: String,
    steward: Mutex<Steward>,
}

impl Lease {
    /// A lease that is not held yet.
    pub fn new(node: Arc<Node>, service: id::Service, fencing: Fencing) -> Self {
        let steward = Steward::new(node.settings.stewards.times(), fencing);
        let key = format!("steward.{service}");
        Self {
            node,
            service,
            key,
            steward: Mutex::new(steward),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Steward> {
        self.steward.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leave to order now; to be asked for again right before each write.
    #[must_use]
    pub fn permit(&self) -> Option<Permit> {
        self.lock().permit(self.node.now())
    }

    /// Whether orders may be sent under this number now.
    #[must_use]
    pub fn allows(&self, fence: Fence) -> bool {
        self.permit().is_some_and(|permit| permit.fence == fence)
    }

    /// Keeps the lease, as far as this instance is a candidate, until `stop`.
    pub async fn keep(&self, stop: &CancellationToken) {
        let mut turn = interval(TURN);
        turn.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut shown = None;
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _at = turn.tick() => {}
            }
            let _nothing = self.handle(Input::Rank(self.rank()));
            self.step(Input::Tick).await;
            self.show(&mut shown);
        }
        self.step(Input::Stop).await;
        self.show(&mut shown);
    }

    /// This instance's rank among the live members; none while it leaves.
    fn rank(&self) -> Option<usize> {
        let view = self.node.view();
        if view.leaving {
            return None;
        }
        let me = &self.node.settings.instance;
        let mut members: Vec<id::Instance> = view
            .peers
            .iter()
            .map(|peer| peer.instance.clone())
            .collect();
        members.push(me.clone());
        steward::rank(&self.service, me, &members)
    }

    fn handle(&self, input: Input) -> Option<Action> {
        let mut steward = self.lock();
        let sound = steward.broken().is_none();
        let action = steward.handle(self.node.now(), input);
        if let (true, Some(broken)) = (sound, steward.broken()) {
            self.node.broken("steward_fence", broken);
        }
        action
    }

    /// Takes one input and does all that follows from it.
    async fn step(&self, input: Input) {
        let mut next = self.handle(input);
        while let Some(action) = next {
            next = match self.act(action).await {
                Some(input) => self.handle(input),
                None => None,
            };
        }
    }

    async fn act(&self, action: Action) -> Option<Input> {
        match action {
            Action::Read => Some(self.read().await),
            Action::Acquire => Some(self.acquire().await),
            Action::Renew(lease) => Some(self.renew(lease).await),
            Action::Release(lease) => {
                // A lease that can't be given back lapses by itself.
                let _left = self.node.store.revoke(lease).await;
                None
            }
        }
    }

    async fn read(&self) -> Input {
        match self.node.store.get(&self.key).await {
            Ok(None) => Input::Seen(None),
            Ok(Some(entry)) => match self.claim(&entry) {
                Ok(claim) => Input::Seen(Some((claim.lease, entry.revision))),
                Err(error) => self.failed("read", &error),
            },
            Err(error) => self.failed("read", &error),
        }
    }

    fn claim(&self, entry: &Entry) -> Result<Claim, Error> {
        let claim = http::parse(entry.value.as_bytes());
        claim.map_err(|error| Error::Claim(self.key.clone(), error.to_string()))
    }

    async fn acquire(&self) -> Input {
        let store = &self.node.store;
        let asked_at = self.node.now();
        let grant = Grant {
            ttl_ms: self.node.settings.stewards.lease,
        };
        let lease = match store.grant(grant).await {
            Ok(lease) => lease,
            // A lease whose answer was lost holds no key and lapses.
            Err(error) => return self.failed("grant", &error),
        };
        let claim = Claim {
            instance: self.node.settings.instance.clone(),
            lease: lease.id,
        };
        let value = String::from_utf8_lossy(&http::json(&claim)).into_owned();
        let put = Put {
            value,
            version: Some(ABSENT),
            lease: Some(lease.id),
        };
        match store.put(&self.key, put).await {
            Ok(entry) => Input::Granted {
                fence: entry.revision,
                lease: lease.id,
                ttl: lease.ttl_ms.duration(),
                asked_at,
            },
            Err(Call::Conflict(_) | Call::Lapsed) => {
                let _left = store.revoke(lease.id).await;
                Input::Lost
            }
            Err(error @ Call::Refused(_)) => self.failed("take", &error),
            Err(error @ Call::Unknown(_)) => {
                self.failed("take", &error);
                Input::StoreUnknown {
                    lease: lease.id,
                    asked_at,
                }
            }
        }
    }

    /// Renews the lease; a lost answer is asked for again at once, since a
    /// renewal that isn't known of doesn't count.
    async fn renew(&self, lease: u64) -> Input {
        match self.renew_once(lease).await {
            Input::StoreDown => self.renew_once(lease).await,
            settled => settled,
        }
    }

    async fn renew_once(&self, lease: u64) -> Input {
        let asked_at = self.node.now();
        match self.node.store.renew(lease).await {
            Ok(renewed) => Input::Renewed {
                lease,
                ttl: renewed.ttl_ms.duration(),
                asked_at,
            },
            Err(Call::Lapsed) => Input::Lost,
            Err(error) => self.failed("renew", &error),
        }
    }

    fn failed(&self, step: &str, error: &dyn std::error::Error) -> Input {
        let service = &self.service;
        event::STORE_FAILED.emit(format_args!(
            "step=steward_{step} service={service} error=\"{error}\""
        ));
        Input::StoreDown
    }

    /// Logs a change of whether this instance orders.
    fn show(&self, shown: &mut Option<Fence>) {
        let fence = self.permit().map(|permit| permit.fence);
        if fence == *shown {
            return;
        }
        let service = &self.service;
        match fence {
            Some(fence) => {
                event::STEWARD.emit(format_args!("service={service} fence={fence} orders=true"));
            }
            None => event::STEWARD.emit(format_args!("service={service} orders=false")),
        }
        *shown = fence;
    }
}
