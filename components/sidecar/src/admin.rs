//! The operators' pages.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use ntex::web::{self, HttpResponse};
use serde_json::json;
use snafu::ResultExt;

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

#[derive(Clone)]
struct Pages {
    name: Arc<str>,
    state: Shared,
    stop: process::Stop,
}

impl Page {
    pub(crate) fn start(
        address: &str,
        name: &Arc<str>,
        state: &Shared,
        stop: &process::Stop,
    ) -> Result<Self, Error> {
        let (listener, address) = process::bind(address).context(BindSnafu)?;
        let pages = Pages { name: name.clone(), state: state.clone(), stop: stop.clone() };
        let factory = async move || {
            web::App::new()
                .state(pages.clone())
                .route("/healthz", web::get().to(async || HttpResponse::Ok().body("ok\n")))
                .route("/readyz", web::get().to(ready))
                .route("/status", web::get().to(status))
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
    let vitals = state.vitals();
    HttpResponse::Ok().json(&json!({
        "name": &*pages.name,
        "incarnation": state.incarnation(),
        "load": vitals.load,
        "pool": vitals.pool,
        "running": state.running(),
        "queued": vitals.queued,
        "leaving": vitals.leaving,
    }))
}

async fn drain(pages: web::types::State<Pages>) -> HttpResponse {
    pages.stop.ask();
    HttpResponse::Accepted().body("leaving\n")
}
