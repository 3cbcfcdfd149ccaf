//! The router as a whole: start, serve, stop.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use edge::Connect;
use ntex::http::{HttpService, HttpServiceConfig};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::{SharedCfg, web};
use snafu::ResultExt;
use tokio::sync::watch;

use crate::core::Core;
use crate::error::{BindSnafu, Error, SocketSnafu};
use crate::shared::Shared;
use crate::{background, http, ingress};

/// How long a caller may take to send the headers.
const HEADERS_TIMEOUT: Seconds = Seconds(5);

/// The most headers of a request.
const MAX_HEADERS: usize = 64;

/// How long a stop waits for the last bytes to be written.
const LAST_BYTES: Seconds = Seconds(2);

/// How long a caller's idle connection is kept. Callers of the platform stop
/// using one before the limit that the configuration sets, 15 s on its sites.
const IDLE: Seconds = Seconds(30);

/// A router that serves.
#[derive(Debug)]
pub struct Router {
    settings: Arc<settings::Router>,
    address: SocketAddr,
    server: Server,
    stop: process::Stop,
    reload: watch::Sender<settings::Router>,
}

impl Router {
    /// Reads the intents, binds the socket and starts to serve.
    ///
    /// # Errors
    ///
    /// The intents are wrong, or the address can't be listened on.
    pub fn start(settings: settings::Router) -> Result<Self, Error> {
        let plan = background::read_plan(&settings.intents)?;
        let settings = Arc::new(settings);
        let (listener, address) = process::bind(&settings.listen).context(BindSnafu)?;
        let stop = process::Stop::new();
        let reload = watch::Sender::new((*settings).clone());
        let (shared, asked, changes) = (settings.clone(), stop.clone(), reload.subscribe());
        let factory = async move || {
            let plan = Some(plan.clone());
            let (core, outbox) =
                Core::new(shared.clone(), plan, None, asked.clone(), changes.clone()).await;
            background::spawn(&core, outbox);
            web::App::new().state(core).configure(http::routes)
        };
        let server = web::HttpServer::new(factory)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(LAST_BYTES)
            .config(SharedCfg::new("router").add(limits()))
            .listen(listener)
            .context(SocketSnafu)?
            .run();
        Ok(Self { settings, address, server, stop, reload })
    }

    /// Binds the sockets and starts to serve on a platform, whose store brings
    /// the configuration and the upstreams.
    ///
    /// # Errors
    ///
    /// An address can't be listened on.
    pub fn start_direct(
        settings: settings::Router,
        operators: &str,
        connect: Connect,
    ) -> Result<Self, Error> {
        let settings = Arc::new(settings);
        let (listener, address) = process::bind(&settings.listen).context(BindSnafu)?;
        let (operators, _) = process::bind(operators).context(BindSnafu)?;
        let stop = process::Stop::new();
        let reload = watch::Sender::new((*settings).clone());
        let shared = Shared {
            settings: settings.clone(),
            connect,
            stop: stop.clone(),
            reload: reload.subscribe(),
        };
        let server = serve(shared, listener, operators)?;
        Ok(Self { settings, address, server, stop, reload })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The handle that asks for a planned stop.
    pub fn stop(&self) -> process::Stop {
        self.stop.clone()
    }

    /// What takes settings that were read again.
    pub fn reload(&self) -> watch::Sender<settings::Router> {
        self.reload.clone()
    }

    /// Serves until a stop was asked for and nothing is in flight, or the
    /// drain's time is over. Returns whether everything was finished.
    pub async fn run(self) -> bool {
        self.stop.asked().await;
        let timeout = self.settings.drain_notice_ms + self.settings.drain_ms;
        let timeout = Duration::from_millis(timeout);
        let finished = tokio::time::timeout(timeout, self.stop.finished()).await.is_ok();
        self.server.stop(true).await;
        finished
    }
}

/// The limits on what a caller sends.
fn limits() -> HttpServiceConfig {
    HttpServiceConfig::new().set_max_headers(MAX_HEADERS).set_client_timeout(HEADERS_TIMEOUT)
}

/// Serves callers and operators on one thread, with one state.
fn serve(shared: Shared, callers: TcpListener, operators: TcpListener) -> Result<Server, Error> {
    let (for_callers, for_operators) = (shared.clone(), shared);
    let config: SharedCfg = SharedCfg::new("router").add(limits().set_keepalive(IDLE)).into();
    let operators_config = config.clone();
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(LAST_BYTES)
        .listen("callers", callers, async move |service| {
            service.config(config.clone());
            let core = for_callers.core().await;
            HttpService::new(web::App::new().state(core).default_service(web::to(ingress::serve)))
        })
        .context(SocketSnafu)?
        .listen("operators", operators, async move |service| {
            service.config(operators_config.clone());
            let core = for_operators.core().await;
            let ready = core.edges().ready_path;
            let pages = move |config: &mut _| ingress::operators(config, ready);
            HttpService::new(web::App::new().state(core).configure(pages))
        })
        .context(SocketSnafu)?;
    Ok(server.run())
}
