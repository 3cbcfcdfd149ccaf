//! A real router on stand-ins of the platform.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

use crate::caller::{Answer, Caller};
use crate::standin::{Mode, Store, Upstream};

/// How long anything may take that a test waits for.
const PATIENCE: Duration = Duration::from_secs(20);

/// The ports of the router; each test has a loopback address of its own.
const CALLERS_PORT: u16 = 21_000;
const OPERATORS_PORT: u16 = 21_001;
const HINTS_PORT: u16 = 21_002;

/// The name of a router that is alone.
const FIRST: &str = "front-1";

/// The host of the routes.
pub const HOST: &str = "site.example";

/// The key of the only workspace.
pub const KEY: &str = "key-one";

/// A loopback address that no other test uses. Each process has those of two blocks; the second
/// is the first of the process whose number is 32,768 away.
pub fn own_host() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let (block, number) = (next / 254, next % 254 + 1);
    assert!(block < 2, "there are no more: tests that need many upstreams share one among these");
    let [.., high, low] = std::process::id().to_be_bytes();
    let high = if block == 0 { high } else { high ^ 0x80 };
    format!("127.{}.{low}.{number}", high.max(1))
}

/// Two upstreams of the plain service, at one address, as there are few.
pub fn pair() -> [Upstream; 2] {
    let host = own_host();
    ["i-1", "i-2"].map(|name| Upstream::start(&host, name, "plain"))
}

/// One of the configuration's routes.
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

/// A configuration with a route of each kind.
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

/// A running router with its platform; it is killed when dropped.
#[derive(Debug)]
pub struct Router {
    pub store: Store,
    pub host: String,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Router {
    /// A router whose store holds `configuration` and `upstreams`, ready to
    /// serve.
    pub fn start(configuration: &Value, upstreams: &[&Upstream]) -> Self {
        let router = Self::start_bare(&own_host(), |store| fill(store, configuration, upstreams));
        router.until("ready", || router.is_ready());
        router
    }

    /// The same, with a log that nobody reads.
    pub fn start_unread(configuration: &Value, upstreams: &[&Upstream]) -> Self {
        let router = Self::start_with(&own_host(), Stdio::piped(), |store| {
            fill(store, configuration, upstreams);
        });
        router.until("ready", || router.is_ready());
        router
    }

    /// A router whose store `fill` fills before it starts.
    pub fn start_bare(host: &str, fill: impl FnOnce(&Store)) -> Self {
        let log = std::fs::File::create(log_path(host)).expect("the test can write");
        Self::start_with(host, log.into(), fill)
    }

    /// Another router of the fleet that `store` belongs to, ready to serve.
    pub fn join(store: &Store, name: &str) -> Self {
        let host = own_host();
        let log = std::fs::File::create(log_path(&host)).expect("the test can write");
        let router = Self::spawn(&host, name, log.into(), store.clone());
        router.until("ready", || router.is_ready());
        router
    }

    fn start_with(host: &str, out: Stdio, fill: impl FnOnce(&Store)) -> Self {
        let store = Store::start(host);
        fill(&store);
        Self::spawn(host, FIRST, out, store)
    }

    fn spawn(host: &str, name: &str, out: Stdio, store: Store) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let settings = folder.join(format!("platform-{host}.toml"));
        std::fs::write(&settings, toml(host, name, &store)).expect("the test can write");
        let child = Command::new(env!("CARGO_BIN_EXE_silverstack-router"))
            .env("SILVERSTACK_SETTINGS", &settings)
            .stdout(out)
            .spawn()
            .expect("the binary starts");
        let router = Self { store, host: host.to_owned(), child, settings, log: log_path(host) };
        router.until("listening", || std::net::TcpStream::connect((host, OPERATORS_PORT)).is_ok());
        router
    }

    /// Where callers connect.
    pub fn callers(&self) -> String {
        format!("{}:{CALLERS_PORT}", self.host)
    }

