//! Splitting an answer into server-sent events.
//!
//! Only whole events are passed on: an upstream may break off inside one, and
//! the rest of the answer may then come from another upstream.

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// What ends an event.
const END: &[u8] = b"\n\n";

/// The field that holds an event's number.
const ID: &[u8] = b"id:";

/// The largest event, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// Takes bytes in and gives whole events out.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    /// The number of the last event that was passed on.
    last: Option<u64>,
}

/// Events that can't be part of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// An event is missing.
    #[snafu(display("an event is missing"))]
    Gap,
    /// An event is too large.
    #[snafu(display("an event is too large"))]
    TooLarge,
}

impl Splitter {
    /// A splitter for an answer whose events up to `last` were passed on.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self { rest: BytesMut::new(), last }
    }

    /// The number of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Whether there is a part of an event.
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Takes `bytes` in and returns the events that are whole now. Events that
    /// were passed on before are left out.
    ///
    /// # Errors
    ///
    /// A gap in the numbers, or an event that is too large.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        let scanned = self.rest.len().saturating_sub(END.len() - 1);
        self.rest.extend_from_slice(bytes);
        let Some(whole) = last_end(&self.rest[scanned..]).map(|it| it + scanned) else {
            return if self.rest.len() > MAX_EVENT {
                Err(Error::TooLarge)
            } else {
                Ok(Bytes::new())
            };
        };
        let mut events = self.rest.split_to(whole).freeze();
        let mut kept = BytesMut::with_capacity(events.len());
        while let Some(end) = first_end(&events) {
            let event = events.split_to(end);
            if self.is_next(&event)? {
                kept.extend_from_slice(&event);
            }
        }
        Ok(kept.freeze())
    }

    /// Whether `event` is to be passed on; its number is noted.
    fn is_next(&mut self, event: &[u8]) -> Result<bool, Error> {
        let Some(id) = number(event) else { return Ok(true) };
        match self.last {
            Some(last) if id <= last => return Ok(false),
            Some(last) if id > last + 1 => return Err(Error::Gap),
            _ => {}
        }
        self.last = Some(id);
        Ok(true)
    }
}

fn first_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).position(|it| it == END).map(|it| it + END.len())
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).rposition(|it| it == END).map(|it| it + END.len())
}

fn number(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find(|line| line.starts_with(ID))?;
    std::str::from_utf8(&line[ID.len()..]).ok()?.trim().parse().ok()
}
