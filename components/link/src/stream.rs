//! The two halves of a stream.

use std::future::poll_fn;

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use snafu::ResultExt;
use wire::Frame;

use crate::Error;
use crate::error::{BrokenSnafu, FrameSnafu, UnexpectedEndSnafu};

/// The half that frames are written to.
#[derive(Debug)]
pub struct Sink {
    stream: SendStream<Bytes>,
}

impl Sink {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Writes one frame, waiting for room in the window of the other side.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.write(frame, false).await
    }

    /// Writes the last frame and ends this half.
    pub async fn finish(&mut self, frame: &Frame) -> Result<(), Error> {
        self.write(frame, true).await
    }

    /// Ends this half without a frame.
    pub fn end(&mut self) {
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    /// Resets the stream, which the other side sees as a cancel.
    pub fn reset(&mut self) {
        self.stream.send_reset(h2::Reason::CANCEL);
    }

    /// Waits until the other side resets the stream or its connection is lost.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }

    async fn write(&mut self, frame: &Frame, last: bool) -> Result<(), Error> {
        let mut bytes = wire::encode(frame).context(FrameSnafu)?;
        while !bytes.is_empty() {
            let room = self.room(bytes.len()).await?;
            let part = bytes.split_to(room.min(bytes.len()));
            let end = last && bytes.is_empty();
            self.stream.send_data(part, end).context(BrokenSnafu)?;
        }
        Ok(())
    }

    async fn room(&mut self, wanted: usize) -> Result<usize, Error> {
        self.stream.reserve_capacity(wanted);
        loop {
            let room = self.stream.capacity();
            if room > 0 {
                return Ok(room);
            }
            match poll_fn(|context| self.stream.poll_capacity(context)).await {
                Some(Ok(_)) => {}
                Some(Err(source)) => return Err(Error::Broken { source }),
                None => return UnexpectedEndSnafu.fail(),
            }
        }
    }
}

/// The half that frames are read from.
#[derive(Debug)]
pub struct Source {
    stream: RecvStream,
    reader: wire::Reader,
}

impl Source {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream, reader: wire::Reader::default() }
    }

    /// The next frame, or `None` at a clean end of the stream.
    ///
    /// # Errors
    ///
    /// A broken link, an end within a frame, or a bad frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = self.reader.next_frame().context(FrameSnafu)? {
                return Ok(Some(frame));
            }
            let Some(data) = self.stream.data().await else {
                if self.reader.is_partial() {
                    return UnexpectedEndSnafu.fail();
                }
                return Ok(None);
            };
            let data = data.context(BrokenSnafu)?;
            self.reader.push(&data);
            let window = self.stream.flow_control();
            window.release_capacity(data.len()).context(BrokenSnafu)?;
        }
    }
}
