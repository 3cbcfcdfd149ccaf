//! A plain service whose calls may not be repeated.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde_json::json;

use crate::Server;

/// How often each idempotency key ran.
type Runs = Arc<Mutex<HashMap<String, u64>>>;

/// A running service: it runs whatever it gets and counts it by key.
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
    /// Starts a service that listens on `address` and takes `latency` a call.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn start(address: &str, name: &str, latency: Duration) -> std::io::Result<Self> {
        let runs = Runs::default();
        let shared = Shared { name: name.into(), latency, runs: runs.clone() };
        let server = Server::start(address, move |config| {
            config
                .state(shared.clone())
                .route("/runs", web::get().to(all))
                .route("/{path}*", web::route().to(run));
        })?;
        Ok(Self { server, runs })
    }

    /// Its server.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// How often each key ran.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn run(request: HttpRequest, body: Bytes, shared: web::types::State<Shared>) -> HttpResponse {
    let key = request.headers().get("idempotency-key").and_then(|it| it.to_str().ok());
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
        "path": request.uri().path_and_query().map_or("", |it| it.as_str()),
        "key": key,
        "run": run,
        "body": String::from_utf8_lossy(&body),
    }))
}

async fn all(shared: web::types::State<Shared>) -> HttpResponse {
    let runs = shared.runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    HttpResponse::Ok().json(&runs)
}
