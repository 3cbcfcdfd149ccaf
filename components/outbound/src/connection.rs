//! A connection to an upstream.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::error::{ConnectSnafu, InterruptedSnafu};
use crate::stream::{HeadLimit, Stream};
use crate::{Body, Error};

/// Upper bound of a connection's read buffer, which limits the memory that the answer to a slow
/// caller can use. Heads of answers have a few hundred bytes; the library's default of 400 KB would
/// let slow callers fill the memory of a small host.
const MAX_READ_BUFFER_BYTES: usize = 16 * 1024;

/// An open connection and the task that drives it. Dropping it closes the connection and
/// cancels a request in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Body>,
    head_limit: HeadLimit,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection to `address` within `timeout`.
    pub(crate) async fn open(address: &str, timeout: Duration) -> Result<Self, Error> {
        let opened = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| Error::Timeout)?.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let head_limit = HeadLimit::default();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let (sender, driver) = builder
            .handshake(TokioIo::new(Stream::new(stream, head_limit.clone())))
            .await
            .context(InterruptedSnafu)?;
        let task = tokio::task::spawn_local(async move {
            // An error is returned by the request in flight.
            let _ = driver.await;
        });
        Ok(Self { sender, head_limit, task })
    }

    /// Sends a request and waits for the head of its answer. The error has the request if nothing
    /// of it was written.
    pub(crate) async fn send(
        &mut self,
        request: http::Request<Body>,
    ) -> Result<http::Response<Incoming>, TrySendError<http::Request<Body>>> {
        self.head_limit.start();
        let response = self.sender.try_send_request(request).await?;
        self.head_limit.end();
        Ok(response)
    }

    /// Whether a request can be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
