//! The platform's key-value service: etcd v3, JSON over HTTP.
//!
//! Ranges, puts, transactions with comparisons, leases and watches, each as far
//! as the fleet uses it.

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

/// What is wrong with the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Every call fails without an effect.
    Down,
    /// Every call takes this much longer, in milliseconds.
    Delay(u64),
    /// Every call takes effect, but its answer is lost.
    DropAnswers,
}

/// How often a watch looks for changes.
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
    leases: BTreeMap<u64, (Instant, Duration)>,
    history: Vec<(u64, String, Option<Entry>)>,
    calls: u64,
}

#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<Inner>>);

/// A running service.
#[derive(Debug)]
pub struct Store {
    server: Server,
    shared: Shared,
}

impl Store {
    /// Starts a service that listens on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn start(address: &str) -> std::io::Result<Self> {
        let shared = Shared::default();
        let routes = shared.clone();
        let server = Server::start(address, move |config| {
            config
                .state(routes.clone())
                .route("/v3/kv/range", call(Inner::range))
                .route("/v3/kv/put", call(Inner::put))
                .route("/v3/kv/txn", call(Inner::transact))
                .route("/v3/lease/grant", call(Inner::grant))
                .route("/v3/lease/keepalive", call(Inner::keep_alive))
                .route("/v3/lease/revoke", call(Inner::revoke))
                .route("/v3/watch", web::post().to(watch))
                .route("/trouble", web::post().to(set_fault));
        })?;
        Ok(Self { server, shared })
    }

    /// Its server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Makes it fail from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// How many calls it has had.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call(act: fn(&mut Inner, &Value) -> Value) -> web::Route {
    web::post().to(async move |body: web::types::Json<Value>, shared: web::types::State<Shared>| {
        answer(&body, &shared, act).await
    })
}

async fn answer(
    body: &Value,
    shared: &Shared,
    act: fn(&mut Inner, &Value) -> Value,
) -> HttpResponse {
    let fault = shared.lock().fault;
    match fault {
        Fault::Down => return HttpResponse::ServiceUnavailable().finish(),
        Fault::Delay(more) => tokio::time::sleep(Duration::from_millis(more)).await,
        Fault::None | Fault::DropAnswers => {}
    }
    let answer = {
        let mut inner = shared.lock();
        inner.calls += 1;
        inner.lapse();
        act(&mut inner, body)
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
        (Some("slow"), Some(more)) => Fault::Delay(more),
        (Some("loses_answers"), _) => Fault::DropAnswers,
        _ => Fault::None,
    };
    shared.lock().fault = fault;
    HttpResponse::Ok().finish()
}

/// A number, which the protocol writes as text.
fn number(value: &Value) -> u64 {
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

    /// Takes out what hung on leases that have run out.
    fn lapse(&mut self) {
        let now = Instant::now();
        let dead: Vec<_> =
            self.leases.iter().filter(|(_, (due, _))| *due <= now).map(|(id, _)| *id).collect();
        for id in dead {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, it)| it.lease == id)
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
        let created = self.entries.get(&key).map_or(self.revision, |it| it.created);
        let entry = Entry {
            value: decode(&body["value"]),
            created,
            modified: self.revision,
            lease: number(&body["lease"]),
        };
        self.history.push((self.revision, key.clone(), Some(entry.clone())));
        self.entries.insert(key, entry);
        json!({ "header": self.header() })
    }

    fn transact(&mut self, body: &Value) -> Value {
        let empty = Vec::new();
        let compares = body["compare"].as_array().unwrap_or(&empty);
        let succeeded = compares.iter().all(|it| self.compare(it));
        let branch = if succeeded { &body["success"] } else { &body["failure"] };
        let operations = branch.as_array().unwrap_or(&empty);
        let responses: Vec<_> = operations.iter().map(|it| self.operate(it)).collect();
        json!({ "header": self.header(), "succeeded": succeeded, "responses": responses })
    }

    fn operate(&mut self, operation: &Value) -> Value {
        if operation["request_put"].is_object() {
            return json!({ "response_put": self.put(&operation["request_put"]) });
        }
        json!({ "response_range": self.range(&operation["request_range"]) })
    }

    fn compare(&self, compare: &Value) -> bool {
        let entry = self.entries.get(&decode(&compare["key"]));
        match compare["target"].as_str() {
            Some("CREATE") => {
                entry.map_or(0, |it| it.created) == number(&compare["create_revision"])
            }
            Some("MOD") => entry.map_or(0, |it| it.modified) == number(&compare["mod_revision"]),
            Some("VALUE") => entry.is_some_and(|it| it.value == decode(&compare["value"])),
            _ => false,
        }
    }

    fn grant(&mut self, body: &Value) -> Value {
        self.revision += 1;
        let id = self.revision;
        let length = Duration::from_secs(number(&body["TTL"]));
        self.leases.insert(id, (Instant::now() + length, length));
        json!({ "header": self.header(), "ID": id.to_string(), "TTL": body["TTL"] })
    }

    fn keep_alive(&mut self, body: &Value) -> Value {
        let id = number(&body["ID"]);
        let left = self.leases.get_mut(&id).map_or(0, |(due, length)| {
            *due = Instant::now() + *length;
            length.as_secs()
        });
        json!({ "result": { "ID": id.to_string(), "TTL": left.to_string() } })
    }

    fn revoke(&mut self, body: &Value) -> Value {
        self.end_lease(number(&body["ID"]));
        json!({ "header": self.header() })
    }

    fn changes(&self, key: &str, end: &str, from: u64) -> Vec<Value> {
        let within = |it: &str| {
            if end.is_empty() { it == key } else { it >= key && it < end }
        };
        let changes =
            self.history.iter().filter(|(revision, it, _)| *revision >= from && within(it));
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
    let from = match number(&create["start_revision"]) {
        0 => shared.lock().revision + 1,
        from => from,
    };
    let state = (shared.get_ref().clone(), key, end, from);
    let changes = stream::unfold(state, |(shared, key, end, from)| async move {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            let (events, header, revision, fault) = {
                let mut inner = shared.lock();
                inner.lapse();
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
