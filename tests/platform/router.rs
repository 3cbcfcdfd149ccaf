//! Starts router processes on stand-ins of the platform.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::caller::{Answer, Caller};
use crate::standin::{Mode, Store, Upstream};

/// Limit of every wait for a condition or for the end of a process.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

// Each router has a loopback address of its own, so that all use the same ports.
const CALLER_PORT: u16 = 21_000;
const OPERATOR_PORT: u16 = 21_001;
const INTERNAL_PORT: u16 = 21_002;

/// Name of the first router of a fleet.
const DEFAULT_NAME: &str = "front-1";

/// Host of all routes.
pub const HOST: &str = "site.example";

/// API key of the only workspace.
pub const KEY: &str = "key-one";

/// Returns a loopback address that no other test uses. Each test process has four blocks of
/// addresses, derived from its process id.
pub fn unused_host() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let (block, number) = (next / 254, next % 254 + 1);
    assert!(block < 4, "out of loopback addresses: let upstreams of a test share one");
    let [.., high, low] = std::process::id().to_be_bytes();
    // Process ids that differ in these bits are not in use at the same time.
    let high = u16::from(high) ^ (block << 6);
    format!("127.{}.{low}.{number}", high.max(1))
}

/// Starts two upstreams of the plain service at one loopback address.
pub fn plain_pair() -> [Upstream; 2] {
    let host = unused_host();
    ["i-1", "i-2"].map(|name| Upstream::start(&host, name, "plain"))
}

/// A route of the configuration.
pub fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name,
        "host": HOST,
        "pathPrefix": format!("/{name}/"),
        "kind": kind,
        "timeoutMs": 5_000,
        "fullValueMs": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "allowAnonymous": false,
        "streamResumption": name == "resumed",
        "gapTargetMs": 400,
    })
}

/// A configuration with a route of each kind and a plain and an engine service.
pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", "plain"),
            route("unsafe", "unsafe", "plain"),
            route("stream", "streaming", "engine"),
            route("resumed", "streaming", "engine"),
        ],
        "services": [
            { "name": "plain", "healthPath": "/health", "connectionLimit": 100 },
            { "name": "engine", "healthPath": "/health", "connectionLimit": 100,
              "engine": { "slots": 8, "models": [{ "name": "m" }] } },
        ],
        "limits": { "headerBytes": 16384, "bodyBytes": 4_194_304, "headerMs": 3000, "idleMs": 15000 },
        "tenants": [{ "name": "workspace-one", "apiKeys": [KEY] }],
    })
}

