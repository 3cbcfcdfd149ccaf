//! Stand-ins of the platform's store, of runners and of consumers, and the parts that the scripts
//! share. Needs nothing but the standard library: `review/build.sh` compiles it with `rustc`.
//!
//! `lab CASE DIR` plays a case, writes `DIR/record.txt`, and exits with 1 if the rule was broken, 0
//! if it held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

/// Longest time of a case; the issue allows 120 s.
const MAX_CASE: Duration = Duration::from_secs(110);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

// ---------------------------------------------------------------------------------------- record

/// The record of a case, with times in milliseconds since its start.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Log {
    fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| give_up(&format!("{error}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn at(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>6} {text}", self.at());
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:>6} {text}", self.at());
    }
}

// --------------------------------------------------------------------------------- small formats

/// A JSON value, as far as the store reads it.
#[derive(Clone, Debug)]
enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    fn parse(text: &[u8]) -> Json {
        let mut position = 0;
        Self::value(text, &mut position)
    }

    fn skip(text: &[u8], position: &mut usize) {
        while text.get(*position).is_some_and(u8::is_ascii_whitespace) {
            *position += 1;
        }
    }

    fn value(text: &[u8], position: &mut usize) -> Json {
        Self::skip(text, position);
        match text.get(*position) {
            Some(b'{') => {
                let mut map = BTreeMap::new();
                *position += 1;
                loop {
                    Self::skip(text, position);
                    match text.get(*position) {
                        Some(b'"') => {
                            let Json::Text(key) = Self::value(text, position) else { break };
                            Self::skip(text, position);
                            *position += 1;
                            map.insert(key, Self::value(text, position));
                        }
                        Some(b',') => *position += 1,
                        _ => {
                            *position += 1;
                            break;
                        }
                    }
                }
                Json::Map(map)
            }
            Some(b'[') => {
                let mut list = Vec::new();
                *position += 1;
                loop {
                    Self::skip(text, position);
                    match text.get(*position) {
                        Some(b',') => *position += 1,
                        Some(b']') | None => {
                            *position += 1;
                            break;
                        }
                        _ => list.push(Self::value(text, position)),
                    }
                }
                Json::List(list)
            }
            Some(b'"') => {
                let mut bytes = Vec::new();
                *position += 1;
                while let Some(byte) = text.get(*position) {
                    *position += 1;
                    match byte {
                        b'"' => break,
                        b'\\' => {
                            bytes.push(*text.get(*position).unwrap_or(&b'?'));
                            *position += 1;
                        }
                        other => bytes.push(*other),
                    }
                }
                Json::Text(String::from_utf8_lossy(&bytes).into_owned())
            }
            _ => {
                let start = *position;
                while text.get(*position).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                    *position += 1;
                }
                if *position == start {
                    *position += 1;
                }
                let word = std::str::from_utf8(&text[start..(*position).min(text.len())]);
                word.ok().and_then(|word| word.parse().ok()).map_or(Json::Null, Json::Number)
            }
        }
    }

    fn get(&self, key: &str) -> Option<&Json> {
        if let Json::Map(map) = self { map.get(key) } else { None }
    }

    fn text(&self, key: &str) -> String {
        if let Some(Json::Text(text)) = self.get(key) { text.clone() } else { String::new() }
    }

    fn number(&self, key: &str) -> u64 {
        if let Some(Json::Number(number)) = self.get(key) { *number as u64 } else { 0 }
    }

    fn list(&self, key: &str) -> Vec<Json> {
        if let Some(Json::List(list)) = self.get(key) { list.clone() } else { Vec::new() }
    }
}

const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |all, byte| all << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(ALPHABET[(number >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ------------------------------------------------------------------------------------------ HTTP

/// A request as it was received.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pair.into_iter().find(|(known, _)| *known == name)?.1;
        let mut bytes = Vec::new();
        let mut rest = value.bytes();
        while let Some(byte) = rest.next() {
            if byte == b'%' {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            } else {
                bytes.push(byte);
            }
        }
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line).ok()? == 0 || line.last() != Some(&b'\n') {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let line = read_line(reader)?;
    let length = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).ok()?;
    read_line(reader)?;
    Some(bytes)
}

fn read_request(reader: &mut impl BufRead) -> Option<Received> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length").and_then(|text| text.parse().ok())
    {
        body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Received { method, target, headers, body })
}

