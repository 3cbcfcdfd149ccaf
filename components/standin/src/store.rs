//! The platform's key-value store: etcd v3, JSON over HTTP.
//!
//! Implements the subset of ranges, puts, transactions, leases and watches that
//! the fleet uses.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::stream;
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse};
use serde_json::{Value, json};

use crate::Server;

/// An injected fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every call fails without taking effect.
    Down,
    /// Every call is delayed by this time, in milliseconds.
    Delay(u64),
    /// Every call takes effect, but its response is dropped.
    DropAnswers,
}

/// The time between checks of a watch for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct Entry {
    value: String,
    created: u64,
    modified: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    revision: u64,
    entries: BTreeMap<String, Entry>,
    /// The expiry and the TTL of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: Vec<(u64, String, Option<Entry>)>,
    calls: u64,
}

#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<Inner>>);

/// A running key-value store.
#[derive(Debug)]
pub struct Store {
    server: Server,
    shared: Shared,
}

impl Store {
    /// Starts a store on `address`.
    ///
    /// # Errors
    ///
    /// Fails if `address` can't be bound.
    pub fn start(address: &str) -> std::io::Result<Self> {
        let shared = Shared::default();
        let routes = shared.clone();
        let server = Server::start(address, move |config| {
            config
                .state(routes.clone())
                .route("/v3/kv/range", route(Inner::range))
                .route("/v3/kv/put", route(Inner::put))
                .route("/v3/kv/txn", route(Inner::transact))
                .route("/v3/lease/grant", route(Inner::grant))
                .route("/v3/lease/keepalive", route(Inner::keep_alive))
                .route("/v3/lease/revoke", route(Inner::revoke))
                .route("/v3/watch", web::post().to(watch))
                .route("/trouble", web::post().to(set_fault));
        })?;
        Ok(Self { server, shared })
    }

    /// Returns the HTTP server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Injects a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Returns the values of the keys with `prefix`, by the rest of the key.
    pub fn values(&self, prefix: &str) -> BTreeMap<String, String> {
        let inner = self.shared.lock();
        let entries = inner.entries.iter();
        let named = entries.filter_map(|(key, entry)| Some((key.strip_prefix(prefix)?, entry)));
        named.map(|(key, entry)| (key.to_owned(), entry.value.clone())).collect()
    }

    /// Returns the number of calls that took effect.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn route(handler: fn(&mut Inner, &Value) -> Value) -> web::Route {
    web::post().to(async move |body: web::types::Json<Value>, shared: web::types::State<Shared>| {
        answer(&body, &shared, handler).await
    })
}

async fn answer(
    body: &Value,
    shared: &Shared,
    handler: fn(&mut Inner, &Value) -> Value,
) -> HttpResponse {
    let fault = shared.lock().fault;
    match fault {
        Fault::Down => return HttpResponse::ServiceUnavailable().finish(),
        Fault::Delay(delay_ms) => tokio::time::sleep(Duration::from_millis(delay_ms)).await,
        Fault::None | Fault::DropAnswers => {}
    }
    let answer = {
        let mut inner = shared.lock();
        inner.calls += 1;
        inner.expire_leases();
        handler(&mut inner, body)
    };
    if fault == Fault::DropAnswers {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&answer)
}

async fn set_fault(
    body: web::types::Json<Value>,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    let fault = match (body["trouble"].as_str(), body["ms"].as_u64()) {
        (Some("down"), _) => Fault::Down,
        (Some("slow"), Some(delay_ms)) => Fault::Delay(delay_ms),
        (Some("loses_answers"), _) => Fault::DropAnswers,
        _ => Fault::None,
    };
    shared.lock().fault = fault;
    HttpResponse::Ok().finish()
}

/// Parses an integer, which the protocol encodes as a string or a number.
fn parse_number(value: &Value) -> u64 {
    value.as_u64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}

