//! Reads request bodies within limits on size, time and the memory that all of them share.
//!
//! A body whose memory is not free is refused. Before that, bodies that arrive too slowly are ended:
//! the largest first, until there is room.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use budget::{Budget, Share};
use bytes::{Bytes, BytesMut};
use clock::{Clock, Millis};
use errors::Kind;
use ntex::io::IoRef;
use ntex::web::types::Payload;
use tokio::sync::Notify;

use crate::core::Core;
use crate::report;

/// The most bytes of a refused request that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Memory that the library may take for the chunks of a body while it is read.
const READING_BYTES: usize = 64 * 1024;

/// The most bytes that may arrive on a connection without a chunk of the body among them, such as of
/// a line that gives a chunk's size. More than the library reads at a time.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// The time over which the bytes of a body are counted.
const WINDOW: Millis = Millis(1_000);

/// The least bytes in a window with which a body is not slow.
const MIN_WINDOW_BYTES: usize = 64 * 1024;

/// A complete body.
#[derive(Debug)]
pub(crate) struct Body {
    pub bytes: Bytes,
    pub held: Held,
}

/// What a request takes from others until it is dropped.
#[derive(Debug)]
#[expect(dead_code, reason = "returned when dropped")]
pub(crate) struct Held {
    memory: Share,
    /// Keeps the connection open.
    connection: Option<process::Request>,
}

/// The bodies that are being read, and the memory for all bodies.
#[derive(Debug)]
pub(crate) struct Bodies {
    budget: Budget,
    /// How often a body is held at most.
    copies: usize,
    clock: Clock,
    readers: RefCell<BTreeMap<u64, Rc<Reader>>>,
    last_reader: Cell<u64>,
}

/// A body that is being read.
#[derive(Debug)]
struct Reader {
    number: u64,
    received: RefCell<Received>,
    /// Notified when the body was ended to make room.
    ended: Notify,
}

#[derive(Debug)]
struct Received {
    bytes: BytesMut,
    memory: Share,
    is_ended: bool,
    window: Window,
}

/// Counts the bytes that arrive.
#[derive(Clone, Copy, Debug)]
struct Window {
    started_at: Millis,
    bytes: usize,
    /// The bytes of the window before; none before the first has passed.
    last_bytes: Option<usize>,
}

impl Window {
    fn start(now: Millis) -> Self {
        Self { started_at: now, bytes: 0, last_bytes: None }
    }

    /// Begins another window once this one has passed.
    fn advance(&mut self, now: Millis) {
        let elapsed = self.started_at.until(now);
        if elapsed < WINDOW {
            return;
        }
        let is_next = elapsed < WINDOW + WINDOW;
        let last_bytes = Some(if is_next { self.bytes } else { 0 });
        *self = Self { started_at: now, bytes: 0, last_bytes };
    }

    fn is_slow(&self) -> bool {
        self.last_bytes.is_some_and(|last| last.max(self.bytes) < MIN_WINDOW_BYTES)
    }
}

impl Bodies {
    /// Creates the memory for all bodies, of `limit` bytes, where each may be held `copies` times.
    pub(crate) fn new(limit: usize, copies: usize) -> Self {
        Self {
            budget: Budget::new(limit),
            copies,
            clock: Clock::new(),
            readers: RefCell::default(),
            last_reader: Cell::default(),
        }
    }

    /// Begins to read a body.
    fn start(&self) -> Rc<Reader> {
        let number = self.last_reader.get() + 1;
        self.last_reader.set(number);
        let received = Received {
            bytes: BytesMut::new(),
            memory: self.budget.share(),
            is_ended: false,
            window: Window::start(self.clock.now()),
        };
        let reader = Reader { number, received: received.into(), ended: Notify::new() };
        let reader = Rc::new(reader);
        self.readers.borrow_mut().insert(number, reader.clone());
        reader
    }

    /// Takes the memory for `length` bytes of a body; ends slow bodies if it is not free.
    fn reserve(&self, reader: &Reader, length: usize) -> Result<(), Kind> {
        while !reader.received.borrow_mut().memory.resize(length * self.copies + READING_BYTES) {
            if !self.end_slow(Some(reader.number)) {
                report::log_no_memory(length, self.budget.held(), self.budget.limit());
                return Err(Kind::OutOfMemory);
            }
        }
        Ok(())
    }

    /// Ends the largest slow body other than `except`, and frees its memory; returns whether there
    /// was one.
    pub(crate) fn end_slow(&self, except: Option<u64>) -> bool {
        let now = self.clock.now();
        let slow_bytes = |reader: &Rc<Reader>| {
            let mut received = reader.received.borrow_mut();
            received.window.advance(now);
            let is_slow = Some(reader.number) != except && received.window.is_slow();
            is_slow.then(|| received.memory.bytes())
        };
        let readers = self.readers.borrow();
        let slow = readers.values().filter_map(|reader| Some((slow_bytes(reader)?, reader)));
        let Some((held, reader)) = slow.max_by_key(|(held, _)| *held) else { return false };
        let reader = reader.clone();
        drop(readers);
        report::log_slow_body(held, self.budget.held(), self.budget.limit());
        self.end(&reader);
        true
    }