/// An answer as a consumer sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body arrived.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    let mut answer = Answer { status, headers, ..Answer::default() };
    if answer.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader) {
            if chunk.is_empty() {
                answer.whole = true;
                break;
            }
            answer.body.extend(chunk);
        }
    } else if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok())
    {
        let mut body = vec![0; length];
        answer.whole = reader.read_exact(&mut body).is_ok();
        answer.body = body;
    } else {
        let _ = reader.read_to_end(&mut answer.body);
        answer.whole = true;
    }
    Some(answer)
}

/// Sends one request on a new connection. `None` if there is no answer at all.
pub fn send(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    let _ = stream.set_write_timeout(Some(wait));
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || line.starts_with("POST") {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_answer(&mut BufReader::new(stream))
}

// ----------------------------------------------------------------------------------------- store

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug, Default)]
struct Contents {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, Duration)>,
    /// Changes by revision: the key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    next_lease: u64,
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let over = |(at, ttl): &(Instant, Duration)| at.elapsed() > *ttl;
        let ended: BTreeSet<u64> =
            self.leases.iter().filter(|(_, lease)| over(lease)).map(|(id, _)| *id).collect();
        if ended.is_empty() {
            return;
        }
        self.leases.retain(|id, _| !ended.contains(id));
        let leased = self.items.iter().filter(|(_, item)| ended.contains(&item.lease));
        for key in leased.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"privateKey\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

struct StoreState {
    contents: Contents,
    copy: Option<Contents>,
    era: u64,
    away: bool,
}

/// The platform's store: linearizable, loses nothing outside of a drill.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&format!("{error}")));
        let contents = Contents { revision: 100, ..Contents::default() };
        let state = StoreState { contents, copy: None, era: 1, away: false };
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator or a runner does; returns whether the store was there.
    pub fn put(&self, key: &str, text: &str) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.away {
            return false;
        }
        state.contents.put(key, base64(text.as_bytes()), 0);
        self.state.1.notify_all();
        true
    }

    /// Takes the copy from which a drill restores.
    pub fn take_copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.copy = Some(state.contents.clone());
    }

    /// The store is away; it closes its connections.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().away = true;
        self.state.1.notify_all();
    }

    /// Comes back from the copy: an era later, with the copy's revisions, without later leases.
    pub fn come_back_older(&self) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(copy) = state.copy.clone() {
            state.contents = copy;
            for lease in state.contents.leases.values_mut() {
                lease.0 = Instant::now();
            }
        }
        state.era += 1;
        state.away = false;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            sleep(ms(4));
            let Some((status, body)) = self.answer(&request) else { return };
            let era = self.state.0.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} .\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Received) -> Option<(u16, String)> {
        let mut state = self.state.0.lock().unwrap();
        if state.away {
            return None;
        }
        state.contents.expire();
        let path = request.target.split('?').next().unwrap_or("");
        let prefix = request.query("pathPrefix").unwrap_or_default();
        if path == "/v1/kv-key" {
            let key = request.query("privateKey").unwrap_or_default();
            let contents = &state.contents;
            return Some(match contents.items.get(&key) {
                None => (404, "{}".to_owned()),
                Some(item) => {
                    let text = item_json(&key, item);
                    let text = text.trim_end_matches('}').to_owned();
                    (200, format!("{text},\"timestamp\":{}}}", contents.revision))
                }
            });
        }
        if path == "/v1/kv-range" {
            let after = request.query("after").unwrap_or_default();
            let contents = &state.contents;
            let items: Vec<_> = contents
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .map(|(key, item)| item_json(key, item))
                .collect();
            return Some((
                200,
                format!(
                    "{{\"items\":[{}],\"morePages\":false,\"timestamp\":{}}}",
                    items.join(","),
                    contents.revision
                ),
            ));
        }
        if path == "/v1/kv-watch" {
            let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
            let (after, wait) = (number("after").unwrap_or(0), number("waitMs").unwrap_or(0));
            let until = Instant::now() + ms(wait.min(30_000));
            let era = state.era;
            loop {
                if state.away {
                    return None;
                }
                state.contents.expire();
                if state.era != era || after > state.contents.revision {
                    return Some((410, "{}".to_owned()));
                }
                let changes = state.contents.history.iter();
                let events: Vec<_> = changes
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => format!(
                            "{{\"privateKey\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"
                        ),
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return Some((
                        200,
                        format!(
                            "{{\"events\":[{}],\"timestamp\":{}}}",
                            events.join(","),
                            state.contents.revision
                        ),
                    ));
                }
                state = self.state.1.wait_timeout(state, left.min(ms(200))).unwrap().0;
            }
        }
        let body = Json::parse(&request.body);
        if path == "/v1/kv-lease" {
            let ttl = body.number("ttlMs").clamp(1_000, 600_000);
            state.contents.next_lease += 1;
            let lease = state.contents.next_lease;
            state.contents.leases.insert(lease, (Instant::now(), ms(ttl)));
            return Some((200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}")));
        }
        if path == "/v1/kv-txn" {
            for row in body.list("expectedRevision") {
                let key = row.text("privateKey");
                let now = state.contents.items.get(&key).map_or(0, |item| item.revision);
                if now != row.number("revision") {
                    return Some((412, "{\"items\":[]}".to_owned()));
                }
            }
            let writes = body.list("writes");
            for write in &writes {
                let (key, lease) = (write.text("privateKey"), write.number("lease"));
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return Some((403, "{}".to_owned()));
                }
                if lease != 0 && !state.contents.leases.contains_key(&lease) {
                    return Some((404, "{}".to_owned()));
                }
            }
            for write in &writes {
                let (key, lease) = (write.text("privateKey"), write.number("lease"));
                state.contents.put(&key, write.text("value"), lease);
            }
            for key in body.list("remove") {
                if let Json::Text(key) = key {
                    state.contents.remove(&key);
                }
            }
            self.state.1.notify_all();
            return Some((200, format!("{{\"revision\":{}}}", state.contents.revision)));
        }
        let number = path.rsplit('/').next().and_then(|text| text.parse::<u64>().ok());
        if path.starts_with("/v1/kv-keep/") {
            let lease = number.and_then(|lease| state.contents.leases.get_mut(&lease));
            return Some(match lease {
                Some(lease) => {
                    lease.0 = Instant::now();
                    (200, format!("{{\"ttlMs\":{}}}", lease.1.as_millis()))
                }
                None => (404, "{}".to_owned()),
            });
        }
        if path.starts_with("/v1/kv-lease-end/") {
            if let Some(lease) = number.and_then(|lease| state.contents.leases.get_mut(&lease)) {
                lease.1 = Duration::ZERO;
            }
            state.contents.expire();
            self.state.1.notify_all();
            return Some((200, "{}".to_owned()));
        }
        Some((404, "{}".to_owned()))
    }
}

