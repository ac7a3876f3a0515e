//! The configuration in force, and what is known of newer ones.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use coltsfoothall::forward::config::Config;
use coltsfoothall::forward::egress;
use coltsfoothall::forward::lag::Lag;
use coltsfoothall_shell::event;
use tokio::sync::Notify;

use crate::state::State;

/// The configuration in force, as it was written and as it is read.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Its bytes, for operators who ask.
    pub raw: Bytes,
    /// Its bytes compressed, for instances that lack it; made when the first one asks.
    pub compressed: Rc<OnceCell<Bytes>>,
    /// Indexed for requests.
    pub table: Rc<Config>,
}

/// What an instance remembers of configurations.
#[derive(Debug, Default)]
pub struct Adoption {
    current: RefCell<Option<Configuration>>,
    changed: Notify,
    /// Newer ones that others have.
    pub lag: RefCell<Lag>,
    /// Whether the store did not answer the last call for it.
    pub store_lost: Cell<bool>,
    /// What others were sent of it.
    pub egress: RefCell<egress::Limiter>,
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
        configuration.as_ref().map_or(0, |have| have.table.version)
    }

    /// The newest version of the configuration that is known to exist.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        let heard = self.adoption.lag.borrow().newest().unwrap_or(0);
        self.version().max(heard)
    }

    /// Takes over a configuration unless it is older than the one in force. Returns its version
    /// if it can be read.
    pub fn adopt(&self, raw: &Bytes, source: &str) -> Option<u64> {
        let table = match self.adapter.parse_configuration(raw) {
            Ok(table) => table,
            Err(error) => {
                event::BAD_CATALOG.emit(format_args!("source={source} reason={error:?}"));
                return None;
            }
        };
        let (version, had) = (table.version, self.version());
        if version <= had {
            if version < had {
                event::OLDER.emit(format_args!("version={version} had={had} source={source}"));
            }
            return Some(version);
        }
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        rate_limiter.configure(self.now(), table.workspaces());
        let bytes = raw.len();
        *self.adoption.current.borrow_mut() = Some(Configuration {
            raw: raw.clone(),
            compressed: Rc::default(),
            table: Rc::new(table),
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

    /// Waits until this version of the configuration or a later one is in force.
    pub async fn wait_for_version(&self, version: u64) {
        while self.version() < version {
            self.adoption.changed.notified().await;
        }
    }

    /// Another instance has this configuration in force.
    pub fn record_version(&self, version: u64) {
        if version > self.version() {
            self.adoption
                .lag
                .borrow_mut()
                .record_known(self.now(), version);
        }
    }
}