    fn end(&self, reader: &Reader) {
        self.readers.borrow_mut().remove(&reader.number);
        let mut received = reader.received.borrow_mut();
        received.bytes = BytesMut::new();
        received.memory.resize(0);
        received.is_ended = true;
        reader.ended.notify_one();
    }
}

/// Removes a body from those that are being read when dropped.
struct Reading<'a> {
    bodies: &'a Bodies,
    reader: Rc<Reader>,
    request: Option<process::Request>,
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.bodies.readers.borrow_mut().remove(&self.reader.number);
    }
}

impl Reading<'_> {
    /// Adds bytes of the body.
    fn push(&self, bytes: &[u8], limit: usize) -> Result<(), Kind> {
        let length = self.reader.received.borrow().bytes.len() + bytes.len();
        if length > limit {
            return Err(Kind::TooLarge);
        }
        self.bodies.reserve(&self.reader, length)?;
        let mut received = self.reader.received.borrow_mut();
        received.window.advance(self.bodies.clock.now());
        received.window.bytes += bytes.len();
        received.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Reads the whole body.
    async fn read(
        mut self,
        payload: &mut Payload,
        limit: usize,
        connection: Option<&IoRef>,
    ) -> Result<Body, Kind> {
        loop {
            let chunk = tokio::select! {
                biased;
                () = self.reader.ended.notified() => return Err(Kind::SlowBody),
                chunk = next_chunk(payload, connection) => chunk?,
            };
            match chunk {
                Some(bytes) => self.push(&bytes, limit)?,
                None => return self.finish(),
            }
        }
    }

    fn finish(&mut self) -> Result<Body, Kind> {
        let mut received = self.reader.received.borrow_mut();
        if received.is_ended {
            return Err(Kind::SlowBody);
        }
        let bytes = std::mem::take(&mut received.bytes).freeze();
        let mut memory = std::mem::replace(&mut received.memory, self.bodies.budget.share());
        memory.resize(bytes.len() * self.bodies.copies);
        Ok(Body { bytes, held: Held { memory, connection: self.request.take() } })
    }
}

/// The next chunk of a body, or `None` at its end.
async fn next_chunk(
    payload: &mut Payload,
    connection: Option<&IoRef>,
) -> Result<Option<ntex::util::Bytes>, Kind> {
    let poll = |context: &mut Context<'_>| match payload.poll_recv(context) {
        Poll::Ready(chunk) => Poll::Ready(chunk.transpose().map_err(|_| Kind::Malformed)),
        Poll::Pending if has_long_framing(connection) => Poll::Ready(Err(Kind::Malformed)),
        Poll::Pending => Poll::Pending,
    };
    std::future::poll_fn(poll).await
}

/// Whether the connection holds more bytes than the framing of a chunk needs. The library keeps
/// such bytes without a bound.
fn has_long_framing(connection: Option<&IoRef>) -> bool {
    connection.is_some_and(|connection| {
        connection.with_read_buf(|buffer| buffer.len()) > MAX_FRAMING_BYTES
    })
}

/// Reads the whole body.
///
/// # Errors
///
/// The body is too large, too slow or incomplete, or there is no memory for it.
pub(crate) async fn read(
    core: &Core,
    payload: &mut Payload,
    declared: Option<usize>,
    connection: Option<&IoRef>,
) -> Result<Body, Kind> {
    let limit = core.settings.body_bytes;
    let declared = declared.unwrap_or_default();
    if declared > limit {
        return Err(Kind::TooLarge);
    }
    let request = connection.and_then(|connection| core.connections.start_request(connection));
    let reading = Reading { bodies: &core.bodies, reader: core.bodies.start(), request };
    if declared > 0 {
        // Refuses at once what there is no room for, and keeps only what has arrived.
        core.bodies.reserve(&reading.reader, declared)?;
        reading.reader.received.borrow_mut().memory.resize(READING_BYTES);
    }
    let timeout = Duration::from_millis(core.settings.body_ms);
    let reading = reading.read(payload, limit, connection);
    tokio::time::timeout(timeout, reading).await.unwrap_or(Err(Kind::SlowBody))
}

/// Reads and discards the rest of a body, so that the response isn't lost to a connection reset.
/// Gives up on bodies that are too large or too slow.
pub(crate) async fn discard(payload: &mut Payload, connection: Option<&IoRef>) {
    let discarding = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Ok(Some(bytes)) = next_chunk(payload, connection).await {
            if bytes.len() > remaining {
                return;
            }
            remaining -= bytes.len();
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}