    /// Where hints of other routers come in.
    pub fn hints(&self) -> String {
        format!("{}:{HINTS_PORT}", self.host)
    }

    /// A new connection of a caller.
    pub fn caller(&self) -> Caller {
        Caller::connect(&self.callers())
    }

    /// Sends one request with the usual headers and further ones.
    pub fn ask(&self, line: &str, further: &[(&str, &str)], body: &str) -> Option<Answer> {
        self.caller().ask(line, &headers(further), body)
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let mut operator = Caller::connect(&format!("{}:{OPERATORS_PORT}", self.host));
        let answer = operator.ask("GET /v1/ready", &[("host", "operators")], "");
        answer.is_some_and(|it| it.status == 200)
    }

    /// A page for operators.
    pub fn page(&self, path: &str) -> String {
        let mut operator = Caller::connect(&format!("{}:{OPERATORS_PORT}", self.host));
        let answer = operator.ask(&format!("GET {path}"), &[("host", "operators")], "");
        answer.expect("an answer").body
    }

    /// Waits until `holds`.
    pub fn until(&self, what: &str, holds: impl Fn() -> bool) {
        let started = Instant::now();
        while !holds() {
            assert!(started.elapsed() < PATIENCE, "never {what}: {:?}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The lines that it has logged.
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let whole = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
        whole.map(|line| serde_json::from_str(line).expect("a JSON line")).collect()
    }

    /// Whether a line with this message was logged.
    pub fn has_logged(&self, message: &str) -> bool {
        self.log().iter().any(|line| line["payload"] == message)
    }

    /// Has looks at the store ask for less, as the history since the last one is long. Returns
    /// the configuration that is then in force.
    pub fn shorten_looks(&self) -> Value {
        let mut long = configuration(2);
        long["note"] = "x".repeat(100_000).into();
        self.store.set_mode(Mode::Busy);
        self.until("missed", || self.has_logged("the store does not answer"));
        // The history of these is longer than 512 KB.
        for version in 2..9 {
            long["version"] = version.into();
            self.store.put("op/config", &long);
        }
        self.store.set_mode(Mode::Up);
        self.until("noticed", || self.has_logged("store polls are reduced"));
        long
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the process takes the signal");
    }

    /// The settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Starts it again under its name and addresses, once it has ended. Its log goes on.
    pub fn start_again(&mut self) {
        let log = std::fs::File::options().append(true).open(&self.log);
        self.child = Command::new(env!("CARGO_BIN_EXE_silverstack-router"))
            .env("SILVERSTACK_SETTINGS", &self.settings)
            .stdout(log.expect("the log stands"))
            .spawn()
            .expect("the binary starts");
    }

    /// Kills it and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until it has ended.
    pub fn ended(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status;
            }
            assert!(started.elapsed() < PATIENCE, "the process does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("the process can be waited for").is_none()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Puts a configuration and upstreams into the store.
fn fill(store: &Store, configuration: &Value, upstreams: &[&Upstream]) {
    store.put("op/config", configuration);
    for upstream in upstreams {
        store.put(&upstream.key(), &upstream.entry("ready", 1));
    }
}

fn log_path(host: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("platform-{host}.log"))
}

/// The usual headers of a request, and further ones.
pub fn headers<'a>(further: &[(&'a str, &'a str)]) -> Vec<(&'a str, &'a str)> {
    let usual = [
        ("Host", HOST),
        ("Deadline-Remaining", "4000"),
        ("Authorization", "Bearer key-one"),
        ("Attempt-Identifier", "id-1"),
    ];
    let mut headers = Vec::new();
    for (name, value) in usual {
        if !further.iter().any(|(it, _)| it.eq_ignore_ascii_case(name)) {
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
internalPorts = [{HINTS_PORT},{HINTS_PORT}]
unknownField = [1]
[listenAddresses]
front = "{host}:{CALLERS_PORT}"
ready = "{host}:{OPERATORS_PORT}"
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
