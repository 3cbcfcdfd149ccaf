//! The sending and the receiving half of a stream.

use std::future::poll_fn;

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use snafu::{OptionExt, ResultExt};
use wire::Frame;

use crate::Error;
use crate::error::{BrokenSnafu, FrameSnafu, UnexpectedEndSnafu};

/// The sending half of a stream.
#[derive(Debug)]
pub struct Sink {
    stream: SendStream<Bytes>,
}

impl Sink {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Writes a frame, waiting for capacity in the flow-control window.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.write(frame, false).await
    }

    /// Writes the last frame and ends the stream's sending half.
    pub async fn finish(&mut self, frame: &Frame) -> Result<(), Error> {
        self.write(frame, true).await
    }

    /// Ends the sending half without a further frame.
    pub fn end(&mut self) {
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    /// Resets the stream with the HTTP/2 error code `CANCEL`.
    pub fn reset(&mut self) {
        self.stream.send_reset(h2::Reason::CANCEL);
    }

    /// Waits until the other side resets the stream or the connection ends.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.stream.poll_reset(context)).await;
    }

    async fn write(&mut self, frame: &Frame, last: bool) -> Result<(), Error> {
        let mut bytes = wire::encode(frame).context(FrameSnafu)?;
        while !bytes.is_empty() {
            let capacity = self.reserve(bytes.len()).await?;
            let chunk = bytes.split_to(capacity.min(bytes.len()));
            let end = last && bytes.is_empty();
            self.stream.send_data(chunk, end).context(BrokenSnafu)?;
        }
        Ok(())
    }

    async fn reserve(&mut self, length: usize) -> Result<usize, Error> {
        self.stream.reserve_capacity(length);
        loop {
            let capacity = self.stream.capacity();
            if capacity > 0 {
                return Ok(capacity);
            }
            match poll_fn(|context| self.stream.poll_capacity(context)).await {
                Some(Ok(_)) => {}
                Some(Err(source)) => return Err(Error::Broken { source }),
                None => return UnexpectedEndSnafu.fail(),
            }
        }
    }
}

/// The receiving half of a stream.
#[derive(Debug)]
pub struct Source {
    stream: RecvStream,
    reader: wire::Reader,
}

impl Source {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream, reader: wire::Reader::default() }
    }

    /// Returns the next frame, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// The connection failed, or the stream ended within a frame or has an invalid frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = self.reader.next_frame().context(FrameSnafu)? {
                return Ok(Some(frame));
            }
            let Some(data) = self.data().await? else {
                if self.reader.is_partial() {
                    return UnexpectedEndSnafu.fail();
                }
                return Ok(None);
            };
            self.reader.push(&data);
        }
    }

    /// Returns the only frame of a request, or `None` if `allows` forbids to hold its bytes; the rest
    /// of it is then read and discarded.
    ///
    /// # Errors
    ///
    /// As for [`Source::next`], and a stream without a frame.
    pub(crate) async fn request(
        &mut self,
        mut allows: impl FnMut(usize) -> bool,
    ) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = self.reader.next_frame().context(FrameSnafu)? {
                // Frees the buffer, as the stream lives until the answer has ended.
                self.reader = wire::Reader::default();
                return Ok(Some(frame));
            }
            let data = self.data().await?.context(UnexpectedEndSnafu)?;
            if !allows(self.reader.len() + data.len()) {
                self.reader = wire::Reader::default();
                allows(0);
                while self.data().await?.is_some() {}
                return Ok(None);
            }
            self.reader.push(&data);
        }
    }

    /// The next bytes of the stream, or `None` at its end.
    async fn data(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(data) = self.stream.data().await else { return Ok(None) };
        let data = data.context(BrokenSnafu)?;
        let flow_control = self.stream.flow_control();
        flow_control.release_capacity(data.len()).context(BrokenSnafu)?;
        Ok(Some(data))
    }
}
