//! A listening socket whose connections are all served to their end.

use std::io;
use std::net::TcpStream;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::io::Io;
use ntex::rt::from_tcp_stream;
use ntex::service::{Pipeline, PipelineBinding, Service};
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::task::{JoinSet, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::{Connections, Shutdown};

/// Pause after a failed accept, such as for lack of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// How long a new connection is read before it may be closed: callers send their request at once.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);

/// A listening socket that is served on the current thread.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    config: SharedCfg,
    connections: Connections,
}

/// Number of connections that were closed before all was written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClosedEarly(pub usize);

impl Listener {
    /// Creates a listener whose connections use `config` and are kept in `connections`.
    ///
    /// # Errors
    ///
    /// The socket can't be registered for events.
    pub fn new(
        socket: std::net::TcpListener,
        config: SharedCfg,
        connections: Connections,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Ok(Self { socket: TcpListener::from_std(socket)?, config, connections })
    }

    /// Serves connections until `stop` is finished. Then it stops listening, closes idle
    /// connections, and waits for the others until `grace` after the stop was requested.
    ///
    /// Above the limit on connections the one that has been idle for the longest is closed; if none
    /// is idle, `end_request` may end a request, and the new connection is closed if it returns
    /// `false`.
    pub async fn serve<S>(
        self,
        service: S,
        stop: Shutdown,
        grace: Duration,
        end_request: impl Fn() -> bool,
    ) -> ClosedEarly
    where
        S: Service<Io, Response = ()> + 'static,
    {
        let mut connections = Served::new(service, self.config.clone(), self.connections.clone());
        let mut finished = std::pin::pin!(stop.finished());
        loop {
            tokio::select! {
                () = &mut finished => break,
                accepted = self.accept() => connections.handle(accepted, &end_request).await,
                () = connections.join_next() => {}
            }
        }
        self.accept_queue(&mut connections);
        let requested_at = stop.requested_at().unwrap_or_else(Instant::now);
        connections.finish(requested_at + grace).await
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.socket.accept().await?;
        stream.into_std()
    }

    /// Accepts what is in the socket's queue, as its callers have connected already, and closes the
    /// socket.
    fn accept_queue<S>(self, connections: &mut Served<S>)
    where
        S: Service<Io, Response = ()> + 'static,
    {
        let Ok(socket) = self.socket.into_std() else { return };
        loop {
            match socket.accept() {
                Ok((stream, _)) => connections.start(stream),
                // The caller has closed it meanwhile.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => return,
            }
        }
    }
}

/// The connections of a listener and the tasks that serve them.
struct Served<S>
where
    S: Service<Io>,
{
    service: PipelineBinding<S, Io>,
    config: SharedCfg,
    open: Connections,
    tasks: JoinSet<()>,
    /// Until when the latest connection is read at least.
    read_until: Instant,
}

impl<S> Served<S>
where
    S: Service<Io, Response = ()> + 'static,
{
    fn new(service: S, config: SharedCfg, open: Connections) -> Self {
        let service = Pipeline::new(service).bind();
        Self { service, config, open, tasks: JoinSet::new(), read_until: Instant::now() }
    }

    async fn handle(&mut self, accepted: io::Result<TcpStream>, end_request: &impl Fn() -> bool) {
        match accepted {
            Ok(stream) if self.open.is_full() => {
                if self.open.close_idle() || end_request() {
                    self.start(stream);
                } else {
                    self.open.count_refused();
                }
                // The tasks of the connections that end close their sockets.
                yield_now().await;
            }
            Ok(stream) => self.start(stream),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => {
                warn!("connection not accepted", kv: { reason = error.to_string() });
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }

    /// Serves a connection in a task of its own.
    fn start(&mut self, stream: TcpStream) {
        let io = match from_tcp_stream(stream, self.config.clone()) {
            Ok(io) => io,
            Err(error) => {
                return warn!("connection not accepted", kv: { reason = error.to_string() });
            }
        };
        self.read_until = Instant::now() + FIRST_REQUEST_TIMEOUT;
        let (open, connection) = (self.open.clone(), io.get_ref());
        open.insert(connection.clone());
        let served = self.service.call(io);
        self.tasks.spawn_local(async move {
            // Errors of a connection concern its caller only, who sees it closed.
            let _ = served.await;
            open.remove(&connection);
        });
    }

    /// Joins the next connection that ends; waits for ever if there is none.
    async fn join_next(&mut self) {
        if self.tasks.join_next().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Closes the connections once their answers are written, or at `deadline`.
    async fn finish(mut self, deadline: Instant) -> ClosedEarly {
        while !self.tasks.is_empty() && Instant::now() < self.read_until {
            tokio::select! {
                () = sleep_until(self.read_until) => {}
                _ = self.tasks.join_next() => {}
            }
        }
        let tasks = &mut self.tasks;
        let join_all = async { while tasks.join_next().await.is_some() {} };
        // The service's own wait for connections may end early or late; only the tasks count.
        let closing = self.service.shutdown();
        let _ = timeout_at(deadline, async {
            tokio::select! {
                () = join_all => {}
                () = async { closing.await; std::future::pending::<()>().await } => {}
            }
        })
        .await;
        let closed_early = ClosedEarly(self.tasks.len());
        self.tasks.shutdown().await;
        closed_early
    }
}
