//! What the tasks of a sidecar share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use admission::{CallId, Effect, Event, Peer, State};
use clock::Clock;
use link::{Exchange, Identity};
use ntex::client::Client;
use ntex::time::Seconds;
use settings::Service;
use snafu::ResultExt;
use telemetry::{Metrics, Tracer};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;
use wire::{Frame, Welcome};

use crate::error::{BindSnafu, Error, SocketSnafu};
use crate::{admin, call, peers};

/// The name of this kind of process in metrics and traces.
const SERVICE: &str = "silverstack-sidecar";

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
    stop: process::Stop,
    metrics: Arc<Metrics>,
}

/// The reducer's state as the HTTP pages see it.
#[derive(Clone, Debug)]
pub(crate) struct Shared(Arc<Mutex<State>>);

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What every call's task needs.
pub(crate) struct Core {
    pub settings: settings::Sidecar,
    pub clock: Clock,
    pub client: Client,
    pub stop: process::Stop,
    pub metrics: Arc<Metrics>,
    pub tracer: Tracer,
    state: Shared,
    mailboxes: RefCell<HashMap<CallId, UnboundedSender<Effect>>>,
    next: RefCell<CallId>,
    /// Reports to the aggregator, taken by the task that sends them.
    pub reports: UnboundedSender<(Peer, wire::Report)>,
}

impl Core {
    /// Takes an event to the reducer and its effects to the tasks they concern.
    pub(crate) fn apply(&self, event: Event) {
        let effects = self.state.lock().apply(event, self.clock.now());
        for effect in effects {
            self.deliver(effect);
        }
    }

    fn deliver(&self, effect: Effect) {
        let call = match &effect {
            Effect::Send { call, .. }
            | Effect::Finish { call, .. }
            | Effect::Run { call, .. }
            | Effect::Abort { call } => *call,
            Effect::Report { to, report } => {
                let _ = self.reports.send((to.clone(), report.clone()));
                return;
            }
            Effect::Left => {
                if self.stop.is_asked() {
                    self.stop.finish();
                }
                return;
            }
        };
        if let Some(mailbox) = self.mailboxes.borrow().get(&call) {
            let _ = mailbox.send(effect);
        }
    }

    /// A number and a mailbox for a new call.
    pub(crate) fn register(&self) -> (CallId, tokio::sync::mpsc::UnboundedReceiver<Effect>) {
        let mut next = self.next.borrow_mut();
        *next += 1;
        let (sender, receiver) = unbounded_channel();
        self.mailboxes.borrow_mut().insert(*next, sender);
        (*next, receiver)
    }

    pub(crate) fn forget(&self, call: CallId) {
        self.mailboxes.borrow_mut().remove(&call);
    }

    pub(crate) fn welcome(&self) -> Welcome {
        let state = self.state.lock();
        Welcome { name: self.settings.name.clone(), status: state.status() }
    }
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
        let state = Shared(Arc::new(Mutex::new(state)));
        let stop = process::Stop::new();
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
    pub fn stop(&self) -> process::Stop {
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
        let tracer = match &self.settings.traces_url {
            Some(url) => Tracer::new(SERVICE, &self.settings.name, url),
            None => Tracer::off(),
        };
        let (reports, outbox) = unbounded_channel();
        let core = Rc::new(Core {
            settings: self.settings,
            clock: Clock::new(),
            client,
            stop: self.stop.clone(),
            metrics: self.metrics,
            tracer,
            state: self.state,
            mailboxes: RefCell::default(),
            next: RefCell::default(),
            reports,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn_local(tick(core.clone()));
        tasks.spawn_local(peers::follow(core.clone()));
        tasks.spawn_local(peers::report(core.clone(), outbox));
        tasks.spawn_local(listen(core.clone(), self.listener));
        self.stop.asked().await;
        core.apply(Event::Leave);
        let timeout = Duration::from_millis(core.settings.drain_ms);
        let _ = tokio::time::timeout(timeout, self.stop.finished()).await;
        call::settle(&core).await;
        let cut = core.state.lock().in_flight();
        tasks.shutdown().await;
        self.admin.stop().await;
        Ok(cut)
    }
}

impl Core {
    /// How many calls still have a task.
    pub(crate) fn open_calls(&self) -> usize {
        self.mailboxes.borrow().len()
    }
}

async fn tick(core: Rc<Core>) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        core.apply(Event::Tick);
    }
}

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

async fn answer(core: Rc<Core>, mut exchange: Exchange) {
    match exchange.frame {
        Frame::Open(open) => call::serve(core, open, exchange.sink).await,
        Frame::Report(report) => call::aggregate(core, report, exchange.sink).await,
        Frame::Note(note) => {
            core.apply(Event::Note(note));
            exchange.sink.end();
        }
        _ => exchange.sink.reset(),
    }
}
