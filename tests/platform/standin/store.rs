//! A stand-in of the platform's key-value store with reads, watches, writes and leases.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::Request;
use super::contents::Contents;

/// How the store answers at one of its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Normally.
    #[default]
    Up,
    /// With 503.
    Busy,
    /// Not at all.
    Silent,
}

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// By a length in the head.
    #[default]
    Length,
    /// By the last of several chunks.
    Chunks,
    /// Like [`Framing::Chunks`], but watches of all keys never end.
    Endless,
}

/// Length of the chunks of an answer.
const CHUNK_BYTES: usize = 16 * 1024;

#[derive(Debug, Default)]
struct State {
    /// By endpoint.
    modes: Vec<Mode>,
    contents: Contents,
    backup: Contents,
    /// Number of restores, as sent in the header `store-era`.
    era: u64,
    /// Changes up to this revision are gone from the history.
    compacted: u64,
    /// Connections with a lower number get no answers.
    first_answered: usize,
    connections: usize,
    calls: usize,
    targets: Vec<String>,
    /// Targets of the requests that arrived while a watch was open on another connection.
    targets_during_watches: Vec<String>,
    /// Number of open watches.
    watches: usize,
    /// Bytes of an answer sent per 100 ms; unlimited if zero.
    send_rate: usize,
    /// Items per page of a range; unlimited if zero.
    page_size: usize,
    /// Bytes of an answer after which sending stops; unlimited if zero.
    answer_limit: usize,
    framing: Framing,
}

