//! A stand-in for the platform's store and for its duty interface, as PROTOCOL.md describes them.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, serve};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    key: String,
    /// Base64 text, as it is sent.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
    /// The value that a view is told instead, as base64 text.
    others: Vec<(usize, String)>,
}

/// A change; no item if the key was removed.
type Change = (u64, String, Option<Item>);

/// A copy of the content: its revision, items and leases.
type Copy = (Instant, u64, Vec<Item>, Vec<(u64, Instant, Duration)>);

#[derive(Default)]
struct Content {
    /// How often the store has come back from an older copy.
    era: u64,
    /// Whether every call gets 503.
    down: bool,
    /// Copies of the last seconds, oldest first.
    copies: Vec<Copy>,
    revision: u64,
    /// Sorted by key.
    items: Vec<Item>,
    history: Vec<Change>,
    /// Id, end and term.
    leases: Vec<(u64, Instant, Duration)>,
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64, others: Vec<(usize, String)>) {
        self.revision += 1;
        let found = self
            .items
            .binary_search_by(|item| item.key.as_str().cmp(key));
        let created = found.map_or(self.revision, |index| self.items[index].created);
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision,
            created,
            lease,
            others,
        };
        match found {
            Ok(index) => self.items[index] = item.clone(),
            Err(index) => self.items.insert(index, item.clone()),
        }
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if let Ok(index) = self
            .items
            .binary_search_by(|item| item.key.as_str().cmp(key))
        {
            self.items.remove(index);
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|lease| lease.1 < now)
            .map(|lease| lease.0)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) -> bool {
        let before = self.leases.len();
        self.leases.retain(|(id, ..)| *id != lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|item| item.lease == lease)
            .map(|item| item.key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
        self.leases.len() < before
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items
            .iter()
            .find(|item| item.key == key)
            .map_or(0, |item| item.revision)
    }
}

fn row(item: &Item, view: usize) -> String {
    let other = item.others.iter().find(|(other, _)| *other == view);
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"create_revision":{},"lease":{}}}"#,
        Json::Text(item.key.clone()),
        other.map_or(&item.value, |(_, value)| value),
        item.revision,
        item.created,
        item.lease
    )
}

/// The store; clones share its content.
#[derive(Clone, Default)]
pub struct Store {
    content: Arc<Mutex<Content>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts a server for it. While `silent` is set, calls to this server get no answer, and the
    /// channels on which they came return nothing further. `view` selects the values that are told.
    pub fn serve(&self, view: usize, silent: &Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (store, silent) = (self.clone(), Arc::clone(silent));
        serve(
            listener,
            Arc::new(move |request, connection| {
                let (status, body) = store.call(request, view);
                if silent.load(Ordering::Relaxed) {
                    while silent.load(Ordering::Relaxed) {
                        thread::sleep(Duration::from_millis(20));
                    }
                    return Ok(false);
                }
                let era = store.content.lock().expect("store").era.to_string();
                connection.answer(
                    status,
                    &[("Content-Type", "application/json"), ("Store-Era", &era)],
                    body.as_bytes(),
                )?;
                Ok(true)
            }),
        );
        address
    }

    /// Keeps copies of the last ten seconds.
    pub fn keep_copies(&self) {
        let store = self.clone();
        thread::spawn(move || {
            loop {
                let mut content = store.content.lock().expect("store");
                content
                    .copies
                    .retain(|(at, ..)| at.elapsed() < Duration::from_secs(10));
                let copy = (
                    Instant::now(),
                    content.revision,
                    content.items.clone(),
                    content.leases.clone(),
                );
                content.copies.push(copy);
                drop(content);
                thread::sleep(Duration::from_millis(50));
            }
        });
    }

    /// Makes every call fail with 503, or succeed again.
    pub fn set_down(&self, down: bool) {
        self.content.lock().expect("store").down = down;
        self.changed.notify_all();
    }

