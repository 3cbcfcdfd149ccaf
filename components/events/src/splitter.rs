//! Splits an answer into server-sent events.
//!
//! Only complete events are forwarded: if an upstream fails within an event, the answer
//! can be resumed at another upstream after the last complete one.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The blank line that ends an event.
const TERMINATOR: &[u8] = b"\n\n";

/// The field with an event's id, which is a number.
const ID_FIELD: &[u8] = b"id:";

/// Limit of the size of an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// The id of the last event that was returned.
    last_id: Option<u64>,
}

/// An invalid event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The ids skip at least one event.
    #[snafu(display("an event is missing"))]
    Gap,
    /// An event exceeds the size limit.
    #[snafu(display("an event is too large"))]
    TooLarge,
}

impl Splitter {
    /// Creates a splitter that leaves out events up to the id `last`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), last_id }
    }

    /// The id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// The length of the part of an event in the buffer.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds part of an event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Adds bytes of the stream and returns the events that are complete now, without
    /// those returned before.
    ///
    /// # Errors
    ///
    /// A gap in the ids, or an event that is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        let scanned = self.buffer.len().saturating_sub(TERMINATOR.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.buffer[scanned..]).map(|end| end + scanned) else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(Error::TooLarge)
            } else {
                Ok(Bytes::new())
            };
        };
        let mut events = self.buffer.split_to(end).freeze();
        let mut new_events = BytesMut::with_capacity(events.len());
        while let Some(end) = first_event_end(&events) {
            let event = events.split_to(end);
            if self.record_event(&event)? {
                new_events.extend_from_slice(&event);
            }
        }
        Ok(new_events.freeze())
    }

    /// Records the id of `event`; returns whether the event is new. Events without an id
    /// always are.
    fn record_event(&mut self, event: &[u8]) -> Result<bool, Error> {
        let Some(id) = event_id(event) else { return Ok(true) };
        match self.last_id {
            Some(last_id) if id <= last_id => return Ok(false),
            Some(last_id) if id > last_id + 1 => return Err(Error::Gap),
            _ => {}
        }
        self.last_id = Some(id);
        Ok(true)
    }
}

fn first_event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(TERMINATOR.len())
        .position(|window| window == TERMINATOR)
        .map(|start| start + TERMINATOR.len())
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(TERMINATOR.len())
        .rposition(|window| window == TERMINATOR)
        .map(|start| start + TERMINATOR.len())
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