// --------------------------------------------------------------------------------------- runners

/// What a runner began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub target: String,
    pub tenant: Option<String>,
    pub runner: String,
    pub version: String,
    pub body: usize,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How a runner works.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The time until the answer begins.
    pub begin: Duration,
    /// Events of a stream; 0 for a plain answer.
    pub events: u64,
    /// The time between two events.
    pub pause: Duration,
}

/// One boot of a runner.
pub struct Runner {
    pub name: String,
    pub address: SocketAddr,
    service: String,
    version: String,
    born: u64,
    slots: usize,
    running: Arc<AtomicUsize>,
    store: Store,
    alive: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
    sequence: Arc<AtomicUsize>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Runner {
    /// Starts a runner at `port` (0: any), which writes its entry at once and each 1.2 s.
    pub fn start(
        name: &str,
        service: &str,
        version: &str,
        port: u16,
        slots: usize,
        work: Work,
        store: &Store,
        runs: &Runs,
    ) -> Self {
        let listener = (0..100).find_map(|_| {
            let listener = TcpListener::bind(("127.0.0.1", port)).ok();
            if listener.is_none() {
                sleep(ms(10));
            }
            listener
        });
        let listener = listener.unwrap_or_else(|| give_up("a runner's port is taken"));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let runner = Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            version: version.to_owned(),
            born,
            slots,
            running: Arc::default(),
            store: store.clone(),
            alive: Arc::new(AtomicBool::new(true)),
            silent: Arc::default(),
            sequence: Arc::default(),
            connections: Arc::default(),
        };
        runner.write("ready");
        let beat = runner.again();
        spawn(move || {
            while beat.alive.load(Ordering::SeqCst) {
                sleep(ms(1_200));
                if beat.alive.load(Ordering::SeqCst) && !beat.silent.load(Ordering::SeqCst) {
                    beat.write("ready");
                }
            }
        });
        let (server, runs) = (runner.again(), runs.clone());
        listener.set_nonblocking(true).unwrap();
        spawn(move || {
            let mut number = 0;
            while server.alive.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        number += 1;
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let kept = stream.try_clone().unwrap();
                        server.connections.lock().unwrap().insert(number, kept);
                        let (server, runs) = (server.again(), runs.clone());
                        spawn(move || {
                            server.serve(stream, work, &runs);
                            server.connections.lock().unwrap().remove(&number);
                        });
                    }
                    Err(_) => sleep(ms(2)),
                }
            }
        });
        runner
    }

    fn again(&self) -> Self {
        Self {
            name: self.name.clone(),
            address: self.address,
            service: self.service.clone(),
            version: self.version.clone(),
            born: self.born,
            slots: self.slots,
            running: self.running.clone(),
            store: self.store.clone(),
            alive: self.alive.clone(),
            silent: self.silent.clone(),
            sequence: self.sequence.clone(),
            connections: self.connections.clone(),
        }
    }

    /// Writes the runner's entry.
    pub fn write(&self, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"poa-a\",\"version\":\"{}\",\"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.version, self.slots, self.born
        );
        self.store.put(&format!("servers/{}", self.name), &text);
    }

    /// Ends at once, as a killed process does.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        sleep(ms(5));
        for stream in self.connections.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, work: Work, runs: &Runs) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !self.alive.load(Ordering::SeqCst) {
                return;
            }
            if !self.answer(&request, &mut writer, work, runs) {
                return;
            }
        }
    }

    fn answer(&self, request: &Received, writer: &mut TcpStream, work: Work, runs: &Runs) -> bool {
        if request.target == "/health" {
            let head =
                format!("HTTP/1.1 200 OK\r\nInstance: {}\r\nContent-Length: 0\r\n\r\n", self.name);
            return writer.write_all(head.as_bytes()).is_ok();
        }
        let id = request.header("attempt-identifier").unwrap_or("").to_owned();
        if request.header("expected-instance").is_some_and(|name| name != self.name) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Identifier: {id}\r\nInstance: {}\r\nContent-Length: 0\r\n\r\n",
                self.name
            );
            return writer.write_all(head.as_bytes()).is_ok();
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        if running > self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Identifier: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(head.as_bytes()).is_ok();
        }
        runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.clone(),
            target: request.target.clone(),
            tenant: request.header("tenant").map(str::to_owned),
            runner: self.name.clone(),
            version: self.version.clone(),
            body: request.body.len(),
        });
        let done = self.run(request, &id, writer, work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn run(&self, request: &Received, id: &str, writer: &mut TcpStream, work: Work) -> bool {
        sleep(work.begin);
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Identifier: {id}\r\nServer-Seal: seal.{}.{id}\r\nServer-Load: {load}\r\n",
            self.name
        );
        if work.events == 0 {
            let body = format!("{} {}", self.name, request.target);
            let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            return self.alive.load(Ordering::SeqCst) && writer.write_all(text.as_bytes()).is_ok();
        }
        let text =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        if writer.write_all(text.as_bytes()).is_err() {
            return false;
        }
        let had =
            request.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        for number in had + 1..=work.events {
            if !self.alive.load(Ordering::SeqCst) {
                return false;
            }
            let event = format!("id: {number}\ndata: {} {}\n\n", self.version, self.name);
            if writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
            sleep(work.pause);
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

// --------------------------------------------------------------------------------------- routers

fn free_port() -> u16 {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&format!("{error}")));
    listener.local_addr().unwrap().port()
}

