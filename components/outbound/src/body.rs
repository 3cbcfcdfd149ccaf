//! Request bodies in segments.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

/// A complete body. Clones share its bytes.
#[derive(Clone, Debug, Default)]
pub struct Body {
    segments: VecDeque<Bytes>,
}

impl Body {
    /// The segments, in order.
    pub fn segments(&self) -> impl Iterator<Item = &Bytes> {
        self.segments.iter()
    }

    /// The length in bytes.
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.segments.iter().all(Bytes::is_empty)
    }

    /// All bytes in one piece; copies them if there are several segments.
    pub fn to_bytes(&self) -> Bytes {
        match self.segments.len() {
            0 => Bytes::new(),
            1 => self.segments[0].clone(),
            _ => {
                let mut bytes = Vec::with_capacity(self.len());
                self.segments.iter().for_each(|segment| bytes.extend_from_slice(segment));
                bytes.into()
            }
        }
    }
}

impl FromIterator<Bytes> for Body {
    fn from_iter<I: IntoIterator<Item = Bytes>>(segments: I) -> Self {
        let segments = segments.into_iter().filter(|segment| !segment.is_empty()).collect();
        Self { segments }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        [bytes].into_iter().collect()
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.segments.pop_front().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