/// A store that serves until the test process ends. Clones share its contents.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    /// Index of this endpoint.
    endpoint: usize,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store on `host`.
    pub fn start(host: &str) -> Self {
        Self::open(host, Arc::default())
    }

    /// Opens a further endpoint of the same store, with a mode of its own.
    pub fn add_endpoint(&self, host: &str) -> Self {
        Self::open(host, self.state.clone())
    }

    fn open(host: &str, state: Arc<(Mutex<State>, Condvar)>) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("the stand-in can listen");
        let address = listener.local_addr().expect("the stand-in has an address");
        let mut endpoints = state.0.lock().expect("the lock is not poisoned");
        let endpoint = endpoints.modes.len();
        endpoints.modes.push(Mode::Up);
        drop(endpoints);
        let store = Self { address, endpoint, state };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Sets the mode of this endpoint.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().modes[self.endpoint] = mode;
        self.state.1.notify_all();
    }

    /// The keys with this prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.contents.items.keys().filter(|target| target.starts_with(prefix)).cloned().collect()
    }

    /// Stops answering on the connections that are open; new ones are served.
    pub fn silence_connections(&self) {
        let mut state = self.lock();
        state.first_answered = state.connections;
    }

    /// Limits the rate of answers, in bytes per 100 ms.
    pub fn set_send_rate(&self, bytes: usize) {
        self.lock().send_rate = bytes;
    }

    /// Stalls answers after this many bytes, as on a slow link.
    pub fn set_answer_limit(&self, bytes: usize) {
        self.lock().answer_limit = bytes;
    }

    /// Sets how the ends of answers are marked.
    pub fn set_framing(&self, framing: Framing) {
        self.lock().framing = framing;
    }

    /// Sets the number of items per page of a range.
    pub fn set_page_size(&self, items: usize) {
        self.lock().page_size = items;
    }

    /// Writes a JSON value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_text(key, &value.to_string());
    }

    /// Writes text unchanged.
    pub fn put_text(&self, key: &str, text: &str) {
        self.put_bytes(key, text.as_bytes());
    }

    /// Writes bytes unchanged.
    pub fn put_bytes(&self, key: &str, bytes: &[u8]) {
        self.put_with(key, STANDARD.encode(bytes), 0);
    }

    pub fn remove(&self, key: &str) {
        self.lock().contents.remove(key);
        self.state.1.notify_all();
    }

    fn put_with(&self, key: &str, value: String, lease: u64) {
        self.lock().contents.put(key, value, lease);
        self.state.1.notify_all();
    }

    /// Saves a backup of the contents.
    pub fn back_up(&self) {
        let mut state = self.lock();
        state.backup = state.contents.clone();
    }

    /// Restores the last backup, which discards all later writes, and starts the next era.
    pub fn restore_backup(&self) {
        let mut state = self.lock();
        state.contents = state.backup.clone();
        state.era += 1;
        self.state.1.notify_all();
    }

    /// Sets the era sent with answers.
    pub fn set_era(&self, era: u64) {
        self.lock().era = era;
    }

    /// Writes with a new lease, as another client would. Returns the lease.
    pub fn put_leased(&self, key: &str, text: &str) -> u64 {
        let lease = self.lock().contents.grant();
        self.put_with(key, STANDARD.encode(text), lease);
        lease
    }

    /// Ends a lease and removes its keys.
    pub fn end_lease(&self, lease: u64) {
        self.lock().contents.end(lease);
        self.state.1.notify_all();
    }

    /// Discards the history of changes up to now.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.contents.revision;
        state.contents.history.clear();
    }

    pub fn contains_key(&self, key: &str) -> bool {
        self.lock().contents.items.contains_key(key)
    }

    /// The value of a key as text.
    pub fn text(&self, key: &str) -> Option<String> {
        Some(String::from_utf8(self.bytes(key)?).expect("a text"))
    }

    /// The value of a key.
    pub fn bytes(&self, key: &str) -> Option<Vec<u8>> {
        Some(STANDARD.decode(&self.lock().contents.items.get(key)?.value).expect("base64"))
    }

    /// Targets of all requests received.
    pub fn targets(&self) -> Vec<String> {
        self.lock().targets.clone()
    }

    /// Targets of the requests that arrived while a watch was open on another connection.
    pub fn targets_during_watches(&self) -> Vec<String> {
        self.lock().targets_during_watches.clone()
    }

    /// Number of requests received.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the lock is not poisoned")
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("the stand-in's connection");
        let mut reader = BufReader::new(stream);
        let mut state = self.lock();
        let number = state.connections;
        state.connections += 1;
        drop(state);
        while let Some(request) = Request::read(&mut reader) {
            if number < self.lock().first_answered {
                continue;
            }
            let mut state = self.lock();
            if state.watches > 0 {
                state.targets_during_watches.push(request.target.clone());
            }
            if request.target.starts_with("/v1/kv-watch?") {
                state.watches += 1;
            }
            drop(state);
            let Some((status, body)) = self.answer(&request) else { return };
            if request.target.starts_with("/v1/kv-watch?") {
                self.lock().watches -= 1;
            }
            let body = body.to_string();
            let framing = self.lock().framing;
            let length = match framing {
                Framing::Length => format!("content-length: {}", body.len()),
                Framing::Chunks | Framing::Endless => "transfer-encoding: chunked".to_owned(),
            };
            let head = format!(
                "HTTP/1.1 {status} .\r\nstore-era: {}\r\ncontent-type: application/json\r\n{length}\r\n\r\n",
                self.lock().era,
            );
            if framing != Framing::Length {
                let is_endless = framing == Framing::Endless
                    && request.target.starts_with("/v1/kv-watch?pathPrefix=&");
                if send_chunks(&mut writer, &head, &body, is_endless).is_err() {
                    return;
                }
                continue;
            }
            if self.send(&mut writer, format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Sends an answer within the limits set for size and rate.
    fn send(&self, writer: &mut TcpStream, answer: &[u8]) -> std::io::Result<()> {
        let send_rate = self.lock().send_rate;
        let answer_limit = self.lock().answer_limit;
        if answer_limit > 0 && answer.len() > answer_limit {
            writer.write_all(&answer[..answer_limit])?;
            std::thread::sleep(Duration::from_secs(30));
        }
        if send_rate == 0 {
            return writer.write_all(answer);
        }
        for chunk in answer.chunks(send_rate) {
            writer.write_all(chunk)?;
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> Option<(u16, Value)> {
        self.lock().calls += 1;
        self.lock().targets.push(request.target.clone());
        let mode = self.lock().modes[self.endpoint];
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
            let found = state.contents.items.get(&key).map(|item| item.to_json(&key));
            return Some(found.map_or((404, json!({})), |mut item| {
                item["timestamp"] = state.contents.revision.into();
                (200, item)
            }));
        }
        if request.target.starts_with("/v1/kv-watch?") {
            let number =
                |name| request.query(name).and_then(|value| value.parse().ok()).unwrap_or(0);
            return Some(self.watch(&prefix, number("after"), number("waitMs")));
        }
        Some(self.lease(request))
    }

    /// Handles leases, which never expire, and transactions.
    fn lease(&self, request: &Request) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let number = |path: &str| request.target.strip_prefix(path)?.parse::<u64>().ok();
        if request.target == "/v1/kv-lease" {
            return (200, json!({ "lease": self.lock().contents.grant(), "ttlMs": body["ttlMs"] }));
        }
        if request.target == "/v1/kv-txn" {
            return self.transact(&body);
        }
        if let Some(lease) = number("/v1/kv-lease-end/") {
            self.lock().contents.end(lease);
            self.state.1.notify_all();
            return (200, json!({}));
        }
        let known =
            number("/v1/kv-keep/").is_some_and(|lease| self.lock().contents.has_lease(lease));
        (if known { 200 } else { 404 }, json!({}))
    }

    /// Applies a transaction.
    fn transact(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for write in list("writes") {
            let text = |name: &str| write[name].as_str().expect("a text").to_owned();
            let lease = write["lease"].as_u64().unwrap_or_default();
            if lease > 0 && !self.lock().contents.has_lease(lease) {
                return (404, json!({}));
            }
            self.put_with(&text("privateKey"), text("value"), lease);
        }
        for key in list("remove") {
            self.remove(key.as_str().expect("a key"));
        }
        (200, json!({ "revision": self.lock().contents.revision }))
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let state = self.lock();
        let mut items: Vec<_> = state
            .contents
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item.to_json(key))
            .collect();
        let more = state.page_size > 0 && items.len() > state.page_size;
        if more {
            items.truncate(state.page_size);
        }
        json!({ "items": items, "morePages": more, "timestamp": state.contents.revision })
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if after < state.compacted || after > state.contents.revision {
                return (410, json!({}));
            }
            let is_match = |(revision, event): &&(u64, Value)| {
                let key = event["privateKey"].as_str().unwrap_or("");
                *revision > after && key.starts_with(prefix)
            };
            let events: Vec<_> = state
                .contents
                .history
                .iter()
                .filter(is_match)
                .map(|(_, event)| event.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({ "events": events, "timestamp": state.contents.revision }));
            }
            state = self.state.1.wait_timeout(state, left).expect("the lock is not poisoned").0;
        }
    }
}

/// Sends an answer in chunks; an endless one is followed by spaces until the connection closes.
fn send_chunks(
    writer: &mut TcpStream,
    head: &str,
    body: &str,
    is_endless: bool,
) -> std::io::Result<()> {
    writer.write_all(head.as_bytes())?;
    let mut send = |chunk: &[u8]| -> std::io::Result<()> {
        write!(writer, "{:x}\r\n", chunk.len())?;
        writer.write_all(chunk)?;
        writer.write_all(b"\r\n")
    };
    for chunk in body.as_bytes().chunks(CHUNK_BYTES) {
        send(chunk)?;
    }
    if !is_endless {
        return send(&[]);
    }
    loop {
        send(&[b' '; CHUNK_BYTES])?;
    }
}
