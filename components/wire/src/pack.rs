//! Compressed `bincode` for values that are sent in several frames.

use bytes::Bytes;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::Error;
use crate::codec::{CompressionSnafu, DecodeSnafu, EncodeSnafu, TrailingSnafu};

/// The fastest level, which is enough for configurations, as they are text.
const COMPRESSION_LEVEL: u8 = 1;

/// Room for several configurations of the largest size.
const MAX_UNPACKED_BYTES: usize = 64 * 1024 * 1024;

/// Encodes and compresses a value.
///
/// # Errors
///
/// The value can't be encoded.
pub fn pack<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    let config = bincode::config::standard();
    let plain = bincode::serde::encode_to_vec(value, config).context(EncodeSnafu)?;
    Ok(compress_to_vec(&plain, COMPRESSION_LEVEL).into())
}

/// Decodes a value that [`pack`] encoded.
///
/// # Errors
///
/// The bytes can't be decompressed or decoded, or are too many.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let plain = decompress_to_vec_with_limit(bytes, MAX_UNPACKED_BYTES)
        .map_err(|error| CompressionSnafu { reason: error.to_string() }.build())?;
    let config = bincode::config::standard().with_limit::<MAX_UNPACKED_BYTES>();
    let (value, read) = bincode::serde::decode_from_slice(&plain, config).context(DecodeSnafu)?;
    ensure!(read == plain.len(), TrailingSnafu { left: plain.len() - read });
    Ok(value)
}
