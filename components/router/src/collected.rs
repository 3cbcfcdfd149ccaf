//! A response body that was collected whole, and is written as its caller reads.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use ntex::http::body::{BodySize, MessageBody};
use ntex::util::Bytes;

use crate::collection::Collection;
use crate::watchdog::Watchdog;

/// The most bytes that are passed to the connection at a time.
const PART_BYTES: usize = 16 * 1024;

/// A body, with what it takes from others until it is written.
#[derive(Debug)]
pub(crate) struct Collected {
    length: usize,
    rest: Bytes,
    collection: Collection,
    /// Keeps the connection open.
    _request: Option<process::Request>,
    _watchdog: Watchdog,
}

impl Collected {
    /// The body `bytes`, whose memory `collection` counts.
    pub(crate) fn new(
        bytes: Vec<u8>,
        collection: Collection,
        request: Option<process::Request>,
        watchdog: Watchdog,
    ) -> Self {
        let rest = Bytes::from(bytes);
        let length = rest.len();
        Self { length, rest, collection, _request: request, _watchdog: watchdog }
    }

    /// Whether the body fits into one part.
    pub(crate) fn is_small(bytes: &[u8]) -> bool {
        bytes.len() <= PART_BYTES
    }
}

impl MessageBody for Collected {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.length as u64)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if self.rest.is_empty() {
            self.collection.resize(0);
            return Poll::Ready(None);
        }
        let part = self.rest.split_to(PART_BYTES.min(self.rest.len()));
        Poll::Ready(Some(Ok(part)))
    }
}
