//! The admin HTTP endpoints: health, readiness, status, metrics and drain.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use ntex::web::{self, HttpResponse};
use serde_json::json;
use snafu::ResultExt;
use telemetry::Metrics;

use crate::core::SharedState;
use crate::error::{BindSnafu, Error, SocketSnafu};

/// The number of connections for operators. Others wait until one ends, which an idle one does soon.
const MAX_CONNECTIONS: usize = 64;

/// The running admin server.
pub(crate) struct AdminServer {
    address: SocketAddr,
    server: ntex::server::Server,
}

impl std::fmt::Debug for AdminServer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("AdminServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// What the endpoints read, and the stop that `/drain` requests.
#[derive(Clone)]
pub(crate) struct AdminState {
    pub name: Arc<str>,
    pub state: SharedState,
    pub stop: process::Shutdown,
    pub metrics: Arc<Metrics>,
}

impl AdminServer {
    pub(crate) fn start(address: &str, admin: AdminState) -> Result<Self, Error> {
        let (listener, address) = process::bind(address).context(BindSnafu)?;
        let factory = async move || {
            web::App::new()
                .state(admin.clone())
                .route("/healthz", web::get().to(async || HttpResponse::Ok().body("ok\n")))
                .route("/readyz", web::get().to(ready))
                .route("/status", web::get().to(status))
                .route("/metrics", web::get().to(metrics))
                .route("/drain", web::post().to(drain))
        };
        let server = web::HttpServer::new(factory)
            .workers(1)
            .maxconn(MAX_CONNECTIONS)
            .disable_signals()
            .listen(listener)
            .context(SocketSnafu)?
            .run();
        Ok(Self { address, server })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn stop(&self) -> impl Future<Output = ()> + use<> {
        self.server.stop(false)
    }
}

async fn ready(admin: web::types::State<AdminState>) -> HttpResponse {
    if admin.state.lock().is_leaving() {
        return HttpResponse::ServiceUnavailable().body("leaving\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn status(admin: web::types::State<AdminState>) -> HttpResponse {
    let state = admin.state.lock();
    let status = state.status();
    HttpResponse::Ok().json(&json!({
        "name": &*admin.name,
        "incarnation": state.incarnation(),
        "load": status.load,
        "pool": status.pool,
        "running": state.running(),
        "queued": status.queued,
        "leaving": status.leaving,
    }))
}

async fn metrics(admin: web::types::State<AdminState>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(admin.metrics.render())
}

async fn drain(admin: web::types::State<AdminState>) -> HttpResponse {
    admin.stop.request();
    HttpResponse::Accepted().body("leaving\n")
}
