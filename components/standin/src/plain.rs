//! A plain service with calls that are not repeatable.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde_json::json;

use crate::Server;

/// The number of runs of each idempotency key.
type Runs = Arc<Mutex<HashMap<String, u64>>>;

/// A service that runs every call and counts the runs by idempotency key.
#[derive(Debug)]
pub struct PlainService {
    server: Server,
    runs: Runs,
}

#[derive(Clone)]
struct Shared {
    name: Arc<str>,
    latency: Duration,
    runs: Runs,
}

impl PlainService {
    /// Starts a service on `address` that answers each call after `latency`.
    ///
    /// # Errors
    ///
    /// Fails if `address` can't be bound.
    pub fn start(address: &str, name: &str, latency: Duration) -> std::io::Result<Self> {
        let runs = Runs::default();
        let shared = Shared { name: name.into(), latency, runs: runs.clone() };
        let server = Server::start(address, move |config| {
            config
                .state(shared.clone())
                .route("/runs", web::get().to(list_runs))
                .route("/{path}*", web::route().to(run));
        })?;
        Ok(Self { server, runs })
    }

    /// Returns the HTTP server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the number of runs of each key.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn run(request: HttpRequest, body: Bytes, shared: web::types::State<Shared>) -> HttpResponse {
    let key = request.headers().get("idempotency-key").and_then(|value| value.to_str().ok());
    let key = key.unwrap_or("").to_owned();
    let run = {
        let mut runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(key.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(shared.latency).await;
    HttpResponse::Ok().json(&json!({
        "service": &*shared.name,
        "method": request.method().as_str(),
        "path": request.uri().path_and_query().map_or("", |path| path.as_str()),
        "key": key,
        "run": run,
        "body": String::from_utf8_lossy(&body),
    }))
}

async fn list_runs(shared: web::types::State<Shared>) -> HttpResponse {
    let runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    HttpResponse::Ok().json(&runs)
}