fn decode(value: &Value) -> String {
    let bytes = value.as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Inner {
    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    /// Removes expired leases and their keys.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, (expiry, _))| *expiry <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove_lease(id);
        }
    }

    fn remove_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.entries.remove(&key);
            self.history.push((self.revision, key, None));
        }
    }

    fn range(&mut self, body: &Value) -> Value {
        let key = decode(&body["key"]);
        let end = decode(&body["range_end"]);
        let entries: Vec<_> = if end.is_empty() {
            self.entries.get_key_value(&key).into_iter().collect()
        } else {
            self.entries.range(key..end).collect()
        };
        let kvs: Vec<_> = entries.into_iter().map(|(key, entry)| entry.json(key)).collect();
        json!({ "header": self.header(), "count": kvs.len().to_string(), "kvs": kvs })
    }

    fn put(&mut self, body: &Value) -> Value {
        let key = decode(&body["key"]);
        self.revision += 1;
        let created = self.entries.get(&key).map_or(self.revision, |entry| entry.created);
        let entry = Entry {
            value: decode(&body["value"]),
            created,
            modified: self.revision,
            lease: parse_number(&body["lease"]),
        };
        self.history.push((self.revision, key.clone(), Some(entry.clone())));
        self.entries.insert(key, entry);
        json!({ "header": self.header() })
    }

    fn transact(&mut self, body: &Value) -> Value {
        let empty = Vec::new();
        let compares = body["compare"].as_array().unwrap_or(&empty);
        let succeeded = compares.iter().all(|compare| self.compare(compare));
        let branch = if succeeded { &body["success"] } else { &body["failure"] };
        let operations = branch.as_array().unwrap_or(&empty);
        let responses: Vec<_> =
            operations.iter().map(|operation| self.execute(operation)).collect();
        json!({ "header": self.header(), "succeeded": succeeded, "responses": responses })
    }

    fn execute(&mut self, operation: &Value) -> Value {
        if operation["request_put"].is_object() {
            return json!({ "response_put": self.put(&operation["request_put"]) });
        }
        json!({ "response_range": self.range(&operation["request_range"]) })
    }

    fn compare(&self, compare: &Value) -> bool {
        let entry = self.entries.get(&decode(&compare["key"]));
        match compare["target"].as_str() {
            Some("CREATE") => {
                entry.map_or(0, |entry| entry.created) == parse_number(&compare["create_revision"])
            }
            Some("MOD") => {
                entry.map_or(0, |entry| entry.modified) == parse_number(&compare["mod_revision"])
            }
            Some("VALUE") => entry.is_some_and(|entry| entry.value == decode(&compare["value"])),
            _ => false,
        }
    }

    fn grant(&mut self, body: &Value) -> Value {
        self.revision += 1;
        let id = self.revision;
        let ttl = Duration::from_secs(parse_number(&body["TTL"]));
        self.leases.insert(id, (Instant::now() + ttl, ttl));
        json!({ "header": self.header(), "ID": id.to_string(), "TTL": body["TTL"] })
    }

    fn keep_alive(&mut self, body: &Value) -> Value {
        let id = parse_number(&body["ID"]);
        let ttl_seconds = self.leases.get_mut(&id).map_or(0, |(expiry, ttl)| {
            *expiry = Instant::now() + *ttl;
            ttl.as_secs()
        });
        json!({ "result": { "ID": id.to_string(), "TTL": ttl_seconds.to_string() } })
    }

    fn revoke(&mut self, body: &Value) -> Value {
        self.remove_lease(parse_number(&body["ID"]));
        json!({ "header": self.header() })
    }

    fn changes(&self, key: &str, end: &str, from: u64) -> Vec<Value> {
        let in_range = |changed: &str| {
            if end.is_empty() { changed == key } else { changed >= key && changed < end }
        };
        let changes = self
            .history
            .iter()
            .filter(|(revision, changed, _)| *revision >= from && in_range(changed));
        changes
            .map(|(_, key, entry)| match entry {
                Some(entry) => json!({ "type": "PUT", "kv": entry.json(key) }),
                None => json!({ "type": "DELETE", "kv": { "key": STANDARD.encode(key) } }),
            })
            .collect()
    }
}

impl Entry {
    fn json(&self, key: &str) -> Value {
        json!({
            "key": STANDARD.encode(key),
            "value": STANDARD.encode(&self.value),
            "create_revision": self.created.to_string(),
            "mod_revision": self.modified.to_string(),
            "lease": self.lease.to_string(),
        })
    }
}

async fn watch(body: web::types::Json<Value>, shared: web::types::State<Shared>) -> HttpResponse {
    let create = &body["create_request"];
    let (key, end) = (decode(&create["key"]), decode(&create["range_end"]));
    let from = match parse_number(&create["start_revision"]) {
        0 => shared.lock().revision + 1,
        from => from,
    };
    let state = (shared.get_ref().clone(), key, end, from);
    let changes = stream::unfold(state, |(shared, key, end, from)| async move {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            let (events, header, revision, fault) = {
                let mut inner = shared.lock();
                inner.expire_leases();
                let events = inner.changes(&key, &end, from);
                (events, inner.header(), inner.revision, inner.fault)
            };
            if fault == Fault::Down {
                return None;
            }
            if !events.is_empty() {
                let line = json!({ "result": { "header": header, "events": events } });
                let bytes = Ok::<_, std::io::Error>(Bytes::from(format!("{line}\n")));
                return Some((bytes, (shared, key, end, revision + 1)));
            }
        }
    });
    HttpResponse::Ok().content_type("application/json").streaming(Box::pin(changes))
}
