//! Length-prefixed `bincode` with limits.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{ResultExt, Snafu, ensure};

use crate::Frame;

/// Room for the largest request body and its head.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

const PREFIX_BYTES: usize = 4;

/// The initial buffer, which grows for larger frames.
const INITIAL_CAPACITY_BYTES: usize = 256;

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
        /// The decoder's error.
        source: bincode::error::DecodeError,
    },
    /// The frame can't be encoded.
    #[snafu(display("the frame can't be encoded"))]
    Encode {
        /// The encoder's error.
        source: bincode::error::EncodeError,
    },
    /// The bytes can't be decompressed.
    #[snafu(display("the bytes can't be decompressed: {reason}"))]
    Compression {
        /// The decompressor's error.
        reason: String,
    },
    /// Bytes are left over after a frame.
    #[snafu(display("{left} bytes are left over after the frame"))]
    Trailing {
        /// The number of bytes.
        left: usize,
    },
}

fn config() -> Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes a frame with its length prefix.
///
/// # Errors
///
/// The frame is longer than [`MAX_FRAME_BYTES`] or can't be encoded.
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut buffer = BytesMut::with_capacity(INITIAL_CAPACITY_BYTES);
    buffer.put_u32(0);
    let mut writer = buffer.writer();
    bincode::serde::encode_into_std_write(frame, &mut writer, config()).context(EncodeSnafu)?;
    let mut buffer = writer.into_inner();
    let length = buffer.len() - PREFIX_BYTES;
    ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
    let prefix = u32::try_from(length).unwrap_or(u32::MAX);
    buffer[..PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(buffer.freeze())
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The number of bytes that have not been returned as a frame.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether there are no such bytes.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether there are bytes that have not been returned as a frame.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Decodes the next frame, or returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// The frame is too long or can't be decoded; the rest of the stream can't be read either.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Error> {
        if self.buffer.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let mut prefix = &self.buffer[..PREFIX_BYTES];
        let length = prefix.get_u32() as usize;
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let bytes = self.buffer.split_to(length);
        let (frame, read) =
            bincode::serde::decode_from_slice(&bytes, config()).context(DecodeSnafu)?;
        ensure!(read == length, TrailingSnafu { left: length - read });
        Ok(Some(frame))
    }
}