/// A router process and its store; the process is killed on drop.
#[derive(Debug)]
pub struct Router {
    pub store: Store,
    pub host: String,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Router {
    /// Starts a router whose store contains `configuration` and `upstreams`, and waits until it is
    /// ready.
    pub fn start(configuration: &Value, upstreams: &[&Upstream]) -> Self {
        let router =
            Self::start_unready(&unused_host(), |store| fill(store, configuration, upstreams));
        router.wait_until("ready", || router.is_ready());
        router
    }

    /// Like [`Router::start`], at the first start of the whole fleet.
    pub fn start_first(configuration: &Value, upstreams: &[&Upstream]) -> Self {
        let host = unused_host();
        let store = Store::start(&host);
        fill(&store, configuration, upstreams);
        let text = format!("bootstrap = true\n{}", toml(&host, DEFAULT_NAME, &store));
        let log = std::fs::File::create(log_path(&host)).expect("the file is writable");
        let router = Self::spawn_with(&host, &text, log.into(), store);
        router.wait_until("ready", || router.is_ready());
        router
    }

    /// Like [`Router::start`], on a host with this much memory in MB and this many descriptors.
    #[allow(dead_code, reason = "for the tests of clients")]
    pub fn start_limited(
        configuration: &Value,
        upstreams: &[&Upstream],
        memory_mb: u64,
        descriptors: usize,
    ) -> Self {
        let host = unused_host();
        let store = Store::start(&host);
        fill(&store, configuration, upstreams);
        let limits = format!("[limits]\nmemoryMb = {memory_mb}\nfileDescriptors = {descriptors}\n");
        let text = format!("{}{limits}", toml(&host, DEFAULT_NAME, &store));
        let log = std::fs::File::create(log_path(&host)).expect("the file is writable");
        let router = Self::spawn_with(&host, &text, log.into(), store);
        router.wait_until("ready", || router.is_ready());
        router
    }

    /// Like [`Router::start`], with a log pipe that is never read.
    pub fn start_with_unread_log(configuration: &Value, upstreams: &[&Upstream]) -> Self {
        let router = Self::start_with(&unused_host(), Stdio::piped(), |store| {
            fill(store, configuration, upstreams);
        });
        router.wait_until("ready", || router.is_ready());
        router
    }

    /// Starts a router after `fill` has written to its store, without waiting until it is ready.
    pub fn start_unready(host: &str, fill: impl FnOnce(&Store)) -> Self {
        let log = std::fs::File::create(log_path(host)).expect("the file is writable");
        Self::start_with(host, log.into(), fill)
    }

    /// Starts a further router on `store` and waits until it is ready.
    pub fn join(store: &Store, name: &str) -> Self {
        let router = Self::join_unready(store, name);
        router.wait_until("ready", || router.is_ready());
        router
    }

    /// Starts a further router on `store` without waiting until it is ready.
    pub fn join_unready(store: &Store, name: &str) -> Self {
        let host = unused_host();
        let log = std::fs::File::create(log_path(&host)).expect("the file is writable");
        Self::spawn(&host, name, log.into(), store.clone())
    }

    fn start_with(host: &str, out: Stdio, fill: impl FnOnce(&Store)) -> Self {
        let store = Store::start(host);
        fill(&store);
        Self::spawn(host, DEFAULT_NAME, out, store)
    }

    fn spawn(host: &str, name: &str, out: Stdio, store: Store) -> Self {
        Self::spawn_with(host, &toml(host, name, &store), out, store)
    }

    /// Starts a router with the given text as its settings file.
    fn spawn_with(host: &str, text: &str, out: Stdio, store: Store) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let settings = folder.join(format!("platform-{host}.toml"));
        std::fs::write(&settings, text).expect("the file is writable");
        let child = Command::new(env!("CARGO_BIN_EXE_silverstack-router"))
            .env("SILVERSTACK_SETTINGS", &settings)
            .stdout(out)
            .spawn()
            .expect("the binary starts");
        let router = Self { store, host: host.to_owned(), child, settings, log: log_path(host) };
        router.wait_until("listening", || router.is_listening());
        router
    }

    /// The address for callers.
    pub fn caller_address(&self) -> String {
        format!("{}:{CALLER_PORT}", self.host)
    }

    /// The address for messages of other routers.
    pub fn internal_address(&self) -> String {
        format!("{}:{INTERNAL_PORT}", self.host)
    }

    /// The address for operators and the platform.
    #[allow(dead_code, reason = "for the tests of clients")]
    pub fn operator_address(&self) -> String {
        format!("{}:{OPERATOR_PORT}", self.host)
    }

    /// The id of the process.
    #[allow(dead_code, reason = "for the tests of clients")]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Opens a connection of a caller.
    pub fn caller(&self) -> Caller {
        Caller::connect(&self.caller_address())
    }

    /// Sends a request with the default headers and `further` ones on a new connection.
    pub fn request(&self, line: &str, further: &[(&str, &str)], body: &str) -> Option<Answer> {
        self.caller().request(line, &headers(further), body)
    }

    /// Whether the operator endpoint accepts connections.
    pub fn is_listening(&self) -> bool {
        std::net::TcpStream::connect((&*self.host, OPERATOR_PORT)).is_ok()
    }

