//! Start, operation and planned stop of a sidecar.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admission::{Event, Peer, State};
use budget::Budget;
use clock::Clock;
use link::{Exchange, Identity};
use settings::Service;
use snafu::ResultExt;
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use wire::Frame;

use crate::core::{Core, SERVICE, SharedState};
use crate::error::{BindSnafu, Error, SocketSnafu};
use crate::upstream::Upstream;
use crate::{admin, call, peers};

/// Interval of the reducer's tick events, and the delay after a failed accept.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// How long an idle connection to a model engine is kept.
const ENGINE_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// A sidecar whose sockets are bound.
#[derive(Debug)]
pub struct Sidecar {
    settings: settings::Sidecar,
    state: SharedState,
    listener: TcpListener,
    address: SocketAddr,
    admin: admin::AdminServer,
    stop: process::Shutdown,
    metrics: Arc<Metrics>,
}

impl Sidecar {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// A socket can't be bound or set up.
    pub fn bind(settings: settings::Sidecar) -> Result<Self, Error> {
        let (listener, address) = process::bind(&settings.listen).context(BindSnafu)?;
        listener.set_nonblocking(true).context(SocketSnafu)?;
        let listener = TcpListener::from_std(listener).context(SocketSnafu)?;
        let own = Peer { name: settings.name.clone(), address: address.to_string().into() };
        let incarnation = Clock::new().now().0;
        let state = State::new(settings.admission.clone(), own, incarnation);
        let state = SharedState::new(state);
        let stop = process::Shutdown::new();
        let metrics = Arc::new(Metrics::new(SERVICE));
        let admin_state = admin::AdminState {
            name: settings.name.clone(),
            state: state.clone(),
            stop: stop.clone(),
            metrics: metrics.clone(),
        };
        let admin = admin::AdminServer::bind(&settings.admin, admin_state)?;
        Ok(Self { settings, state, listener, address, admin, stop, metrics })
    }

    /// The settings passed to [`Self::bind`].
    pub fn settings(&self) -> &settings::Sidecar {
        &self.settings
    }

    /// The address that routers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address of the admin endpoints.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The handle that requests a planned stop.
    pub fn stop(&self) -> process::Shutdown {
        self.stop.clone()
    }

    /// Serves until a stop is requested, then drains: until nothing is in flight or the
    /// drain timeout has passed. Returns the number of calls that were interrupted.
    pub async fn run(self) -> usize {
        let max_idle = match self.settings.service {
            Service::Engine => ENGINE_KEEP_ALIVE,
            Service::Plain => Duration::ZERO,
        };
        let upstream = Upstream::new(&self.settings.upstream_url, max_idle);
        let (core, reports) =
            Core::new(self.settings, upstream, self.stop.clone(), self.metrics, self.state);
        let core = Rc::new(core);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(tick(core.clone()));
        tasks.spawn_local(peers::poll_hosts(core.clone()));
        tasks.spawn_local(peers::send_reports(core.clone(), reports));
        tasks.spawn_local(listen(core.clone(), self.listener));
        tasks.spawn_local(self.admin.serve());
        self.stop.requested().await;
        core.apply(Event::Leave);
        let timeout = Duration::from_millis(core.settings.drain_ms);
        let _ = tokio::time::timeout(timeout, self.stop.finished()).await;
        call::wait_for_calls(&core).await;
        let interrupted = core.in_flight();
        tasks.shutdown().await;
        interrupted
    }
}

/// Sends tick events to the reducer.
async fn tick(core: Rc<Core>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        core.apply(Event::Tick);
    }
}

/// Accepts connections of routers and of other members of the pool.
async fn listen(core: Rc<Core>, listener: TcpListener) {
    let resources = core.settings.resources();
    let requests = Budget::new(resources.request_bytes());
    let identity = Identity { key: core.settings.link_key.clone(), requests };
    let mut server = link::Server::new(identity, resources.connections());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(()) = server.join_next() => continue,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(TICK_INTERVAL).await;
            continue;
        };
        let (core, welcome_core) = (core.clone(), core.clone());
        let handle = move |exchange: Exchange| dispatch(core.clone(), exchange);
        server.serve(socket, move || welcome_core.welcome(), handle).await;
    }
}

/// Handles a stream by the type of its request frame.
async fn dispatch(core: Rc<Core>, mut exchange: Exchange) {
    match exchange.frame {
        // The memory of the request is free once it has ended.
        Some(Frame::Open(open)) => call::serve(core, open, exchange.sink).await,
        Some(Frame::Report(report)) => call::aggregate(core, report, exchange.sink).await,
        Some(Frame::DirectoryUpdate(update)) => {
            core.apply(Event::DirectoryUpdate(update));
            exchange.sink.end();
        }
        Some(_) => exchange.sink.reset(),
        None => call::refuse(&core, exchange.sink).await,
    }
    drop(exchange.memory);
}
