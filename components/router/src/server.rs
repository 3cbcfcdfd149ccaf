//! Starts, runs and stops a router.

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
use crate::factory::CoreFactory;
use crate::{background, http, ingress};

/// How long a caller may take to send the headers.
const HEADERS_TIMEOUT: Seconds = Seconds(5);

const MAX_HEADERS: usize = 64;

/// How long a shutdown waits for the last bytes to be written.
const FLUSH_TIMEOUT: Seconds = Seconds(2);

/// How long an idle connection of a caller is kept. Longer than callers on a platform keep theirs,
/// so that they are the ones to close it.
const IDLE_TIMEOUT: Seconds = Seconds(30);

/// A running router.
#[derive(Debug)]
pub struct Router {
    settings: Arc<settings::Router>,
    address: SocketAddr,
    server: Server,
    stop: process::Shutdown,
    reload: watch::Sender<settings::Router>,
}

impl Router {
    /// Reads the intents, binds the socket and starts to serve.
    ///
    /// # Errors
    ///
    /// The intents are invalid, or listening on the address failed.
    pub fn start(settings: settings::Router) -> Result<Self, Error> {
        let plan = background::read_plan(&settings.intents)?;
        let settings = Arc::new(settings);
        let (listener, address) = process::bind(&settings.listen).context(BindSnafu)?;
        let stop = process::Shutdown::new();
        let reload = watch::Sender::new((*settings).clone());
        let (shared, stop_handle, changes) = (settings.clone(), stop.clone(), reload.subscribe());
        let factory = async move || {
            let plan = Some(plan.clone());
            let (core, directory_updates) =
                Core::new(shared.clone(), plan, None, stop_handle.clone(), changes.clone()).await;
            background::spawn(&core, directory_updates);
            web::App::new().state(core).configure(http::routes)
        };
        let server = web::HttpServer::new(factory)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(FLUSH_TIMEOUT)
            .config(SharedCfg::new("router").add(limits()))
            .listen(listener)
            .context(SocketSnafu)?
            .run();
        Ok(Self { settings, address, server, stop, reload })
    }

    /// Binds the sockets and starts to serve on a platform, whose store provides the configuration
    /// and the upstreams.
    ///
    /// # Errors
    ///
    /// Listening on an address failed.
    pub fn start_direct(
        settings: settings::Router,
        operators: &str,
        connect: Connect,
    ) -> Result<Self, Error> {
        let settings = Arc::new(settings);
        let (listener, address) = process::bind(&settings.listen).context(BindSnafu)?;
        let (operators, _) = process::bind(operators).context(BindSnafu)?;
        let stop = process::Shutdown::new();
        let reload = watch::Sender::new((*settings).clone());
        let factory = CoreFactory {
            settings: settings.clone(),
            connect,
            stop: stop.clone(),
            reload: reload.subscribe(),
        };
        let server = serve(factory, listener, operators)?;
        Ok(Self { settings, address, server, stop, reload })
    }

    /// The address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The handle that requests a planned stop.
    pub fn stop(&self) -> process::Shutdown {
        self.stop.clone()
    }

    /// The channel for reloaded settings.
    pub fn reload(&self) -> watch::Sender<settings::Router> {
        self.reload.clone()
    }

    /// Serves until a stop was requested and all requests have ended, or the drain timeout has
    /// passed. Returns whether all requests were completed.
    pub async fn run(self) -> bool {
        self.stop.requested().await;
        let timeout = self.settings.drain_notice_ms + self.settings.drain_ms;
        let timeout = Duration::from_millis(timeout);
        let finished = tokio::time::timeout(timeout, self.stop.finished()).await.is_ok();
        self.server.stop(true).await;
        finished
    }
}

/// Limits on requests.
fn limits() -> HttpServiceConfig {
    HttpServiceConfig::new().set_max_headers(MAX_HEADERS).set_client_timeout(HEADERS_TIMEOUT)
}

/// Serves callers and operators on one thread with shared state.
fn serve(
    factory: CoreFactory,
    callers: TcpListener,
    operators: TcpListener,
) -> Result<Server, Error> {
    let (for_callers, for_operators) = (factory.clone(), factory);
    let config: SharedCfg =
        SharedCfg::new("router").add(limits().set_keepalive(IDLE_TIMEOUT)).into();
    let operators_config = config.clone();
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(FLUSH_TIMEOUT)
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
            let routes = move |config: &mut _| ingress::operators(config, ready);
            HttpService::new(web::App::new().state(core).configure(routes))
        })
        .context(SocketSnafu)?;
    Ok(server.run())
}
