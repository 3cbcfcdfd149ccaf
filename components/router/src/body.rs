//! Reading a request's body within its limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use errors::Kind;
use ntex::web::types::Payload;

/// The most bytes of a refused request that are taken in.
const MAX_DISCARDED: usize = 256 * 1024;

/// How long the rest of a refused request may take to come.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the whole body.
///
/// # Errors
///
/// The body is too large, too slow, or broke off.
pub(crate) async fn read(
    payload: &mut Payload,
    declared: Option<usize>,
    settings: &settings::Router,
) -> Result<Bytes, Kind> {
    if declared.is_some_and(|it| it > settings.body_bytes) {
        return Err(Kind::TooLarge);
    }
    let timeout = Duration::from_millis(settings.body_ms);
    let collected = collect(payload, settings.body_bytes);
    tokio::time::timeout(timeout, collected).await.unwrap_or(Err(Kind::SlowBody))
}

/// Takes in and drops what is left of a body that is of no interest, so that
/// the answer is not lost when the connection ends with bytes unread. What is
/// too large or too slow for that is left.
pub(crate) async fn discard(payload: &mut Payload) {
    let dropped = async {
        let mut left = MAX_DISCARDED;
        while let Some(Ok(bytes)) = payload.recv().await {
            if bytes.len() > left {
                return;
            }
            left -= bytes.len();
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, dropped).await;
}

async fn collect(payload: &mut Payload, most: usize) -> Result<Bytes, Kind> {
    let mut body = BytesMut::new();
    while let Some(bytes) = payload.recv().await {
        let bytes = bytes.map_err(|_| Kind::Malformed)?;
        if body.len() + bytes.len() > most {
            return Err(Kind::TooLarge);
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body.freeze())
}
