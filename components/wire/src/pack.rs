//! Long values of which a frame holds a part: `bincode`, compressed.

use bytes::Bytes;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::Error;
use crate::codec::{CompressionSnafu, DecodeSnafu, EncodeSnafu, TrailingSnafu};

/// The fastest compression that the library has. Configurations are text and take a fifth.
const LEVEL: u8 = 1;

/// The most that a value may take once it is decompressed, in bytes: sixteen configurations of
/// the largest size.
const MOST: usize = 64 * 1024 * 1024;

/// Writes a value.
///
/// # Errors
///
/// A value that can't be encoded.
pub fn pack<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    let config = bincode::config::standard();
    let plain = bincode::serde::encode_to_vec(value, config).context(EncodeSnafu)?;
    Ok(compress_to_vec(&plain, LEVEL).into())
}

/// Reads what [`pack`] wrote.
///
/// # Errors
///
/// Bytes that are something else.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let plain = decompress_to_vec_with_limit(bytes, MOST)
        .map_err(|it| CompressionSnafu { reason: it.to_string() }.build())?;
    let config = bincode::config::standard().with_limit::<MOST>();
    let (value, read) = bincode::serde::decode_from_slice(&plain, config).context(DecodeSnafu)?;
    ensure!(read == plain.len(), TrailingSnafu { left: plain.len() - read });
    Ok(value)
}