    /// Goes back to the copy of `age` ago. What the system has written since is gone, leases too, and
    /// revisions are given out again. What the operator and the runners have written stays.
    pub fn restore(&self, age: Duration) {
        let mut content = self.content.lock().expect("store");
        let copy = content
            .copies
            .iter()
            .rev()
            .find(|(at, ..)| at.elapsed() >= age);
        let (_, revision, items, leases) = copy.expect("a copy that old").clone();
        let written: Vec<Item> = content
            .items
            .iter()
            .filter(|item| !item.key.starts_with("coltsfoothall/"))
            .cloned()
            .collect();
        content.era += 1;
        content.revision = revision;
        content.history.retain(|(at, ..)| *at <= revision);
        content.items = items;
        content.leases = leases;
        content.copies.clear();
        for item in written {
            let found = content.items.iter().find(|old| old.key == item.key);
            if found.is_none_or(|old| old.value != item.value) {
                content.put(&item.key, item.value, 0, item.others);
            }
        }
        drop(content);
        self.changed.notify_all();
    }

    /// Writes as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        self.put_for(key, value, &[]);
    }

    /// Writes a value of which some views are told another one.
    pub fn put_for(&self, key: &str, value: &str, others: &[(usize, String)]) {
        let others = others
            .iter()
            .map(|(view, value)| (*view, base64(value.as_bytes())))
            .collect();
        self.content
            .lock()
            .expect("store")
            .put(key, base64(value.as_bytes()), 0, others);
        self.changed.notify_all();
    }

    /// Removes a key as the platform does.
    pub fn delete(&self, key: &str) {
        self.content.lock().expect("store").delete(key);
        self.changed.notify_all();
    }

    fn call(&self, request: &Request, view: usize) -> (u16, String) {
        if self.content.lock().expect("store").down {
            return (503, "{}".to_owned());
        }
        let path = request.path();
        let done = match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => self.key(request, view),
            ("GET", "/api/kv-range") => self.range(request, view),
            ("GET", "/api/kv-watch") => return self.watch(request, view),
            ("POST", "/api/kv-txn") => self.transact(request),
            ("POST", "/api/kv-lease") => self.lease(request),
            ("POST", _) if path.starts_with("/api/kv-keep/") => self.keep(path),
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
                let ended = number_at_end(path)
                    .is_some_and(|lease| self.content.lock().expect("store").end(lease));
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        self.changed.notify_all();
        done
    }

    fn key(&self, request: &Request, view: usize) -> (u16, String) {
        let mut content = self.content.lock().expect("store");
        content.expire();
        let key = request.query("key").unwrap_or("");
        match content.items.iter().find(|item| item.key == key) {
            Some(item) => {
                let row = row(item, view);
                (
                    200,
                    format!(
                        r#"{},"current_rev":{}}}"#,
                        &row[..row.len() - 1],
                        content.revision
                    ),
                )
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request, view: usize) -> (u16, String) {
        let mut content = self.content.lock().expect("store");
        content.expire();
        let prefix = request.query("path_prefix").unwrap_or("");
        let after = request.query("after").unwrap_or("");
        let items = content
            .items
            .iter()
            .filter(|item| item.key.starts_with(prefix) && item.key.as_str() > after);
        let rows: Vec<String> = items.map(|item| row(item, view)).collect();
        (
            200,
            format!(
                r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
                rows.join(","),
                content.revision
            ),
        )
    }

    fn watch(&self, request: &Request, view: usize) -> (u16, String) {
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let prefix = request.query("path_prefix").unwrap_or("");
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut content = self.content.lock().expect("store");
        loop {
            content.expire();
            if content.down {
                return (503, "{}".to_owned());
            }
            if after > content.revision {
                return (410, "{}".to_owned());
            }
            let changes = content
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => row(item, view),
                    None => format!(
                        r#"{{"key":{},"revision":{revision},"removed":true}}"#,
                        Json::Text(key.clone())
                    ),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                return (
                    200,
                    format!(
                        r#"{{"events":[{}],"current_rev":{}}}"#,
                        events.join(","),
                        content.revision
                    ),
                );
            }
            let (guard, _) = self
                .changed
                .wait_timeout(content, Duration::from_millis(100))
                .expect("store");
            content = guard;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(call) = Json::parse(&request.text()) else {
            return (400, "{}".to_owned());
        };
        let list = |name: &str| call.get(name).map_or(&[][..], Json::list).to_vec();
        let text =
            |row: &Json, name: &str| row.get(name).and_then(Json::text).unwrap_or("").to_owned();
        let mut content = self.content.lock().expect("store");
        content.expire();
        for expect in list("expect") {
            let wanted = expect.get("revision").and_then(Json::number);
            if Some(content.revision_of(&text(&expect, "key"))) != wanted {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        let lease = |put: &Json| put.get("lease").and_then(Json::number).unwrap_or(0);
        let puts = list("puts");
        if puts
            .iter()
            .map(lease)
            .any(|id| id > 0 && !content.leases.iter().any(|known| known.0 == id))
        {
            return (404, "{}".to_owned());
        }
        for put in &puts {
            content.put(
                &text(put, "key"),
                text(put, "value"),
                lease(put),
                Vec::new(),
            );
        }
        for key in list("deletes") {
            content.delete(key.text().unwrap_or(""));
        }
        (200, format!(r#"{{"revision":{}}}"#, content.revision))
    }

    fn lease(&self, request: &Request) -> (u16, String) {
        let millis =
            Json::parse(&request.text()).and_then(|call| call.get("ttl_ms").and_then(Json::number));
        let term = Duration::from_millis(millis.unwrap_or(0).max(1_000));
        let mut content = self.content.lock().expect("store");
        content.revision += 1;
        let lease = content.revision;
        content.leases.push((lease, Instant::now() + term, term));
        (
            200,
            format!(r#"{{"lease":{lease},"ttl_ms":{}}}"#, term.as_millis()),
        )
    }

    fn keep(&self, path: &str) -> (u16, String) {
        let mut content = self.content.lock().expect("store");
        content.expire();
        let id = number_at_end(path);
        match content.leases.iter_mut().find(|lease| Some(lease.0) == id) {
            Some((_, until, term)) => {
                *until = Instant::now() + *term;
                (200, format!(r#"{{"ttl_ms":{}}}"#, term.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn number_at_end(path: &str) -> Option<u64> {
    path.rsplit('/').next()?.parse().ok()
}

/// The duty interface, which accepts every call whose fencing token is not outdated for its subject.
/// Clones share their state.
#[derive(Clone, Default)]
pub struct Duties {
    /// Usage reports that were accepted: when, the window and the counts.
    pub reports: Arc<Mutex<Vec<(Instant, u64, String)>>>,
    /// The highest fencing token of each subject.
    fences: Arc<Mutex<Vec<(String, u64)>>>,
}

impl Duties {
    /// Starts a server for it.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let duties = self.clone();
        serve(
            listener,
            Arc::new(move |request: &Request, connection: &mut Connection| {
                let status = if duties.accepts(request) { 200 } else { 409 };
                connection.answer(status, &[], b"{}")?;
                Ok(true)
            }),
        );
        address
    }

    fn accepts(&self, request: &Request) -> bool {
        let fence = request.header("coltsfoothall-fencing-token");
        let fence: u64 = fence.and_then(|fence| fence.parse().ok()).unwrap_or(0);
        let call = Json::parse(&request.text()).unwrap_or(Json::Null);
        let text = |name: &str| call.get(name).and_then(Json::text).unwrap_or("");
        let subject = format!("{} {} {}", request.path(), text("service"), text("zone"));
        let mut fences = self.fences.lock().expect("duties");
        match fences.iter_mut().find(|(known, _)| *known == subject) {
            Some((_, highest)) if fence < *highest => return false,
            Some((_, highest)) => *highest = fence,
            None => fences.push((subject, fence)),
        }
        if request.path() == "/usage" {
            let window = call.get("window").and_then(Json::number).unwrap_or(0);
            let counts = call.get("counts").map(Json::to_string).unwrap_or_default();
            self.reports
                .lock()
                .expect("reports")
                .push((Instant::now(), window, counts));
        }
        true
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let bits = three
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for index in 0..4 {
            let sextet = (bits >> (18 - 6 * index)) as usize & 63;
            text.push(if index <= three.len() {
                ALPHABET[sextet] as char
            } else {
                '='
            });
        }
    }
    text
}
