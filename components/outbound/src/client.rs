//! Sending requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use http_body_util::Full;
use hyper::body::Incoming;
use snafu::ResultExt;

use crate::Answer;
use crate::connection::Connection;
use crate::error::{Error, InterruptedSnafu, InvalidRequestSnafu};

/// A request as it goes to an upstream.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Arc<str>,
    /// The path and the query.
    pub path: Arc<str>,
    /// The headers, without those that concern one connection only.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// The whole body.
    pub body: Bytes,
}

impl Request {
    fn build(self) -> Result<http::Request<Full<Bytes>>, Error> {
        let method = Method::from_bytes(self.method.as_bytes()).unwrap_or(Method::POST);
        let mut builder = http::Request::builder().method(method).uri(&*self.path);
        for (name, value) in &self.headers {
            builder = builder.header(&**name, &**value);
        }
        builder.body(Full::new(self.body)).context(InvalidRequestSnafu)
    }
}

/// A connection that waits for the next request, until it is too old.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The connections that are kept, by address.
#[derive(Debug)]
pub(crate) struct Kept {
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
    keep: Duration,
}

impl Kept {
    /// Takes the connection to `address` that was used last, if one can be used.
    fn take(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(address)?;
        let now = Instant::now();
        kept.retain(|it| it.until > now && !it.connection.is_closed());
        let place = kept.iter().rposition(|it| it.connection.is_ready());
        let taken = place.map(|it| kept.remove(it).connection);
        if kept.is_empty() {
            idle.remove(address);
        }
        taken
    }

    /// Keeps a connection for the next request, for as long as its upstream says it
    /// does and no longer than `keep`.
    pub(crate) fn put(&self, address: Arc<str>, connection: Connection, told: Option<Duration>) {
        if connection.is_closed() {
            return;
        }
        let until = Instant::now() + told.map_or(self.keep, |it| it.min(self.keep));
        self.idle.borrow_mut().entry(address).or_default().push(Idle { connection, until });
    }
}

/// A client that keeps connections.
#[derive(Clone, Debug)]
pub struct Client {
    kept: Rc<Kept>,
    connect: Duration,
}

impl Client {
    /// A client that keeps an idle connection for `keep` at most, and gives a new
    /// one `connect` to stand.
    pub fn new(keep: Duration, connect: Duration) -> Self {
        Self { kept: Rc::new(Kept { idle: RefCell::default(), keep }), connect }
    }

    /// Sends a request to `address` on a kept connection, or on a new one if there is
    /// none or it is to be `fresh`, and waits for the head of its answer. Dropping the
    /// future, or the answer before its end, ends the connection.
    ///
    /// # Errors
    ///
    /// No connection could be opened, or the one used ended.
    pub async fn send(
        &self,
        address: Arc<str>,
        request: Request,
        fresh: bool,
    ) -> Result<Answer, Error> {
        let mut request = request.build()?;
        let kept = || if fresh { None } else { self.kept.take(&address) };
        while let Some(mut connection) = kept() {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, connection, response)),
                Err(mut fault) => match fault.take_message() {
                    // It ended before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(fault.into_error()).context(InterruptedSnafu),
                },
            }
        }
        let mut connection = Connection::open(&address, self.connect).await?;
        let sent = connection.sender.send_request(request).await;
        Ok(self.answer(address, connection, sent.context(InterruptedSnafu)?))
    }

    /// Opens a connection to `address` and keeps it for the next request.
    ///
    /// # Errors
    ///
    /// None could be opened.
    pub async fn preconnect(&self, address: &Arc<str>) -> Result<(), Error> {
        let connection = Connection::open(address, self.connect).await?;
        self.kept.put(address.clone(), connection, None);
        Ok(())
    }

    /// Closes the connections to `address` that wait for a request.
    pub fn close_idle(&self, address: &str) {
        self.kept.idle.borrow_mut().remove(address);
    }

    fn answer(
        &self,
        address: Arc<str>,
        connection: Connection,
        response: http::Response<Incoming>,
    ) -> Answer {
        Answer::new(self.kept.clone(), address, connection, response)
    }
}
