//! The lease of a service's steward, which is acquired, renewed and released at the
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

/// Interval at which the state of a lease is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Version of an absent key.
const ABSENT: u64 = 0;

/// The value of the key that a steward holds.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
struct Claim {
    /// The holder.
    instance: id::Instance,
    /// The lease that the key is attached to.
    lease: u64,
}

quick_error! {
    /// An invalid key.
    #[derive(Debug)]
    enum Error {
        /// The value is not a claim.
        Claim(key: String, message: String) {
            display("reading {key}: {message}")
        }
    }
}

/// The lease and the fencing token of one service's steward.
#[derive(Debug)]
pub struct Lease {
    node: Arc<Node>,
    service: id::Service,
    key: String,
    steward: Mutex<Steward>,
}

impl Lease {
    /// Creates a lease that is not held yet.
    pub fn new(node: Arc<Node>, service: id::Service, fencing: Fencing) -> Self {
        let steward = Steward::new(node.settings.stewards.lease_settings(), fencing);
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

    /// The permit to send orders now. It has to be checked again right before each write.
    #[must_use]
    pub fn permit(&self) -> Option<Permit> {
        self.lock().permit(self.node.now())
    }

    /// Whether orders may be sent under this fencing token now.
    #[must_use]
    pub fn allows(&self, fence: Fence) -> bool {
        self.permit().is_some_and(|permit| permit.fence == fence)
    }

    /// Acquires and renews the lease while this instance is a candidate, until `stop` is
    /// cancelled.
    pub async fn run(&self, stop: &CancellationToken) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut logged = None;
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _at = ticks.tick() => {}
            }
            let _nothing = self.handle(Input::Rank(self.rank()));
            self.step(Input::Tick).await;
            self.log_change(&mut logged);
        }
        self.step(Input::Stop).await;
        self.log_change(&mut logged);
    }

    /// This instance's rank among the live members, or `None` while it is leaving.
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
        let consistent = steward.broken().is_none();
        let action = steward.handle(self.node.now(), input);
        if let (true, Some(broken)) = (consistent, steward.broken()) {
            self.node.report_violation("steward_fence", broken);
        }
        action
    }

    /// Handles one input and carries out all actions that follow from it.
    async fn step(&self, input: Input) {
        let mut next = self.handle(input);
        while let Some(action) = next {
            next = match self.run_action(action).await {
                Some(input) => self.handle(input),
                None => None,
            };
        }
    }

    async fn run_action(&self, action: Action) -> Option<Input> {
        match action {
            Action::Read => Some(self.read().await),
            Action::Acquire => Some(self.acquire().await),
            Action::Renew(lease) => Some(self.renew(lease).await),
            Action::Release(lease) => {
                // A lease that can't be released expires by itself.
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
                Err(error) => self.log_failure("read", &error),
            },
            Err(error) => self.log_failure("read", &error),
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
            // A lease whose grant was lost on the way holds no key and expires.
            Err(error) => return self.log_failure("grant", &error),
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
            Err(Call::Conflict(_) | Call::Expired) => {
                let _left = store.revoke(lease.id).await;
                Input::Lost
            }
            Err(error @ Call::Refused(_)) => self.log_failure("take", &error),
            Err(error @ Call::Unknown(_)) => {
                self.log_failure("take", &error);
                Input::StoreUnknown {
                    lease: lease.id,
                    asked_at,
                }
            }
        }
    }

    /// Renews the lease. A failed renewal is retried at once, since only a confirmed renewal
    /// counts.
    async fn renew(&self, lease: u64) -> Input {
        match self.renew_once(lease).await {
            Input::StoreDown => self.renew_once(lease).await,
            input => input,
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
            Err(Call::Expired) => Input::Lost,
            Err(error) => self.log_failure("renew", &error),
        }
    }

    fn log_failure(&self, step: &str, error: &dyn std::error::Error) -> Input {
        let service = &self.service;
        event::STORE_FAILED.emit(format_args!(
            "step=steward_{step} service={service} error=\"{error}\""
        ));
        Input::StoreDown
    }

    /// Logs when this instance starts or stops sending orders.
    fn log_change(&self, logged: &mut Option<Fence>) {
        let fence = self.permit().map(|permit| permit.fence);
        if fence == *logged {
            return;
        }
        let service = &self.service;
        match fence {
            Some(fence) => {
                event::STEWARD.emit(format_args!("service={service} fence={fence} orders=true"));
            }
            None => event::STEWARD.emit(format_args!("service={service} orders=false")),
        }
        *logged = fence;
    }
}