/// The command of the deploy file.
const COMMAND: &str = "target/release/silverstack-router";

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A router process.
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    ports: [u16; 3],
}

impl Router {
    /// Starts a router with the settings of `front` machines on the users' pages.
    pub fn start(name: &str, zone: &str, folder: &Path, store: &Store, first: bool) -> Self {
        Self::start_at([free_port(), free_port(), free_port()], name, zone, folder, store, first)
    }

    /// Starts it again after it was killed, at the same addresses.
    pub fn start_again(&mut self, name: &str, zone: &str, folder: &Path, store: &Store) {
        *self = Self::start_at(self.ports, name, zone, folder, store, false);
    }

    fn start_at(
        ports: [u16; 3],
        name: &str,
        zone: &str,
        folder: &Path,
        store: &Store,
        first: bool,
    ) -> Self {
        let [front, ready, internal] = ports;
        let text = format!(
            r#"nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front"]
ipAddress = "127.0.0.1"
zone = "{zone}"
region = "sul"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = {first}
countsAsLoss = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
poa-a = "sul"
poa-b = "sul"
caxias = "sul"
[listenAddresses]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
processorShare = 0.19
cores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configurationMs = 2000
rollbackSlackMs = 250
coreStretchMs = 5000
strictRevocation = true
revocationMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetExtraTries = 54
recoveryS = 12
forwardPassMs = 120
retryAfterS = 10
capacityFactor = 2
[platform]
address = "{}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
            store.address
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).unwrap_or_else(|error| give_up(&format!("{error}")));
        let log = folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(COMMAND);
        command.env_clear().env("SILVERSTACK_SETTINGS", &settings);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(variable) {
                command.env(variable, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).spawn();
        let child = child.unwrap_or_else(|error| give_up(&format!("{COMMAND}: {error}")));
        CHILDREN.lock().unwrap().push(child.id());
        Self {
            name: name.to_owned(),
            front: SocketAddr::from(([127, 0, 0, 1], front)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            child,
            ports,
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = send(self.ready, "GET /v1/ready", &[("Host", "ready")], b"", ms(500));
        answer.is_some_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&self) {
        let start = Instant::now();
        while !self.is_ready() {
            if start.elapsed() > Duration::from_secs(15) {
                give_up(&format!("{} is not ready", self.name));
            }
            sleep(ms(20));
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A link between consumers and a router. Channels that are open when it goes silent stay open, and
/// nothing comes through any more, as when the machine behind them loses power.
pub struct Line {
    pub address: SocketAddr,
    /// Counts how often it went silent.
    silences: Arc<AtomicUsize>,
}

impl Line {
    pub fn start(front: SocketAddr) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&format!("{error}")));
        let line = Self { address: listener.local_addr().unwrap(), silences: Arc::default() };
        let silences = line.silences.clone();
        spawn(move || {
            for consumer in listener.incoming().flatten() {
                let Ok(router) = TcpStream::connect_timeout(&front, ms(1_000)) else { continue };
                let opened = silences.load(Ordering::SeqCst);
                for (from, to) in [(&consumer, &router), (&router, &consumer)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let silences = silences.clone();
                    spawn(move || pass_on(from, to, || silences.load(Ordering::SeqCst) == opened));
                }
            }
        });
        line
    }

    pub fn go_silent(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// Passes bytes on until the end; once the link is silent nothing more, not even the end.
fn pass_on(mut from: TcpStream, mut to: TcpStream, is_open: impl Fn() -> bool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer);
        if !is_open() {
            // The sockets stay open.
            sleep(MAX_CASE);
        }
        let read = read.unwrap_or(0);
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Ends all processes that this one has started, then this one.
fn finish(code: i32) -> ! {
    for id in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
    std::process::exit(code)
}

/// The case couldn't run.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case couldn't run: {why}");
    finish(2)
}

// ------------------------------------------------------------------------------------------ main

/// What all cases have.
pub struct Lab {
    pub log: Log,
    pub folder: PathBuf,
    pub trouble: bool,
    pub store: Store,
    pub runs: Runs,
}

impl Lab {
    pub fn elapsed(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.log.start).as_millis() as u64
    }

    /// Writes every run into the record.
    pub fn record_runs(&self) {
        for run in self.runs.lock().unwrap().iter() {
            self.log.line(&format!(
                "ran at {:>6}: {} {} tenant={} at {} ({}) body={}",
                self.elapsed(run.at),
                run.id,
                run.target,
                run.tenant.as_deref().unwrap_or("-"),
                run.runner,
                run.version,
                run.body
            ));
        }
    }
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { give_up("usage: lab CASE DIR") };
    spawn(|| {
        sleep(MAX_CASE);
        give_up("out of time");
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let log = Log::create(&Path::new(folder).join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap_or_else(|error| give_up(&format!("{error}")));
    let lab = Lab {
        log,
        folder: temporary.clone(),
        trouble,
        store: Store::start(),
        runs: Runs::default(),
    };
    lab.log.say(&format!("case {case}, disruption: {trouble}"));
    let broken = cases::play(case, &lab);
    lab.log.say(if broken { "the rule was broken" } else { "the rule held" });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(temporary);
    } else {
        println!("logs in {}", temporary.display());
    }
    finish(i32::from(broken))
}
