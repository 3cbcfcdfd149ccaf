//! Starts, runs and stops a router.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use edge::Connect;
use futures_util::future::try_join;
use intents::Plan;
use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig};
use ntex::io::{Io, IoConfig};
use ntex::service::ServiceFactory;
use ntex::time::Seconds;
use ntex::web;
use process::{ClosedEarly, Connections, Listener};
use routing::Effect;
use snafu::ResultExt;
use spdlog::error;
use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;

use crate::clients::Clients;
use crate::core::Core;
use crate::error::{BindSnafu, Error, SocketSnafu};
use crate::{background, http, ingress, report, stop};

/// How long a caller may take to send the headers.
const HEADERS_TIMEOUT: Seconds = Seconds(5);

const MAX_HEADERS: usize = 64;

/// The most bytes of a request's head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The number of connections for operators and the platform.
const MAX_OPERATORS: usize = 64;

/// How long after the drain the last bytes of answers may be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an idle connection of a caller is kept. Longer than callers on a platform keep theirs,
/// so that they are the ones to close it.
const IDLE_TIMEOUT: Seconds = Seconds(30);

/// The pause before another attempt to create the clients.
const CLIENTS_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Where the configuration and the upstreams come from.
enum Source {
    /// The intents file and the platform's list of hosts.
    Intents(Arc<Plan>),
    /// The store of a platform; operators have a listener of their own.
    Platform { connect: Connect, operators: TcpListener },
}

/// A router whose sockets are bound.
pub struct Router {
    settings: Arc<settings::Router>,
    callers: TcpListener,
    address: SocketAddr,
    source: Source,
    stop: process::Shutdown,
    reload: watch::Sender<settings::Router>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Router").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Router {
    /// Reads the intents and binds the socket.
    ///
    /// # Errors
    ///
    /// The intents are invalid, or listening on the address failed.
    pub fn bind(settings: settings::Router) -> Result<Self, Error> {
        let plan = background::read_plan(&settings.intents)?;
        Self::bind_callers(settings, Source::Intents(plan))
    }

    /// Binds the sockets on a platform, whose store provides the configuration and the upstreams.
    ///
    /// # Errors
    ///
    /// Listening on an address failed.
    pub fn bind_direct(
        settings: settings::Router,
        operators: &str,
        connect: Connect,
    ) -> Result<Self, Error> {
        let (operators, _) = process::bind(operators).context(BindSnafu)?;
        Self::bind_callers(settings, Source::Platform { connect, operators })
    }

    fn bind_callers(settings: settings::Router, source: Source) -> Result<Self, Error> {
        let (callers, address) = process::bind(&settings.listen).context(BindSnafu)?;
        let reload = watch::Sender::new(settings.clone());
        let (settings, stop) = (Arc::new(settings), process::Shutdown::new());
        Ok(Self { settings, callers, address, source, stop, reload })
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

    /// Serves on the current thread until a stop was requested and all requests have ended, or the
    /// time of the drain has passed. Returns whether all answers were completed.
    ///
    /// # Errors
    ///
    /// A socket can't be used.
    pub async fn run(self) -> Result<bool, Error> {
        let Self { settings, callers, source, stop, reload, .. } = self;
        match source {
            Source::Intents(plan) => {
                let (core, updates) =
                    Core::new(settings, Some(plan), None, stop, reload.subscribe()).await;
                let app = web::App::new().state(core.clone()).configure(http::routes);
                let callers = serve_callers(&core, callers, HttpService::new(app), limits());
                run(&core, updates, callers).await
            }
            Source::Platform { connect, operators } => {
                let clients = tokio::select! {
                    clients = connect_clients(&connect, &settings) => Some(clients),
                    () = stop.requested() => return Ok(true),
                };
                let (core, updates) =
                    Core::new(settings, None, clients, stop, reload.subscribe()).await;
                let listeners = serve_platform(&core, callers, operators);
                run(&core, updates, listeners).await
            }
        }
    }
}

/// Creates the clients; retries until it succeeds, since nothing can be served without them.
async fn connect_clients(connect: &Connect, settings: &Arc<settings::Router>) -> Clients {
    loop {
        match Clients::connect(connect, settings).await {
            Ok(clients) => return clients,
            Err(error) => error!("clients can't be created", kv: { fault = error }),
        }
        tokio::time::sleep(CLIENTS_RETRY_INTERVAL).await;
    }
}

/// Runs the listeners and the background tasks until the router has stopped.
async fn run(
    core: &Rc<Core>,
    directory_updates: Receiver<Effect>,
    listeners: impl Future<Output = Result<ClosedEarly, Error>>,
) -> Result<bool, Error> {
    let mut tasks = background::spawn(core, directory_updates);
    let drain = async { Ok(stop::run(core).await) };
    let (is_complete, closed_early) = try_join(drain, listeners).await?;
    tasks.shutdown().await;
    report::log_closed(closed_early.0);
    Ok(is_complete && closed_early.0 == 0)
}

/// Limits on requests.
fn limits() -> HttpServiceConfig {
    HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_client_timeout(HEADERS_TIMEOUT)
}

/// Serves callers and operators of a platform.
async fn serve_platform(
    core: &Rc<Core>,
    callers: TcpListener,
    operators: TcpListener,
) -> Result<ClosedEarly, Error> {
    let limits = || limits().set_keepalive(IDLE_TIMEOUT);
    let app = web::App::new().state(core.clone()).default_service(web::to(ingress::serve));
    let callers = serve_callers(core, callers, HttpService::new(app), limits());
    let ready = core.edges().ready_path;
    let routes = move |config: &mut _| ingress::operators(config, ready);
    let app = web::App::new().state(core.clone()).configure(routes);
    let connections = Connections::new(MAX_OPERATORS);
    let operators = serve(core, operators, connections, || false, HttpService::new(app), limits());
    let (callers, operators) = try_join(callers, operators).await?;
    Ok(ClosedEarly(callers.0 + operators.0))
}

/// Serves callers; slow bodies end where their connections leave no room for others.
async fn serve_callers<F>(
    core: &Rc<Core>,
    socket: TcpListener,
    factory: F,
    limits: HttpServiceConfig,
) -> Result<ClosedEarly, Error>
where
    F: ServiceFactory<Io, SharedCfg, Response = (), InitError = ()>,
    F::Service: 'static,
{
    let end_request = || core.bodies.end_slow(None);
    serve(core, socket, core.connections.clone(), end_request, factory, limits).await
}

/// Serves a listening socket until the router has stopped.
async fn serve<F>(
    core: &Rc<Core>,
    socket: TcpListener,
    connections: Connections,
    end_request: impl Fn() -> bool,
    factory: F,
    limits: HttpServiceConfig,
) -> Result<ClosedEarly, Error>
where
    F: ServiceFactory<Io, SharedCfg, Response = (), InitError = ()>,
    F::Service: 'static,
{
    let settings = &core.settings;
    let grace = Duration::from_millis(settings.drain_notice_ms + settings.drain_ms) + FLUSH_TIMEOUT;
    // The library's own limit for the last bytes would end before the stop's.
    let seconds = usize::try_from(grace.as_secs() + 1).unwrap_or(usize::MAX);
    let closing = IoConfig::new().set_disconnect_timeout(Seconds::checked_new(seconds));
    let config: SharedCfg = SharedCfg::new("router").add(limits).add(closing).into();
    let service = factory.create(config.clone()).await.map_err(|()| Error::Service)?;
    let listener = Listener::new(socket, config, connections).context(SocketSnafu)?;
    Ok(listener.serve(service, core.stop.clone(), grace, end_request).await)
}
