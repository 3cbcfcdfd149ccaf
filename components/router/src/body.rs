//! Reads request bodies within size and time limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use errors::Kind;
use ntex::web::types::Payload;

/// The most bytes of a refused request that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the whole body.
///
/// # Errors
///
/// The body is too large, too slow or incomplete.
pub(crate) async fn read(
    payload: &mut Payload,
    declared: Option<usize>,
    settings: &settings::Router,
) -> Result<Bytes, Kind> {
    if declared.is_some_and(|length| length > settings.body_bytes) {
        return Err(Kind::TooLarge);
    }
    let timeout = Duration::from_millis(settings.body_ms);
    let collecting = collect(payload, settings.body_bytes);
    tokio::time::timeout(timeout, collecting).await.unwrap_or(Err(Kind::SlowBody))
}

/// Reads and discards the rest of a body, so that the response isn't lost to a connection reset.
/// Gives up on bodies that are too large or too slow.
pub(crate) async fn discard(payload: &mut Payload) {
    let discarding = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Some(Ok(bytes)) = payload.recv().await {
            if bytes.len() > remaining {
                return;
            }
            remaining -= bytes.len();
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}

async fn collect(payload: &mut Payload, limit: usize) -> Result<Bytes, Kind> {
    let mut body = BytesMut::new();
    while let Some(bytes) = payload.recv().await {
        let bytes = bytes.map_err(|_| Kind::Malformed)?;
        if body.len() + bytes.len() > limit {
            return Err(Kind::TooLarge);
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body.freeze())
}
