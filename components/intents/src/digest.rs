//! Digests of workspace keys.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// The length of a digest in hexadecimal digits.
pub(crate) const LENGTH: usize = 64;

/// SHA-256 of a workspace key, in lower-case hexadecimal.
pub fn digest(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().fold(String::with_capacity(LENGTH), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
