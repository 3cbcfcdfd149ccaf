//! A stand-in of the platform's key-value service, for reading and watching.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::Request;
use super::held::Held;

/// How the service answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// With 503.
    Busy,
    /// Not at all.
    Silent,
}

#[derive(Debug, Default)]
struct State {
    /// How it answers at each of its addresses.
    modes: Vec<Mode>,
    held: Held,
    copy: Held,
    /// How often the service has come back from a copy, as its answers say.
    era: u64,
    /// Changes up to this revision are no longer kept.
    forgotten: u64,
    /// Connections with a lower number say nothing any more.
    silenced: usize,
    connections: usize,
    calls: usize,
    targets: Vec<String>,
    /// What calls asked for while somebody waited for changes on another connection.
    beside_watches: Vec<String>,
    /// How many wait for changes.
    waiting: usize,
    /// How many bytes of an answer go out in a tenth of a second; all at once, if zero.
    pace: usize,
    /// How many items a page holds; all, if zero.
    page: usize,
    /// How many bytes of an answer go out at most; all, if zero.
    most: usize,
}

/// The service; it serves until the test ends.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    /// Which of its addresses this is.
    door: usize,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// An empty service on `host`.
    pub fn start(host: &str) -> Self {
        Self::open(host, Arc::default())
    }

    /// The same service at a further address, at which it may answer in another way.
    pub fn door(&self, host: &str) -> Self {
        Self::open(host, self.state.clone())
    }

    fn open(host: &str, state: Arc<(Mutex<State>, Condvar)>) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("the stand-in can listen");
        let address = listener.local_addr().expect("the stand-in has an address");
        let mut doors = state.0.lock().expect("no stand-in panics");
        let door = doors.modes.len();
        doors.modes.push(Mode::Up);
        drop(doors);
        let store = Self { address, door, state };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Changes how the service answers at this address.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().modes[self.door] = mode;
        self.state.1.notify_all();
    }

    /// The keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.held.items.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
    }

    /// Has the connections that are open fall silent for good; new ones work.
    pub fn silence_connections(&self) {
        let mut state = self.lock();
        state.silenced = state.connections;
    }

    /// Has answers go out at `bytes` in a tenth of a second.
    pub fn set_pace(&self, bytes: usize) {
        self.lock().pace = bytes;
    }

    /// Has answers break off without an end after `bytes`, as on a link that takes no more in time.
    pub fn set_most(&self, bytes: usize) {
        self.lock().most = bytes;
    }

    /// Has a page hold `items` items.
    pub fn set_page(&self, items: usize) {
        self.lock().page = items;
    }

    /// Writes a JSON value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_text(key, &value.to_string());
    }

    /// Writes a text as it is.
    pub fn put_text(&self, key: &str, text: &str) {
        self.put_bytes(key, text.as_bytes());
    }

    /// Writes bytes as they are.
    pub fn put_bytes(&self, key: &str, bytes: &[u8]) {
        self.put_with(key, STANDARD.encode(bytes), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().held.remove(key);
        self.state.1.notify_all();
    }

    fn put_with(&self, key: &str, value: String, lease: u64) {
        self.lock().held.put(key, value, lease);
        self.state.1.notify_all();
    }

    /// Copies what it holds.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = state.held.clone();
    }

    /// Comes back with what it held at the last copy; what was written since is gone.
    pub fn come_back_older(&self) {
        let mut state = self.lock();
        state.held = state.copy.clone();
        state.era += 1;
        self.state.1.notify_all();
    }

    /// Has its answers tell another era.
    pub fn tell_era(&self, era: u64) {
        self.lock().era = era;
    }

    /// Grants a lease to another writer, and writes with it.
    pub fn put_leased(&self, key: &str, text: &str) -> u64 {
        let lease = self.lock().held.grant();
        self.put_with(key, STANDARD.encode(text), lease);
        lease
    }

    /// Ends a lease, and what was written with it.
    pub fn end_lease(&self, lease: u64) {
        self.lock().held.end(lease);
        self.state.1.notify_all();
    }

    /// Forgets all changes so far.
    pub fn forget(&self) {
        let mut state = self.lock();
        state.forgotten = state.held.revision;
        state.held.history.clear();
    }

    /// Whether a key is there.
    pub fn holds(&self, key: &str) -> bool {
        self.lock().held.items.contains_key(key)
    }

    /// What stands under a key.
    pub fn text(&self, key: &str) -> Option<String> {
        Some(String::from_utf8(self.bytes(key)?).expect("a text"))
    }

    /// The same, whatever it is.
    pub fn bytes(&self, key: &str) -> Option<Vec<u8>> {
        Some(STANDARD.decode(&self.lock().held.items.get(key)?.value).expect("base64"))
    }

    /// What the calls that have come asked for.
    pub fn targets(&self) -> Vec<String> {
        self.lock().targets.clone()
    }

    /// What calls asked for while somebody waited for changes.
    pub fn beside_watches(&self) -> Vec<String> {
        self.lock().beside_watches.clone()
    }

    /// How many calls have come.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no stand-in panics")
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("the stand-in's connection");
        let mut reader = BufReader::new(stream);
        let mut state = self.lock();
        let number = state.connections;
        state.connections += 1;
        drop(state);
        while let Some(request) = Request::read(&mut reader) {
            if number < self.lock().silenced {
                continue;
            }
            let mut state = self.lock();
            if state.waiting > 0 {
                state.beside_watches.push(request.target.clone());
            }
            if request.target.starts_with("/v1/kv-watch?") {
                state.waiting += 1;
            }
            drop(state);
            let Some((status, body)) = self.answer(&request) else { return };
            if request.target.starts_with("/v1/kv-watch?") {
                self.lock().waiting -= 1;
            }
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} .\r\nstore-era: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                self.lock().era,
                body.len()
            );
            if self.send(&mut writer, format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Sends an answer, at the pace that is set.
    fn send(&self, writer: &mut TcpStream, answer: &[u8]) -> std::io::Result<()> {
        let pace = self.lock().pace;
        let most = self.lock().most;
        if most > 0 && answer.len() > most {
            writer.write_all(&answer[..most])?;
            std::thread::sleep(Duration::from_secs(30));
        }
        if pace == 0 {
            return writer.write_all(answer);
        }
        for part in answer.chunks(pace) {
            writer.write_all(part)?;
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> Option<(u16, Value)> {
        self.lock().calls += 1;
        self.lock().targets.push(request.target.clone());
        let mode = self.lock().modes[self.door];
        match mode {
            Mode::Up => {}
            Mode::Busy => return Some((503, json!({}))),
            Mode::Silent => {
                std::thread::sleep(Duration::from_secs(30));
                return None;
            }
        }
        let prefix = request.query("pathPrefix").unwrap_or("").to_owned();
        if request.target.starts_with("/v1/kv-range?") {
            return Some((200, self.range(&prefix, request.query("after").unwrap_or(""))));
        }
        if request.target.starts_with("/v1/kv-key?") {
            let key = request.query("privateKey").unwrap_or("").to_owned();
            let state = self.lock();
            let found = state.held.items.get(&key).map(|it| it.told(&key));
            return Some(found.map_or((404, json!({})), |mut it| {
                it["timestamp"] = state.held.revision.into();
                (200, it)
            }));
        }
        if request.target.starts_with("/v1/kv-watch?") {
            let number = |name| request.query(name).and_then(|it| it.parse().ok()).unwrap_or(0);
            return Some(self.watch(&prefix, number("after"), number("waitMs")));
        }
        Some(self.lease(request))
    }

    /// Leases are granted and never lapse.
    fn lease(&self, request: &Request) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let number = |path: &str| request.target.strip_prefix(path)?.parse::<u64>().ok();
        if request.target == "/v1/kv-lease" {
            return (200, json!({ "lease": self.lock().held.grant(), "ttlMs": body["ttlMs"] }));
        }
        if request.target == "/v1/kv-txn" {
            return self.change(&body);
        }
        if let Some(lease) = number("/v1/kv-lease-end/") {
            self.lock().held.end(lease);
            self.state.1.notify_all();
            return (200, json!({}));
        }
        let known = number("/v1/kv-keep/").is_some_and(|it| self.lock().held.knows(it));
        (if known { 200 } else { 404 }, json!({}))
    }

    /// Writes and removes what a call asks for.
    fn change(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for write in list("writes") {
            let text = |name: &str| write[name].as_str().expect("a text").to_owned();
            let lease = write["lease"].as_u64().unwrap_or_default();
            if lease > 0 && !self.lock().held.knows(lease) {
                return (404, json!({}));
            }
            self.put_with(&text("privateKey"), text("value"), lease);
        }
        for key in list("remove") {
            self.remove(key.as_str().expect("a key"));
        }
        (200, json!({ "revision": self.lock().held.revision }))
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let state = self.lock();
        let mut items: Vec<_> = state
            .held
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, it)| it.told(key))
            .collect();
        let more = state.page > 0 && items.len() > state.page;
        if more {
            items.truncate(state.page);
        }
        json!({ "items": items, "morePages": more, "timestamp": state.held.revision })
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if after < state.forgotten || after > state.held.revision {
                return (410, json!({}));
            }
            let wanted = |(revision, event): &&(u64, Value)| {
                let key = event["privateKey"].as_str().unwrap_or("");
                *revision > after && key.starts_with(prefix)
            };
            let events: Vec<_> =
                state.held.history.iter().filter(wanted).map(|(_, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({ "events": events, "timestamp": state.held.revision }));
            }
            state = self.state.1.wait_timeout(state, left).expect("no stand-in panics").0;
        }
    }
}
