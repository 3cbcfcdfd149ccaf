//! The memory that the bodies of all requests share.
//!
//! A body whose memory is not free is refused. Before that, bodies that arrive too slowly are ended:
//! the largest first, until there is room.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use budget::{Budget, Share};
use bytes::BytesMut;
use clock::{Clock, Millis};
use errors::Kind;
use tokio::sync::Notify;

use crate::report;

/// Memory that the library may take for the chunks of a body while it is read.
const READING_BYTES: usize = 64 * 1024;

/// The bytes of a segment.
const SEGMENT_BYTES: usize = 16 * 1024;

/// The time over which the bytes of a body are counted.
const WINDOW: Millis = Millis(1_000);

/// The least bytes in a window with which a body is not slow.
const MIN_WINDOW_BYTES: usize = 64 * 1024;

/// A complete body.
#[derive(Debug)]
pub(crate) struct Body {
    pub content: outbound::Body,
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
    /// The id of its request.
    request: Arc<str>,
    received: RefCell<Received>,
    /// Notified when the body was ended to make room.
    ended: Notify,
}

#[derive(Debug)]
struct Received {
    content: Content,
    memory: Share,
    is_ended: bool,
    window: Window,
}

/// The bytes of a body in segments of one size. Buffers that grow would leave holes in the heap, which
/// count as memory of the process.
#[derive(Debug, Default)]
struct Content {
    segments: Vec<BytesMut>,
    length: usize,
}

impl Content {
    fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let is_full = |segment: &BytesMut| segment.len() == SEGMENT_BYTES;
            if self.segments.last().is_none_or(is_full) {
                self.segments.push(BytesMut::with_capacity(SEGMENT_BYTES));
            }
            let Some(last) = self.segments.last_mut() else { return };
            let (part, rest) = bytes.split_at(bytes.len().min(SEGMENT_BYTES - last.len()));
            last.extend_from_slice(part);
            bytes = rest;
        }
    }

    fn finish(self) -> outbound::Body {
        self.segments.into_iter().map(BytesMut::freeze).collect()
    }
}

/// The memory that a body of `length` bytes takes.
fn capacity(length: usize) -> usize {
    length.next_multiple_of(SEGMENT_BYTES)
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

    /// Begins to read the body of a request, on a connection that stays open meanwhile.
    pub(crate) fn start(
        &self,
        request: &Arc<str>,
        connection: Option<process::Request>,
    ) -> Reading<'_> {
        let number = self.last_reader.get() + 1;
        self.last_reader.set(number);
        let received = Received {
            content: Content::default(),
            memory: self.budget.share(),
            is_ended: false,
            window: Window::start(self.clock.now()),
        };
        let request = request.clone();
        let reader = Reader { number, request, received: received.into(), ended: Notify::new() };
        let reader = Rc::new(reader);
        self.readers.borrow_mut().insert(number, reader.clone());
        Reading { bodies: self, reader, connection }
    }

    /// Takes the memory for `length` bytes of a body; ends slow bodies if it is not free.
    fn reserve(&self, reader: &Reader, length: usize) -> Result<(), Kind> {
        while !reader
            .received
            .borrow_mut()
            .memory
            .resize(capacity(length) * self.copies + READING_BYTES)
        {
            if !self.end_slow(Some(reader.number)) {
                let (held, limit) = (self.budget.held(), self.budget.limit());
                report::log_no_memory(&reader.request, length, held, limit);
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
        report::log_slow_body(&reader.request, held, self.budget.held(), self.budget.limit());
        self.end(&reader);
        true
    }

    fn end(&self, reader: &Reader) {
        self.readers.borrow_mut().remove(&reader.number);
        let mut received = reader.received.borrow_mut();
        received.content = Content::default();
        received.memory.resize(0);
        received.is_ended = true;
        reader.ended.notify_one();
    }
}

/// A body that is being read, until this is dropped.
#[derive(Debug)]
pub(crate) struct Reading<'a> {
    bodies: &'a Bodies,
    reader: Rc<Reader>,
    connection: Option<process::Request>,
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.bodies.readers.borrow_mut().remove(&self.reader.number);
    }
}

impl Reading<'_> {
    /// Refuses a body of `length` bytes if there is no room for it. Takes no more of the memory than
    /// an empty body needs.
    pub(crate) fn expect(&self, length: usize) -> Result<(), Kind> {
        self.bodies.reserve(&self.reader, length)?;
        self.reader.received.borrow_mut().memory.resize(READING_BYTES);
        Ok(())
    }

    /// Waits until the body is ended to make room.
    pub(crate) async fn ended(&self) {
        self.reader.ended.notified().await;
    }

    /// Adds bytes of the body.
    pub(crate) fn push(&self, bytes: &[u8], limit: usize) -> Result<(), Kind> {
        let length = self.reader.received.borrow().content.length + bytes.len();
        if length > limit {
            return Err(Kind::TooLarge);
        }
        self.bodies.reserve(&self.reader, length)?;
        let mut received = self.reader.received.borrow_mut();
        received.window.advance(self.bodies.clock.now());
        received.window.bytes += bytes.len();
        received.content.push(bytes);
        Ok(())
    }

    /// The complete body.
    pub(crate) fn finish(mut self) -> Result<Body, Kind> {
        let mut received = self.reader.received.borrow_mut();
        if received.is_ended {
            return Err(Kind::SlowBody);
        }
        let content = std::mem::take(&mut received.content);
        let mut memory = std::mem::replace(&mut received.memory, self.bodies.budget.share());
        drop(received);
        memory.resize(capacity(content.length) * self.bodies.copies);
        Ok(Body {
            content: content.finish(),
            held: Held { memory, connection: self.connection.take() },
        })
    }
}
