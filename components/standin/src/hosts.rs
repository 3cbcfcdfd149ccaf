//! The platform's list of hosts, published with a lag.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ntex::web::{self, HttpRequest, HttpResponse};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::Server;

/// The current list of hosts and the published one.
#[derive(Debug, Default)]
struct Lists {
    current: Vec<Value>,
    /// Lists that are not yet published, by their due time.
    pending: Vec<(Instant, Vec<Value>)>,
    published: Vec<Value>,
    lag: Duration,
}

type Shared = Arc<Mutex<Lists>>;

/// A server of the list of hosts.
#[derive(Debug)]
pub struct Hosts {
    server: Server,
    lists: Shared,
}

impl Hosts {
    /// Starts a server on `address` that publishes each change after `lag`.
    ///
    /// # Errors
    ///
    /// Fails if `address` can't be bound.
    pub fn start(address: &str, lag: Duration) -> std::io::Result<Self> {
        let lists: Shared = Arc::new(Mutex::new(Lists { lag, ..Lists::default() }));
        let shared = lists.clone();
        let server = Server::start(address, move |config| {
            config
                .state(shared.clone())
                .route("/v1/hosts", web::get().to(get))
                .route("/v1/hosts", web::put().to(put));
        })?;
        Ok(Self { server, lists })
    }

    /// Returns the HTTP server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Adds a host, or replaces the one with the same name.
    pub fn put(&self, host: Value) {
        lock(&self.lists).put(host);
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        let mut lists = lock(&self.lists);
        lists.current.retain(|host| host["name"] != name);
        lists.schedule_publication();
    }

    /// Marks a host as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut lists = lock(&self.lists);
        for host in &mut lists.current {
            if host["name"] == name {
                host["leaving"] = true.into();
            }
        }
        lists.schedule_publication();
    }
}

impl Lists {
    fn put(&mut self, host: Value) {
        self.current.retain(|listed| listed["name"] != host["name"]);
        self.current.push(host);
        self.schedule_publication();
    }

    fn schedule_publication(&mut self) {
        let due = Instant::now() + self.lag;
        self.pending.push((due, self.current.clone()));
    }

    fn published(&mut self) -> &[Value] {
        let now = Instant::now();
        while self.pending.first().is_some_and(|(due, _)| *due <= now) {
            self.published = self.pending.remove(0).1;
        }
        &self.published
    }
}

fn lock(lists: &Shared) -> std::sync::MutexGuard<'_, Lists> {
    lists.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the published list, or 304 if its entity tag matches.
async fn get(request: HttpRequest, lists: web::types::State<Shared>) -> HttpResponse {
    let body = serde_json::json!(lock(&lists).published()).to_string();
    let tag = format!("\"{:x}\"", xxh3_64(body.as_bytes()));
    let known = request.headers().get("if-none-match").and_then(|value| value.to_str().ok());
    if known == Some(&tag) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok().header("etag", tag).content_type("application/json").body(body)
}

async fn put(host: web::types::Json<Value>, lists: web::types::State<Shared>) -> HttpResponse {
    lock(&lists).put(host.into_inner());
    HttpResponse::Ok().finish()
}
