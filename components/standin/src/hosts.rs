//! The platform's lagging list of live and leaving hosts.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ntex::web::{self, HttpRequest, HttpResponse};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::Server;

/// The truth of now, and what is shown.
#[derive(Debug, Default)]
struct Lists {
    truth: Vec<Value>,
    changes: Vec<(Instant, Vec<Value>)>,
    shown: Vec<Value>,
    lag: Duration,
}

type Shared = Arc<Mutex<Lists>>;

/// A running list.
#[derive(Debug)]
pub struct Hosts {
    server: Server,
    lists: Shared,
}

impl Hosts {
    /// Starts a list on `address` that shows each change `lag` late.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn start(address: &str, lag: Duration) -> std::io::Result<Self> {
        let lists: Shared = Arc::new(Mutex::new(Lists { lag, ..Lists::default() }));
        let shared = lists.clone();
        let server = Server::start(address, move |config| {
            config
                .state(shared.clone())
                .route("/v1/hosts", web::get().to(show))
                .route("/v1/hosts", web::put().to(put));
        })?;
        Ok(Self { server, lists })
    }

    /// Its server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Adds a host, or replaces the one of the same name.
    pub fn put(&self, host: Value) {
        lock(&self.lists).put(host);
    }

    /// Takes a host off.
    pub fn remove(&self, name: &str) {
        let mut lists = lock(&self.lists);
        lists.truth.retain(|it| it["name"] != name);
        lists.changed();
    }

    /// Marks a host as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut lists = lock(&self.lists);
        for host in &mut lists.truth {
            if host["name"] == name {
                host["leaving"] = true.into();
            }
        }
        lists.changed();
    }
}

impl Lists {
    fn put(&mut self, host: Value) {
        self.truth.retain(|it| it["name"] != host["name"]);
        self.truth.push(host);
        self.changed();
    }

    fn changed(&mut self) {
        let due = Instant::now() + self.lag;
        self.changes.push((due, self.truth.clone()));
    }

    fn shown(&mut self) -> &[Value] {
        let now = Instant::now();
        while self.changes.first().is_some_and(|(due, _)| *due <= now) {
            self.shown = self.changes.remove(0).1;
        }
        &self.shown
    }
}

fn lock(lists: &Shared) -> std::sync::MutexGuard<'_, Lists> {
    lists.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The list, or 304 if the reader has it already.
async fn show(request: HttpRequest, lists: web::types::State<Shared>) -> HttpResponse {
    let body = serde_json::json!(lock(&lists).shown()).to_string();
    let tag = format!("\"{:x}\"", xxh3_64(body.as_bytes()));
    let known = request.headers().get("if-none-match").and_then(|it| it.to_str().ok());
    if known == Some(&tag) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok().header("etag", tag).content_type("application/json").body(body)
}

async fn put(host: web::types::Json<Value>, lists: web::types::State<Shared>) -> HttpResponse {
    lock(&lists).put(host.into_inner());
    HttpResponse::Ok().finish()
}
