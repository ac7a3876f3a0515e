//! Small stand-ins of the platform, its runners and its requesters, and processes of the real
//! program beside them. Only the standard library is used.

// Each case uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

// ---------------------------------------------------------------- the record

/// Writes `record.txt`: one line for everything that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

/// Whether the case is played with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(rows) => rows
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

pub fn parse_json(text: &[u8]) -> Option<Json> {
    let mut parser = Parser { text, at: 0 };
    parser.value()
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.at < self.text.len() && self.text[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                while self.peek()? != b'}' {
                    let key = self.string()?;
                    self.take(b':')?;
                    rows.push((key, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Table(rows))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != b']' {
                    items.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.at < self.text.len()
                    && b"+-.eE0123456789".contains(&self.text[self.at])
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            bytes.extend(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let mut found = fields.filter(|(key, _)| *key == name);
        found.next().map_or_else(String::new, |(_, value)| unescape(value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers
        .iter()
        .find(|(have, _)| have.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            plain.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            at += 3;
        } else {
            plain.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// A buffered connection.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of requests that were read.
    pub requests: u64,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
            requests: 0,
        }
    }

    /// Whether the other side has closed the channel.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// The lines of a head, without the empty one; none at the end of the connection.
    fn head(&mut self) -> io::Result<Option<Vec<String>>> {
        loop {
            if let Some(end) = position(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(head.split("\r\n").map(ToOwned::to_owned).collect()));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = position(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn body(&mut self, headers: &[(String, String)], to_end: bool) -> io::Result<Vec<u8>> {
        if find(headers, "transfer-encoding").contains("chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size)?);
                self.line()?;
            }
        }
        if let Ok(length) = find(headers, "content-length").parse() {
            return self.exactly(length);
        }
        if !to_end {
            return Ok(Vec::new());
        }
        while self.fill()? > 0 {}
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads a request; none at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(lines) = self.head()? else {
            return Ok(None);
        };
        self.requests += 1;
        let mut words = lines[0].split(' ');
        let headers = fields(&lines[1..]);
        let body = self.body(&headers, false)?;
        Ok(Some(Request {
            method: words.next().unwrap_or("").into(),
            target: words.next().unwrap_or("").into(),
            headers,
            body,
        }))
    }

    /// Reads the head of a response, 1xx left out.
    pub fn response_head(&mut self) -> io::Result<Reply> {
        loop {
            let lines = self.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let status = lines[0].split(' ').nth(1).and_then(|word| word.parse().ok());
            let status = status.ok_or(io::ErrorKind::InvalidData)?;
            if status >= 200 {
                let headers = fields(&lines[1..]);
                return Ok(Reply {
                    status,
                    headers,
                    body: Vec::new(),
                });
            }
        }
    }

    /// Reads a whole response.
    pub fn response(&mut self) -> io::Result<Reply> {
        let mut reply = self.response_head()?;
        reply.body = self.body(&reply.headers, true)?;
        Ok(reply)
    }

    /// Reads the body that belongs to a head.
    pub fn rest(&mut self, head: &Reply) -> io::Result<Vec<u8>> {
        self.body(&head.headers, true)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn fields(lines: &[String]) -> Vec<(String, String)> {
    lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn position(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// A response with a length.
pub fn whole(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Answers each request of a connection; the connection ends when `handle` returns false.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(Request, &mut Wire) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(Some(request)) = wire.request() {
                    if !handle(request, &mut wire) {
                        return;
                    }
                }
            });
        }
    });
}

// ---------------------------------------------------------------- addresses

/// A loopback address that no other process of this run uses.
pub fn next_ip() -> Ipv4Addr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 200, low, 2 + (next % 250) as u8)
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

// ---------------------------------------------------------------- the store

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default, Clone)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
    pub address: SocketAddr,
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.into(), item.clone());
        self.history.push(Change {
            key: key.into(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change {
                key: key.into(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
        known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn start() -> Self {
        let (listener, address) = listen();
        let store = Self {
            shared: Arc::new((
                Mutex::new(Content {
                    revision: 100,
                    ..Content::default()
                }),
                Condvar::new(),
            )),
            address,
        };
        let serving = store.clone();
        serve(listener, move |request, wire| {
            let (status, body) = serving.call(&request);
            let headers = [("content-type", "application/json")];
            wire.send(&whole(status, &headers, body.as_bytes())).is_ok()
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.content().expire();
                expiring.shared.1.notify_all();
            }
        });
        store
    }

    fn content(&self) -> std::sync::MutexGuard<'_, Content> {
        self.shared.0.lock().unwrap()
    }

    /// Writes a value as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.content();
        content.put(key, base64(value.as_bytes()), 0);
        drop(content);
        self.shared.1.notify_all();
    }

    /// Removes a key as the platform does.
    pub fn delete(&self, key: &str) {
        let mut content = self.content();
        content.delete(key);
        drop(content);
        self.shared.1.notify_all();
    }

    fn call(&self, request: &Request) -> (u16, String) {
        let none = || (404, "{}".to_owned());
        match (request.method.as_str(), request.path()) {
            ("GET", "/api/kv-key") => {
                let key = request.query("key");
                let content = self.content();
                content
                    .items
                    .get(&key)
                    .map_or_else(none, |item| (200, row(&key, item)))
            }
            ("GET", "/api/kv-range") => self.range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.txn(request),
            ("POST", "/api/kv-lease") => {
                let ttl = parse_json(&request.body).map_or(1_000, |call| call.get("ttl_ms").number());
                let term = Duration::from_millis(ttl);
                let mut content = self.content();
                content.revision += 1;
                let lease = content.revision;
                content.leases.insert(lease, (Instant::now() + term, term));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let mut content = self.content();
                content.expire();
                match lease.and_then(|lease: u64| content.leases.get_mut(&lease)) {
                    Some((until, term)) => {
                        *until = Instant::now() + *term;
                        (200, format!("{{\"ttl_ms\":{}}}", term.as_millis()))
                    }
                    None => none(),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let ended = self.content().end_lease(lease.unwrap_or(0));
                self.shared.1.notify_all();
                if ended { (200, "{}".into()) } else { none() }
            }
            _ => none(),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let (prefix, after) = (request.query("path_prefix"), request.query("after"));
        let content = self.content();
        let rows: Vec<String> = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| row(key, item))
            .collect();
        let more = rows.len() > 500;
        let rows = rows[..rows.len().min(500)].join(",");
        let revision = content.revision;
        (
            200,
            format!("{{\"items\":[{rows}],\"has_more\":{more},\"current_rev\":{revision}}}"),
        )
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("path_prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (lock, changed) = &*self.shared;
        let mut content = lock.lock().unwrap();
        loop {
            let oldest = content.history.first().map_or(content.revision, |change| change.revision);
            if after > content.revision || after + 1 < oldest {
                return (410, "{}".into());
            }
            let rows: Vec<String> = content
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => row(&change.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                let (rows, revision) = (rows.join(","), content.revision);
                return (200, format!("{{\"events\":[{rows}],\"current_rev\":{revision}}}"));
            }
            content = changed.wait_timeout(content, until - now).unwrap().0;
        }
    }

    fn txn(&self, request: &Request) -> (u16, String) {
        let Some(call) = parse_json(&request.body) else {
            return (400, "{}".into());
        };
        let mut content = self.content();
        content.expire();
        for expect in call.get("expect").list() {
            let key = expect.get("key").text();
            let have = content.items.get(key).map_or(0, |item| item.revision);
            if have != expect.get("revision").number() {
                return (412, "{\"items\":[]}".into());
            }
        }
        for put in call.get("puts").list() {
            let lease = put.get("lease").number();
            if lease > 0 && !content.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
        }
        for put in call.get("puts").list() {
            let (key, value) = (put.get("key").text(), put.get("value").text());
            content.put(key, value.into(), put.get("lease").number());
        }
        for key in call.get("deletes").list() {
            content.delete(key.text());
        }
        let revision = content.revision;
        drop(content);
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

// ---------------------------------------------------------------- the duty interface

/// A usage report or an order that the platform took.
#[derive(Debug, Clone)]
pub struct Act {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: String,
}

#[derive(Clone)]
pub struct Cloud {
    pub acts: Arc<Mutex<Vec<Act>>>,
    pub address: SocketAddr,
}

impl Cloud {
    pub fn start(record: &Record) -> Self {
        let (listener, address) = listen();
        let cloud = Self {
            acts: Arc::default(),
            address,
        };
        let serving = cloud.clone();
        let record = record.clone();
        serve(listener, move |request, wire| {
            let act = Act {
                path: request.path().into(),
                holder: request.header("coltsfoothall-duty-holder").into(),
                fence: request.header("coltsfoothall-fencing-token").parse().unwrap_or(0),
                body: String::from_utf8_lossy(&request.body).into_owned(),
            };
            let status = {
                let mut acts = serving.acts.lock().unwrap();
                let same = acts.iter().filter(|other| other.path == act.path);
                let highest = same.map(|other| other.fence).max().unwrap_or(0);
                if act.fence < highest {
                    409
                } else {
                    acts.push(act.clone());
                    200
                }
            };
            record.line(&format!(
                "platform {} holder={} fence={} {} -> {status}",
                act.path, act.holder, act.fence, act.body
            ));
            wire.send(&whole(status, &[], b"{}")).is_ok()
        });
        cloud
    }
}

// ---------------------------------------------------------------- processes

/// Addresses of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub peer_port: u16,
}

impl Addresses {
    pub fn free(peer_port: Option<u16>) -> Self {
        let ip = next_ip();
        let peer = loop {
            let peer = TcpListener::bind((ip, peer_port.unwrap_or(0))).expect("a free port");
            if UdpSocket::bind(peer.local_addr().unwrap()).is_ok() {
                break peer;
            }
        };
        let listeners = [(); 4].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
        let [front, readiness, directory, control] =
            listeners.each_ref().map(|one| one.local_addr().unwrap());
        Self {
            front,
            readiness,
            directory,
            control,
            peer_port: peer.local_addr().unwrap().port(),
        }
    }

}

/// Settings of an instance, as `deploy/node.yaml` fills them in on a small deployment.
#[derive(Clone)]
pub struct Launch {
    pub name: String,
    pub zone: String,
    pub addresses: Addresses,
    pub seeds: Vec<SocketAddr>,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    pub usage_window_s: u64,
    pub memory_mb: u64,
    pub folder: PathBuf,
}

impl Launch {
    fn settings(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let a = &self.addresses;
        format!(
            "instance: {}\ndomain: {}\nlisten:\n  front: {}\n  readiness: {}\n  directory: {}\n  \
             control: {}\npeer_port: {}\nseeds: [{}]\nstore: {}\nstore_history: 20000\ncloud: {}\n\
             link: 1000\nmemory: {}\ndescriptors: 4100\nduties: [usage, autoscale]\nbounds:\n  \
             grace: 8000\n  lease: 3000\n  retry_ratio: 0.2\n  retry_slack: 56\n  \
             retry_window: 10000\n  usage_window: {}000\n  usage_due: 10000\n  drain: 2000\n\
             overload: [offered_load, forecast, retry_after]\nlog:\n  level: info\n  \
             stream: stdout\n",
            self.name,
            self.zone,
            a.front,
            a.readiness,
            a.directory,
            a.control,
            a.peer_port,
            seeds.join(", "),
            self.store,
            self.cloud,
            self.memory_mb,
            self.usage_window_s,
        )
    }

    /// Starts the process with the command of the deploy file. Its log goes to a file in the
    /// temporary folder.
    pub fn start(&self) -> Node {
        let file = self.folder.join(format!("{}.yaml", self.name));
        std::fs::write(&file, self.settings()).expect("settings");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("log");
        let process = Command::new("target/release/coltsfoothall-node")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release/coltsfoothall-node");
        Node {
            launch: self.clone(),
            process,
        }
    }
}

/// An instance, which is killed when it is dropped.
pub struct Node {
    pub launch: Launch,
    process: Child,
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        self.launch.addresses.front
    }

    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        let _ = Command::new("kill").args([signal, &id]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    pub fn is_ready(&self) -> bool {
        get(self.launch.addresses.readiness, "/api/ready").is_some_and(|reply| reply.status == 200)
    }

    /// Waits until it is ready; false after 15 s.
    pub fn wait_ready(&self) -> bool {
        wait_for(Duration::from_secs(15), || self.is_ready())
    }

    /// The addresses that its directory names.
    pub fn listed(&self) -> usize {
        let path = format!("/api/resolve?name=h.example&region=r&zone={}", self.launch.zone);
        let Some(reply) = get(self.launch.addresses.directory, &path) else {
            return 0;
        };
        parse_json(&reply.body).map_or(0, |answer| answer.get("addresses").list().len())
    }

}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal("-CONT");
        self.kill();
    }
}

pub fn get(address: SocketAddr, path: &str) -> Option<Reply> {
    let mut wire = Wire::open(address, Duration::from_secs(2)).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    wire.send(head.as_bytes()).ok()?;
    wire.response().ok()
}

pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(30));
    }
    false
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        let name = format!("review-{}-{}", std::process::id(), now.subsec_nanos());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        } else {
            eprintln!("kept {}", self.0.display());
        }
    }
}

// ---------------------------------------------------------------- a small deployment

/// The configuration: a route of each kind, two tenants, one service.
pub fn config(version: u64, service: &str, keys: &str) -> String {
    let route = |path: &str, kind: &str, attempts: u32, resume: bool| {
        format!(
            "{{\"name\":\"{path}\",\"host\":\"h.example\",\"path_prefix\":\"{path}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\
             \"session_affinity\":false,\"stream_resume\":{resume},\"gap_aim_ms\":800}}"
        )
    };
    let routes = [
        route("/safe/", "idempotent", 2, false),
        route("/once/", "non_idempotent", 1, false),
        route("/go/", "stream", 2, true),
        route("/flow/", "stream", 1, false),
    ]
    .join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[\
         {{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"shop\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":5000}},\"tenants\":[{{\"name\":\"film\",\"api_keys\":[{keys}],\
         \"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// The registration of a runner.
pub fn entry(service: &str, address: SocketAddr, state: &str, sequence: u64, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"north\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"sequence\":{sequence},\"born\":{born}}}"
    )
}

/// The head of a requester's request, without its length and the empty line.
pub fn request_head(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nColtsfoothall-Request-Id: {id}\r\n\
         Coltsfoothall-Deadline-Ms: 15000\r\nAuthorization: Token key-1\r\n{more}"
    )
}

/// The platform and the instances of one case.
pub struct Deployment {
    pub nodes: Vec<Node>,
    pub store: Store,
    pub cloud: Cloud,
    pub record: Record,
    folder: Folder,
}

/// Time after which a case gives up, below the 120 s that it may take.
const CASE_LIMIT: Duration = Duration::from_secs(110);

impl Deployment {
    /// The store and the duty interface, with a configuration in which `desk` serves all routes.
    pub fn new(case: u32) -> Self {
        let record = Record::create(Path::new(&format!("review/{case}/record.txt")));
        let record = record.expect("record.txt");
        let (store, cloud) = (Store::start(), Cloud::start(&record));
        store.put("op/config", &config(3, "desk", "\"key-1\""));
        Self {
            nodes: Vec::new(),
            store,
            cloud,
            record,
            folder: Folder::new(),
        }
    }

    /// Starts instances and waits until all are ready and know each other; false if they don't.
    pub fn start(&mut self, count: usize) -> bool {
        let mut all: Vec<Addresses> = Vec::new();
        for _ in 0..count {
            let port = all.first().map(|first| first.peer_port);
            all.push(Addresses::free(port));
        }
        let seeds: Vec<SocketAddr> = all.iter().take(3).map(|one| one.control).collect();
        for (index, addresses) in all.iter().enumerate() {
            let launch = Launch {
                name: format!("front-{}", index + 1),
                zone: "north".into(),
                addresses: *addresses,
                seeds: seeds.clone(),
                store: self.store.address,
                cloud: self.cloud.address,
                usage_window_s: 5,
                memory_mb: 260,
                folder: self.folder.0.clone(),
            };
            self.nodes.push(launch.start());
        }
        let processes: Vec<u32> = self.nodes.iter().map(|node| node.process.id()).collect();
        thread::spawn(move || {
            thread::sleep(CASE_LIMIT);
            for process in processes {
                let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
            }
            eprintln!("the case took too long");
            std::process::exit(2);
        });
        self.nodes.iter().all(Node::wait_ready)
            && wait_for(Duration::from_secs(15), || {
                self.nodes.iter().all(|node| node.listed() == count)
            })
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::front).collect()
    }

    /// Whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.nodes.iter_mut().all(|node| !node.has_ended())
    }
}

/// Prints the verdict, and returns the exit code of the case.
pub fn verdict(record: &Record, broken: &[String]) -> std::process::ExitCode {
    for line in broken {
        record.line(&format!("BROKEN {line}"));
        println!("broken: {line}");
    }
    if broken.is_empty() {
        record.line("the rule held");
        println!("the rule held");
        std::process::ExitCode::SUCCESS
    } else {
        std::process::ExitCode::from(1)
    }
}

pub fn cannot_run(record: &Record, why: &str) -> std::process::ExitCode {
    record.line(&format!("cannot run: {why}"));
    println!("cannot run: {why}");
    std::process::ExitCode::from(2)
}
