//! The client and its pool of idle connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use snafu::{ResultExt, ensure};

use crate::connection::Connection;
use crate::error::{Error, InterruptedSnafu, InvalidRequestSnafu, StatusSnafu};
use crate::{Answer, Body};

/// The statuses of final answers. Interim ones before them are skipped, and no request asks for a
/// change of the protocol.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Arc<str>,
    /// The path and query.
    pub path: Arc<str>,
    /// The headers, without hop-by-hop headers.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The complete body.
    pub body: Body,
}

impl Request {
    fn build(self) -> Result<http::Request<Body>, Error> {
        let method = Method::from_bytes(self.method.as_bytes()).unwrap_or(Method::POST);
        let mut builder = http::Request::builder().method(method).uri(&*self.path);
        for (name, value) in &self.headers {
            builder = builder.header(&**name, &**value);
        }
        builder.body(self.body).context(InvalidRequestSnafu)
    }
}

/// An idle connection, usable until it expires.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections, by address.
#[derive(Debug)]
pub(crate) struct IdlePool {
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
    max_idle: Duration,
}

impl IdlePool {
    /// Takes the most recently used connection to `address` that is ready; drops expired
    /// and closed ones.
    fn take(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        connections.retain(|idle| idle.expires_at > now && !idle.connection.is_closed());
        let index = connections.iter().rposition(|idle| idle.connection.is_ready());
        let taken = index.map(|index| connections.remove(index).connection);
        if connections.is_empty() {
            idle.remove(address);
        }
        taken
    }

    /// Adds an idle connection. It expires after the idle timeout that its upstream
    /// advertised, and after `max_idle` at the latest.
    pub(crate) fn put(
        &self,
        address: Arc<str>,
        connection: Connection,
        advertised_timeout: Option<Duration>,
    ) {
        if connection.is_closed() {
            return;
        }
        let expires_at = Instant::now()
            + advertised_timeout.map_or(self.max_idle, |timeout| timeout.min(self.max_idle));
        self.idle
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(IdleConnection { connection, expires_at });
    }
}

/// An HTTP/1.1 client that reuses connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Rc<IdlePool>,
    connect_timeout: Duration,
}

impl Client {
    /// Creates a client that keeps idle connections for at most `max_idle` and opens new
    /// ones within `connect_timeout`.
    pub fn new(max_idle: Duration, connect_timeout: Duration) -> Self {
        Self { pool: Rc::new(IdlePool { idle: RefCell::default(), max_idle }), connect_timeout }
    }

    /// Sends a request to `address` and waits for the head of its answer. Uses an idle
    /// connection, or a new one if there is none or `new_connection` is set. Dropping the
    /// future, or the answer before its end, closes the connection.
    ///
    /// # Errors
    ///
    /// The request is invalid, no connection could be opened, the connection ended, or the answer has no
    /// status of a final answer.
    pub async fn send(
        &self,
        address: Arc<str>,
        request: Request,
        new_connection: bool,
    ) -> Result<Answer, Error> {
        let mut request = request.build()?;
        let take_idle = || if new_connection { None } else { self.pool.take(&address) };
        while let Some(mut connection) = take_idle() {
            match connection.send(request).await {
                Ok(response) => return self.answer(address, connection, response),
                Err(mut error) => match error.take_message() {
                    // The connection ended before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error()).context(InterruptedSnafu),
                },
            }
        }
        let mut connection = Connection::open(&address, self.connect_timeout).await?;
        let sent = connection.send(request).await.map_err(TrySendError::into_error);
        self.answer(address, connection, sent.context(InterruptedSnafu)?)
    }

    /// Opens a connection to `address` and adds it to the idle ones.
    ///
    /// # Errors
    ///
    /// The connection could not be opened.
    pub async fn preconnect(&self, address: &Arc<str>) -> Result<(), Error> {
        let connection = Connection::open(address, self.connect_timeout).await?;
        self.pool.put(address.clone(), connection, None);
        Ok(())
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: &str) {
        self.pool.idle.borrow_mut().remove(address);
    }

    fn answer(
        &self,
        address: Arc<str>,
        connection: Connection,
        response: http::Response<Incoming>,
    ) -> Result<Answer, Error> {
        let status = response.status().as_u16();
        ensure!(FINAL_STATUSES.contains(&status), StatusSnafu { status });
        Ok(Answer::new(self.pool.clone(), address, connection, response))
    }
}
