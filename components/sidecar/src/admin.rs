//! The admin HTTP endpoints: health, readiness, status, metrics and drain.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::HttpService;
use ntex::io::Io;
use ntex::service::ServiceFactory;
use ntex::web::{self, HttpResponse};
use process::{Connections, Listener, Shutdown};
use serde_json::json;
use snafu::ResultExt;
use spdlog::error;
use telemetry::Metrics;

use crate::core::SharedState;
use crate::error::{BindSnafu, Error};

/// The number of connections for operators.
const MAX_CONNECTIONS: usize = 64;

/// The admin server, whose socket is bound.
#[derive(Debug)]
pub(crate) struct AdminServer {
    address: SocketAddr,
    listener: TcpListener,
    admin: AdminState,
}

/// What the endpoints read, and the stop that `/drain` requests.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    pub name: Arc<str>,
    pub state: SharedState,
    pub stop: Shutdown,
    pub metrics: Arc<Metrics>,
}

impl AdminServer {
    pub(crate) fn bind(address: &str, admin: AdminState) -> Result<Self, Error> {
        let (listener, address) = process::bind(address).context(BindSnafu)?;
        Ok(Self { address, listener, admin })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves operators until the task is stopped.
    pub(crate) async fn serve(self) {
        let admin = self.admin;
        let app = web::App::new()
            .state(admin)
            .route("/healthz", web::get().to(async || HttpResponse::Ok().body("ok\n")))
            .route("/readyz", web::get().to(ready))
            .route("/status", web::get().to(status))
            .route("/metrics", web::get().to(metrics))
            .route("/drain", web::post().to(drain));
        let config = SharedCfg::new("sidecar");
        if let Err(fault) = serve(self.listener, HttpService::new(app), config.into()).await {
            error!("operators can't be served", kv: { fault });
        }
    }
}

async fn serve<F>(socket: TcpListener, factory: F, config: SharedCfg) -> Result<(), String>
where
    F: ServiceFactory<Io, SharedCfg, Response = (), InitError = ()>,
    F::Service: 'static,
{
    let service = factory.create(config.clone()).await;
    let service = service.map_err(|()| "the service can't be created".to_owned())?;
    let connections = Connections::new(MAX_CONNECTIONS);
    let listener = Listener::new(socket, config, connections).map_err(|error| error.to_string())?;
    listener.serve(service, Shutdown::new(), Duration::ZERO, || false).await;
    Ok(())
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
