//! Reading a request's body within its limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use errors::Kind;
use ntex::web::types::Payload;

/// Reads the whole body.
///
/// # Errors
///
/// The body is too large, too slow, or broke off.
pub(crate) async fn read(
    mut payload: Payload,
    declared: Option<usize>,
    settings: &settings::Router,
) -> Result<Bytes, Kind> {
    if declared.is_some_and(|it| it > settings.body_bytes) {
        return Err(Kind::TooLarge);
    }
    let patience = Duration::from_millis(settings.body_ms);
    let collected = collect(&mut payload, settings.body_bytes);
    tokio::time::timeout(patience, collected).await.unwrap_or(Err(Kind::SlowBody))
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