    /// Whether the readiness endpoint answers 200.
    pub fn is_ready(&self) -> bool {
        let mut operator = Caller::connect(&format!("{}:{OPERATOR_PORT}", self.host));
        let answer = operator.request("GET /v1/ready", &[("host", "operators")], "");
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Fetches a page of the operator endpoint.
    pub fn page(&self, path: &str) -> String {
        let mut operator = Caller::connect(&format!("{}:{OPERATOR_PORT}", self.host));
        let answer = operator.request(&format!("GET {path}"), &[("host", "operators")], "");
        answer.expect("an answer").body
    }

    /// Waits until `condition` is true; `what` names it in the panic message.
    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let started = Instant::now();
        while !condition() {
            assert!(started.elapsed() < WAIT_TIMEOUT, "never {what}: {:?}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The complete lines of the log.
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let complete = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
        complete.map(|line| serde_json::from_str(line).expect("a JSON line")).collect()
    }

    /// Whether the log has a line with this message.
    pub fn has_logged(&self, message: &str) -> bool {
        self.log().iter().any(|line| line["payload"] == message)
    }

    /// Makes the history so long that the router reduces the scope of its polls. Returns the
    /// configuration that is then in force.
    pub fn reduce_polls(&self) -> Value {
        let mut long = configuration(2);
        long["note"] = "x".repeat(100_000).into();
        self.store.set_mode(Mode::Busy);
        self.wait_until("failing to poll the store", || {
            self.has_logged("the store does not answer")
        });
        // The history of these versions exceeds the 512 KB from which on polls are reduced.
        for version in 2..9 {
            long["version"] = version.into();
            self.store.put("op/config", &long);
        }
        self.store.set_mode(Mode::Up);
        self.wait_until("polling with a reduced scope", || {
            self.has_logged("store polls are reduced")
        });
        long
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the signal is sent");
    }

    /// The most memory that the process has used so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).expect("the process runs");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a line");
        let kilobytes = line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number");
        kilobytes * 1024
    }

    /// Path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Starts the process again with the same name, addresses and log, once it has ended.
    pub fn restart(&mut self) {
        let log = std::fs::File::options().append(true).open(&self.log);
        self.child = Command::new(env!("CARGO_BIN_EXE_silverstack-router"))
            .env("SILVERSTACK_SETTINGS", &self.settings)
            .stdout(log.expect("the log exists"))
            .spawn()
            .expect("the binary starts");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is waitable") {
                return status;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the process has not ended");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process is waitable").is_none()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes a configuration and upstreams to the store.
fn fill(store: &Store, configuration: &Value, upstreams: &[&Upstream]) {
    store.put("op/config", configuration);
    for upstream in upstreams {
        store.put(&upstream.key(), &upstream.entry("ready", 1));
    }
}

fn log_path(host: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{host}.log"))
}

/// The default headers of a request with `further` ones, which replace those of the same name.
pub fn headers<'a>(further: &[(&'a str, &'a str)]) -> Vec<(&'a str, &'a str)> {
    let defaults = [
        ("Host", HOST),
        ("Deadline-Remaining", "4000"),
        ("Authorization", "Bearer key-one"),
        ("Attempt-Identifier", "id-1"),
    ];
    let mut headers = Vec::new();
    for (name, value) in defaults {
        if !further.iter().any(|(other, _)| other.eq_ignore_ascii_case(name)) {
            headers.push((name, value));
        }
    }
    headers.extend(further);
    headers
}

fn toml(host: &str, name: &str, store: &Store) -> String {
    format!(
        r#"nodeName = "{name}"
zone = "zone-a"
ipAddress = "{host}"
internalPorts = [{INTERNAL_PORT},{INTERNAL_PORT}]
unknownField = [1]
[listenAddresses]
front = "{host}:{CALLER_PORT}"
ready = "{host}:{OPERATOR_PORT}"
[zones]
zone-south = "south"
zone-north = "north"
[bounds]
drainMs = 400
graceS = 5
configurationMs = 400
strictRevocation = true
revocationMs = 3000
budgetRatio = 0.2
budgetExtraTries = 54
capacityFactor = 2
[platform]
address = "{}"
"#,
        store.address
    )
}
