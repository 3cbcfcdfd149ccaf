//! Length-prefixed `bincode` with limits.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{ResultExt, Snafu, ensure};

use crate::Frame;

/// The largest frame, in bytes: the largest request body and room for its head.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// The length prefix, in bytes.
const PREFIX: usize = 4;

/// The room first taken for a frame, in bytes; most frames carry one token.
const FRAME_ROOM: usize = 256;

/// A frame that can't be written or read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("a frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}"))]
    TooLong {
        /// The frame's length in bytes.
        length: usize,
    },
    /// The bytes are not a frame.
    #[snafu(display("the bytes are not a frame"))]
    Decode {
        /// What `bincode` says.
        source: bincode::error::DecodeError,
    },
    /// The frame can't be encoded.
    #[snafu(display("the frame can't be encoded"))]
    Encode {
        /// What `bincode` says.
        source: bincode::error::EncodeError,
    },
    /// The bytes can't be decompressed.
    #[snafu(display("the bytes can't be decompressed: {reason}"))]
    Compression {
        /// What the library says.
        reason: String,
    },
    /// Bytes are left over after a frame.
    #[snafu(display("{left} bytes are left over after the frame"))]
    Trailing {
        /// How many.
        left: usize,
    },
}

fn config() -> Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// The frame with its length prefix.
///
/// # Errors
///
/// A frame above [`MAX_FRAME_BYTES`] is refused.
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut buffer = BytesMut::with_capacity(FRAME_ROOM);
    buffer.put_u32(0);
    let mut writer = buffer.writer();
    bincode::serde::encode_into_std_write(frame, &mut writer, config()).context(EncodeSnafu)?;
    let mut buffer = writer.into_inner();
    let length = buffer.len() - PREFIX;
    ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
    let prefix = u32::try_from(length).unwrap_or(u32::MAX);
    buffer[..PREFIX].copy_from_slice(&prefix.to_be_bytes());
    Ok(buffer.freeze())
}

/// Cuts a byte stream into frames; holds one unfinished frame at most.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished frame are held.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole frame, or `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// An oversized or unreadable frame; the stream is of no use after it.
    pub fn frame(&mut self) -> Result<Option<Frame>, Error> {
        if self.buffer.len() < PREFIX {
            return Ok(None);
        }
        let mut prefix = &self.buffer[..PREFIX];
        let length = prefix.get_u32() as usize;
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
        if self.buffer.len() < PREFIX + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX);
        let bytes = self.buffer.split_to(length);
        let (frame, read) =
            bincode::serde::decode_from_slice(&bytes, config()).context(DecodeSnafu)?;
        ensure!(read == length, TrailingSnafu { left: length - read });
        Ok(Some(frame))
    }
}
