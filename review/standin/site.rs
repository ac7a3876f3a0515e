//! A small deployment: the platform's stand-ins, runners, and instances of the project's program.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::Setup;
use crate::http::{Connection, Handler, serve};
use crate::process;
use crate::store::{Duties, Store};

/// The key of the only tenant.
pub const KEY: &str = "key-film-1";
/// The host of all routes.
pub const HOST: &str = "desk.example";

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: SystemTime,
}

impl Record {
    pub fn new(path: &PathBuf) -> std::io::Result<Self> {
        File::create(path)?;
        Self::join(path, SystemTime::now())
    }

    /// The record of another process, which began at `start`.
    pub fn join(path: &PathBuf, start: SystemTime) -> std::io::Result<Self> {
        let file = File::options().append(true).open(path)?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            start,
        })
    }

    /// Milliseconds from 1970 to the start.
    pub fn start_ms(&self) -> u64 {
        let start = self.start.duration_since(SystemTime::UNIX_EPOCH);
        start.map_or(0, |start| start.as_millis() as u64)
    }

    pub fn line(&self, text: &str) {
        let millis = self
            .start
            .elapsed()
            .map_or(0, |elapsed| elapsed.as_millis());
        let line = format!("{:>7.3} {text}\n", millis as f64 / 1e3);
        let mut file = self.file.lock().expect("record");
        let _ignored = file.write_all(line.as_bytes());
    }
}

/// What differs between the configurations of the cases.
pub struct Routes {
    /// Time limit of the routes to the plain service, in milliseconds.
    pub plain_ms: u64,
}

/// The operator's configuration: plain services `desk` and `desk2`, and a model service `reader`.
/// `book` is the service of non-idempotent requests.
pub fn configuration(version: u32, book: &str, routes: &Routes) -> String {
    let route = |path: &str,
                 kind: &str,
                 service: &str,
                 timeout: u64,
                 target: u64,
                 attempts: u32,
                 resume: bool| {
        format!(
            r#"{{"name":"r-{0}","host":"{HOST}","path_prefix":"/{0}/","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"priority":1,"service":"{service}","max_attempts":{attempts},"public":false,"session_affinity":{1},"stream_resume":{resume},"gap_aim_ms":800}}"#,
            path,
            service == "reader"
        )
    };
    let routes = [
        route(
            "lookup",
            "idempotent",
            "desk",
            routes.plain_ms,
            150,
            2,
            false,
        ),
        route(
            "book",
            "non_idempotent",
            book,
            routes.plain_ms,
            150,
            1,
            false,
        ),
        route("summary", "stream", "reader", 3_000, 800, 2, true),
        route("opinion", "stream", "reader", 15_000, 1_200, 1, false),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}},{{"name":"desk2","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}},{{"name":"reader","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":684373,"kv_bytes":163840,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"film","api_keys":["{KEY}"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":0,"burst":0}}]}}"#,
        routes.join(",")
    )
}

/// A running instance; it is killed when this is dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    process: Child,
}

impl Node {
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        process::kill(&mut self.process);
    }

    /// Kills the process and starts it again. The whole system doesn't start for the first time then.
    pub fn restart(&mut self) {
        self.kill();
        let text = std::fs::read_to_string(&self.settings).expect("the settings are read");
        let text = text.replace("first_start: true\n", "");
        std::fs::write(&self.settings, text).expect("the settings are written");
        self.process =
            spawn(&self.program, &self.settings, &self.name).expect("the program starts");
    }

    pub fn is_ready(&self) -> bool {
        let asked = Connection::open(self.readiness).and_then(|mut connection| {
            connection
                .stream
                .set_read_timeout(Some(Duration::from_secs(1)))?;
            connection
                .stream
                .write_all(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            connection.response()
        });
        asked.is_ok_and(|answer| answer.status == 200)
    }

    /// A line of /proc/PID/status in MB, such as `VmRSS`.
    pub fn memory_mb(&self, name: &str) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with(name))
            .unwrap_or("");
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse::<u64>().ok())
            .unwrap_or(0)
            / 1024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        process::kill(&mut self.process);
    }
}

/// Starts the command of the deploy file.
fn spawn(program: &PathBuf, settings: &PathBuf, name: &str) -> std::io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_file_name(format!("{name}.log")))?;
    let errors = log.try_clone()?;
    let mut command = Command::new(program);
    command
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    process::start(&mut command)
}

/// The deployment.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub duties: Duties,
    duties_address: SocketAddr,
    directory: PathBuf,
    program: PathBuf,
    /// Ports of the first instance: for peers, requesters, readiness, directory and control.
    ports: Option<[u16; 5]>,
    seeds: Vec<SocketAddr>,
    started: u8,
}

