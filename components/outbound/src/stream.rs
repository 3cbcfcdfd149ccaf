//! A connection's byte stream that leaves time to others, and bounds what comes before a head.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that are read before other tasks of the thread run.
const MAX_TURN_BYTES: usize = 16 * 1024;

/// The most bytes that are read before the head of an answer, such as of interim heads.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// How many bytes may still be read before the head of an answer; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadLimit {
    remaining: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Begins to count, as a request is sent.
    pub(crate) fn start(&self) {
        self.remaining.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the limit, as a head was received.
    pub(crate) fn end(&self) {
        self.remaining.set(None);
    }

    /// Counts bytes; fails if there are too many.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let Some(remaining) = self.remaining.get() else { return Ok(()) };
        let remaining = remaining.checked_sub(bytes);
        self.remaining.set(remaining.or(Some(0)));
        remaining.map(drop).ok_or_else(|| io::Error::other("no head in too many bytes"))
    }
}

/// A stream whose reader yields regularly, however fast bytes arrive.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    /// Bytes that may be read before the next yield.
    remaining: usize,
    head_limit: HeadLimit,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream, head_limit: HeadLimit) -> Self {
        Self { inner, remaining: MAX_TURN_BYTES, head_limit }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.remaining == 0 {
            self.remaining = MAX_TURN_BYTES;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.remaining = self.remaining.saturating_sub(read);
        self.head_limit.count(read)?;
        polled
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
