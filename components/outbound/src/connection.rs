//! One connection to an upstream.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::Error;
use crate::error::{ConnectSnafu, InterruptedSnafu};

/// The room for what was read and not yet taken, in bytes. The heads of the
/// sites' answers have a few hundred; the library's own 400 KB would let a slow
/// caller's answer fill the memory of a small host.
const BUFFER: usize = 16 * 1024;

/// A connection that stands, and the task that reads and writes it. It ends when
/// this is dropped, which cancels a request that is under way on it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection to `address` within `limit`.
    pub(crate) async fn open(address: &str, limit: Duration) -> Result<Self, Error> {
        let opened = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| Error::Timeout)?.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER);
        let (sender, driver) =
            builder.handshake(TokioIo::new(stream)).await.context(InterruptedSnafu)?;
        let task = tokio::task::spawn_local(async move {
            // How it ends is told to whoever waits for an answer on it.
            let _ = driver.await;
        });
        Ok(Self { sender, task })
    }

    /// Whether it can take a request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether it has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
