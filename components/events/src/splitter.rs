//! Splits an answer into server-sent events.
//!
//! Only complete events are forwarded: if an upstream fails within an event, the answer
//! can be resumed at another upstream after the last complete one. Lines end in CR, LF or CR LF, and
//! an event ends with a blank line.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// The field with an event's id, which is a number.
const ID_FIELD: &[u8] = b"id:";

/// Limit of the size of an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Where in its event the buffer ends.
    position: Position,
    /// The id of the last event that was returned.
    last_id: Option<u64>,
    /// Whether the last complete event was returned.
    is_last_new: bool,
}

/// Where a stream stands between two bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// Within a line, or before the first line of an event.
    #[default]
    Line,
    /// After a line that ended in LF.
    Lf,
    /// After a line that ended in CR, or in CR LF of which the LF is missing.
    Cr,
    /// After a line that ended in CR LF.
    CrLf,
    /// After the CR of a blank line in a stream whose lines end in CR LF: the LF is awaited.
    BlankCr,
    /// After an event whose blank line ended in CR; an LF that follows belongs to it.
    Ended,
}

/// What a byte means for the events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Boundary {
    /// It is part of an event.
    None,
    /// It is the last byte of an event.
    After,
    /// The event ended before it.
    Before,
    /// It is the LF of an event that has already ended.
    Late,
}

impl Position {
    /// Moves over `byte`.
    fn advance(&mut self, byte: u8) -> Boundary {
        let (next, boundary) = match (*self, byte) {
            (Self::Lf | Self::CrLf | Self::BlankCr, b'\n') => (Self::Line, Boundary::After),
            (Self::Ended, b'\n') => (Self::Line, Boundary::Late),
            (Self::Cr, b'\n') => (Self::CrLf, Boundary::None),
            (Self::Line, b'\n') => (Self::Lf, Boundary::None),
            (Self::Lf | Self::Cr, b'\r') => (Self::Ended, Boundary::After),
            (Self::CrLf, b'\r') => (Self::BlankCr, Boundary::None),
            (Self::BlankCr, b'\r') => (Self::Cr, Boundary::Before),
            (Self::BlankCr, _) => (Self::Line, Boundary::Before),
            (Self::Line | Self::Ended, b'\r') => (Self::Cr, Boundary::None),
            _ => (Self::Line, Boundary::None),
        };
        *self = next;
        boundary
    }
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
        Self { last_id, ..Self::default() }
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
        let mut events = BytesMut::new();
        let mut start = 0;
        for (index, byte) in bytes.iter().enumerate() {
            match self.position.advance(*byte) {
                Boundary::None => continue,
                Boundary::Before => {
                    self.end_event(&bytes[start..index], &mut events)?;
                    start = index;
                    continue;
                }
                Boundary::After => self.end_event(&bytes[start..=index], &mut events)?,
                Boundary::Late => self.extend_last(&bytes[start..=index], &mut events),
            }
            start = index + 1;
        }
        self.buffer.extend_from_slice(&bytes[start..]);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Error::TooLarge);
        }
        Ok(events.freeze())
    }

    /// Completes an event by its last bytes, and adds it to `events` if it is new.
    fn end_event(&mut self, rest: &[u8], events: &mut BytesMut) -> Result<(), Error> {
        if self.buffer.is_empty() {
            self.is_last_new = self.record_event(rest)?;
            self.extend_last(rest, events);
            return Ok(());
        }
        self.buffer.extend_from_slice(rest);
        let event = self.buffer.split();
        self.is_last_new = self.record_event(&event)?;
        self.extend_last(&event, events);
        Ok(())
    }

    /// Adds bytes of the last complete event to `events` if it is new.
    fn extend_last(&self, bytes: &[u8], events: &mut BytesMut) {
        if self.is_last_new {
            events.extend_from_slice(bytes);
        }
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

fn event_id(event: &[u8]) -> Option<u64> {
    let is_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let line = event.split(is_end).find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