impl Site {
    /// Starts the platform's stand-ins and writes the configuration.
    pub fn new(setup: &Setup, routes: &Routes) -> Self {
        let (store, duties) = (Store::default(), Duties::default());
        store.put("op/config", &configuration(7, "desk", routes));
        Self {
            record: setup.record.clone(),
            store,
            duties_address: duties.serve(),
            duties,
            directory: setup.scratch.clone(),
            program: setup.program.clone(),
            ports: None,
            seeds: Vec::new(),
            started: 0,
        }
    }

    /// Starts a runner on a free port and registers it as ready.
    pub fn runner(&self, id: &str, service: &str, slots: u32, handler: Arc<Handler>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        serve(listener, handler);
        self.register(id, service, slots, address, "ready");
        address
    }

    /// Writes the entry of a runner.
    pub fn register(&self, id: &str, service: &str, slots: u32, address: SocketAddr, state: &str) {
        self.register_with(id, service, slots, address, state, "");
    }

    /// Writes the entry of a runner with further fields, each with a comma before it.
    pub fn register_with(
        &self,
        id: &str,
        service: &str,
        slots: u32,
        address: SocketAddr,
        state: &str,
        more: &str,
    ) {
        self.store.put(
            &format!("servers/{id}"),
            &entry(service, slots, address, state, more),
        );
        self.record
            .line(&format!("runner {id} of {service}: {state} {more}"));
    }

    /// Starts an instance on a loopback address of its own, with the settings that the platform
    /// renders from deploy/node.yaml, and waits until it is ready.
    pub fn node(&mut self, zone: &str) -> Node {
        self.node_with(zone, &Arc::default())
    }

    /// Starts an instance whose calls to the store get no answer while `silent` is set. Its view of
    /// the store has the number of the instance, from 1.
    pub fn node_with(&mut self, zone: &str, silent: &Arc<AtomicBool>) -> Node {
        self.started += 1;
        let store_address = self.store.serve(usize::from(self.started), silent);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 1 + high % 250, low, 10 + self.started));
        // Ports are the same on all machines.
        let bind = |port: u16| TcpListener::bind((ip, port)).expect("the port is free");
        let listeners = match self.ports {
            Some(ports) => ports.map(bind),
            None => loop {
                let listeners = [(); 5].map(|()| bind(0));
                if UdpSocket::bind(listeners[0].local_addr().expect("an address")).is_ok() {
                    break listeners;
                }
            },
        };
        let [peer, front, readiness, directory, control] = listeners
            .each_ref()
            .map(|one| one.local_addr().expect("an address"));
        let peer_port = peer.port();
        self.ports =
            Some([peer, front, readiness, directory, control].map(|address| address.port()));
        self.seeds.push(control);
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .take(3)
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let name = format!("front-{zone}-{}", self.started);
        let text = format!(
            "instance: {name}\ndomain: {zone}\nlisten:\n  front: {front}\n  readiness: {readiness}\n  directory: {directory}\n  control: {control}\npeer_port: {peer_port}\nseeds: [{}]\nstore: {}\nstore_history: 20000\ncloud: {}\nlink: 1000.0\nfirst_start: true\nduties: [usage, autoscale]\nbounds:\n  grace: 8000\n  lease: 3000\n  retry_ratio: 0.2\n  retry_slack: 58\n  retry_window: 10000\n  usage_window: 5000\n  usage_due: 10000\n  drain: 2000\noverload: [offered_load, forecast, retry_after]\nlog:\n  level: info\n  stream: stdout\n",
            seeds.join(", "),
            store_address,
            self.duties_address
        );
        let settings = self.directory.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("the settings are written");
        drop(listeners);
        let process = spawn(&self.program, &settings, &name).expect("the program starts");
        let node = Node {
            name,
            front,
            readiness,
            settings,
            program: self.program.clone(),
            process,
        };
        wait_for("the instance is ready", Duration::from_secs(15), || {
            node.is_ready()
        });
        self.record
            .line(&format!("instance {} is ready", node.name));
        node
    }
}

/// The entry of a runner.
pub fn entry(service: &str, slots: u32, address: SocketAddr, state: &str, more: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"north","version":"v1","slots":{slots},"state":"{state}","cold_remaining_ms":0,"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":4{more}}}"#
    )
}

/// Waits until a condition holds; ends the case as one that could not run otherwise.
pub fn wait_for(what: &str, within: Duration, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + within;
    while !holds() {
        if Instant::now() > until {
            panic!("timed out: {what}");
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// The head of a request up to its framing, without the empty line.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nColtsfoothall-Request-Id: {id}\r\nColtsfoothall-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n"
    )
}
