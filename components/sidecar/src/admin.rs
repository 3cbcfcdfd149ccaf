//! The operators' pages.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use ntex::web::{self, HttpResponse};
use serde_json::json;
use snafu::ResultExt;
use telemetry::Metrics;

use crate::core::Shared;
use crate::error::{BindSnafu, Error, SocketSnafu};

/// The running pages.
pub(crate) struct Page {
    address: SocketAddr,
    server: ntex::server::Server,
}

impl std::fmt::Debug for Page {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Page").field("address", &self.address).finish_non_exhaustive()
    }
}

/// What the pages show.
#[derive(Clone)]
pub(crate) struct Pages {
    pub name: Arc<str>,
    pub state: Shared,
    pub stop: process::Shutdown,
    pub metrics: Arc<Metrics>,
}

impl Page {
    pub(crate) fn start(address: &str, pages: Pages) -> Result<Self, Error> {
        let (listener, address) = process::bind(address).context(BindSnafu)?;
        let factory = async move || {
            web::App::new()
                .state(pages.clone())
                .route("/healthz", web::get().to(async || HttpResponse::Ok().body("ok\n")))
                .route("/readyz", web::get().to(ready))
                .route("/status", web::get().to(status))
                .route("/metrics", web::get().to(metrics))
                .route("/drain", web::post().to(drain))
        };
        let server = web::HttpServer::new(factory)
            .workers(1)
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

async fn ready(pages: web::types::State<Pages>) -> HttpResponse {
    if pages.state.lock().is_leaving() {
        return HttpResponse::ServiceUnavailable().body("leaving\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn status(pages: web::types::State<Pages>) -> HttpResponse {
    let state = pages.state.lock();
    let status = state.status();
    HttpResponse::Ok().json(&json!({
        "name": &*pages.name,
        "incarnation": state.incarnation(),
        "load": status.load,
        "pool": status.pool,
        "running": state.running(),
        "queued": status.queued,
        "leaving": status.leaving,
    }))
}

async fn metrics(pages: web::types::State<Pages>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(pages.metrics.render())
}

async fn drain(pages: web::types::State<Pages>) -> HttpResponse {
    pages.stop.request();
    HttpResponse::Accepted().body("leaving\n")
}
