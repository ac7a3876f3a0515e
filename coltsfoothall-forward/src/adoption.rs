//! The configuration in force, and the newest version known to exist.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use coltsfoothall::forward::config::Config;
use coltsfoothall::forward::egress;
use coltsfoothall::forward::lag::Lag;
use coltsfoothall::size::Megabits;
use coltsfoothall_shell::event;
use tokio::sync::Notify;

use crate::state::State;

/// The configuration in force, in its serialized and its indexed form.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Its serialized form, for operators.
    pub raw: Bytes,
    /// Its compressed form, for other instances; created at the first request.
    pub compressed: Rc<OnceCell<Bytes>>,
    /// Indexed for requests.
    pub config: Rc<Config>,
}

/// The state of configuration updates.
#[derive(Debug, Default)]
pub struct Adoption {
    current: RefCell<Option<Configuration>>,
    changed: Notify,
    /// Newer versions that other instances have in force.
    pub lag: RefCell<Lag>,
    /// Whether the last call to the store for the configuration failed.
    pub store_lost: Cell<bool>,
    /// Limits the configurations that are sent to other instances.
    pub egress: RefCell<egress::Limiter>,
}

impl Adoption {
    /// The state of an instance with this link that has no configuration.
    #[must_use]
    pub fn new(link: Megabits) -> Self {
        Self {
            egress: RefCell::new(egress::Limiter::new(link)),
            ..Self::default()
        }
    }
}

impl State {
    /// The configuration in force, if any is known.
    #[must_use]
    pub fn configuration(&self) -> Option<Configuration> {
        self.adoption.current.borrow().clone()
    }

    /// Version of the configuration in force; 0 if none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        let configuration = self.adoption.current.borrow();
        configuration.as_ref().map_or(0, |have| have.config.version)
    }

    /// The newest version of the configuration that is known to exist.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        let heard = self.adoption.lag.borrow().newest().unwrap_or(0);
        self.version().max(heard)
    }

    /// Puts a configuration in force unless it is older than the current one. Returns its version
    /// if it is valid.
    pub fn adopt(&self, raw: &Bytes, source: &str) -> Option<u64> {
        let config = match self.adapter.parse_configuration(raw) {
            Ok(config) => config,
            Err(error) => {
                event::BAD_CATALOG.emit(format_args!("source={source} reason={error:?}"));
                return None;
            }
        };
        let (version, had) = (config.version, self.version());
        if version <= had {
            if version < had {
                event::OLDER.emit(format_args!("version={version} had={had} source={source}"));
            }
            return Some(version);
        }
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        rate_limiter.configure(self.now(), config.workspaces());
        let bytes = raw.len();
        *self.adoption.current.borrow_mut() = Some(Configuration {
            raw: raw.clone(),
            compressed: Rc::default(),
            config: Rc::new(config),
        });
        let behind = self
            .adoption
            .lag
            .borrow_mut()
            .record_applied(self.now(), version);
        event::ADOPTED.emit(format_args!(
            "version={version} had={had} source={source} bytes={bytes} behind_ms={}",
            behind.unwrap_or_default().as_millis()
        ));
        self.adoption.changed.notify_waiters();
        Some(version)
    }

    /// Waits until this or a later version of the configuration is in force.
    pub async fn wait_for_version(&self, version: u64) {
        while self.version() < version {
            self.adoption.changed.notified().await;
        }
    }

    /// Records that another instance has this version of the configuration in force.
    pub fn record_version(&self, version: u64) {
        if version > self.version() {
            self.adoption
                .lag
                .borrow_mut()
                .record_known(self.now(), version);
        }
    }
}
