//! The sidecar as a whole: start, serve, stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use admission::{Event, Peer, State};
use clock::Clock;
use link::{Exchange, Identity};
use ntex::time::Seconds;
use settings::Service;
use snafu::ResultExt;
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use wire::Frame;

use crate::core::{Core, SERVICE, Shared};
use crate::error::{BindSnafu, Error, SocketSnafu};
use crate::{admin, call, peers};

/// How often the reducer is told that time passed.
const TICK: Duration = Duration::from_millis(20);

/// How long an idle connection to a model engine is kept.
const ENGINE_KEEP_ALIVE: Seconds = Seconds(2);

/// A sidecar that is ready to run.
#[derive(Debug)]
pub struct Sidecar {
    settings: settings::Sidecar,
    state: Shared,
    listener: TcpListener,
    address: SocketAddr,
    admin: admin::Page,
    stop: process::Shutdown,
    metrics: Arc<Metrics>,
}

impl Sidecar {
    /// Binds the sockets and starts the HTTP pages.
    ///
    /// # Errors
    ///
    /// An address can't be listened on.
    pub fn bind(settings: settings::Sidecar) -> Result<Self, Error> {
        let (listener, address) = process::bind(&settings.listen).context(BindSnafu)?;
        listener.set_nonblocking(true).context(SocketSnafu)?;
        let listener = TcpListener::from_std(listener).context(SocketSnafu)?;
        let own = Peer { name: settings.name.clone(), address: address.to_string().into() };
        let incarnation = Clock::new().now().0;
        let state = State::new(settings.admission.clone(), own, incarnation);
        let state = Shared::new(state);
        let stop = process::Shutdown::new();
        let metrics = Arc::new(Metrics::new(SERVICE));
        let pages = admin::Pages {
            name: settings.name.clone(),
            state: state.clone(),
            stop: stop.clone(),
            metrics: metrics.clone(),
        };
        let admin = admin::Page::start(&settings.admin, pages)?;
        Ok(Self { settings, state, listener, address, admin, stop, metrics })
    }

    /// The settings that it runs with.
    pub fn settings(&self) -> &settings::Sidecar {
        &self.settings
    }

    /// Where routers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators connect.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The handle that asks for a planned stop.
    pub fn stop(&self) -> process::Shutdown {
        self.stop.clone()
    }

    /// Serves until a stop was asked for and nothing is in flight, or the
    /// drain's time is over. Returns the number of calls that were cut.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be made.
    pub async fn run(self) -> Result<usize, Error> {
        let keep_alive = match self.settings.service {
            Service::Engine => ENGINE_KEEP_ALIVE,
            Service::Plain => Seconds::ZERO,
        };
        let client = process::client(keep_alive, process::CONNECT_TIMEOUT)
            .await
            .map_err(|fault| Error::Client { reason: fault.to_string() })?;
        let (core, outbox) =
            Core::new(self.settings, client, self.stop.clone(), self.metrics, self.state);
        let core = Rc::new(core);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(tick(core.clone()));
        tasks.spawn_local(peers::follow(core.clone()));
        tasks.spawn_local(peers::report(core.clone(), outbox));
        tasks.spawn_local(listen(core.clone(), self.listener));
        self.stop.requested().await;
        core.apply(Event::Leave);
        let timeout = Duration::from_millis(core.settings.drain_ms);
        let _ = tokio::time::timeout(timeout, self.stop.finished()).await;
        call::settle(&core).await;
        let cut = core.in_flight();
        tasks.shutdown().await;
        self.admin.stop().await;
        Ok(cut)
    }
}

/// Tells the reducer that time passes, until the process stops.
async fn tick(core: Rc<Core>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        core.apply(Event::Tick);
    }
}

/// Accepts routers and other members of the pool, until the process stops.
async fn listen(core: Rc<Core>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(TICK).await;
            continue;
        };
        let core = core.clone();
        let identity = Identity { key: core.settings.link_key.clone() };
        connections.spawn_local(async move {
            let greeter = core.clone();
            let handle = move |exchange: Exchange| answer(core.clone(), exchange);
            let _ = link::accept(socket, identity, move || greeter.welcome(), handle).await;
        });
    }
}

/// Carries out what the first frame of a stream asks for.
async fn answer(core: Rc<Core>, mut exchange: Exchange) {
    match exchange.frame {
        Frame::Open(open) => call::serve(core, open, exchange.sink).await,
        Frame::Report(report) => call::aggregate(core, report, exchange.sink).await,
        Frame::DirectoryUpdate(note) => {
            core.apply(Event::DirectoryUpdate(note));
            exchange.sink.end();
        }
        _ => exchange.sink.reset(),
    }
}
