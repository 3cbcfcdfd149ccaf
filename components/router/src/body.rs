//! Reads request bodies within limits on size, time and memory.

use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use errors::Kind;
use ntex::io::IoRef;
use ntex::web::types::Payload;

use crate::bodies::{Body, Reading};
use crate::core::Core;

/// The most bytes of a refused request that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The most bytes that may arrive on a connection without a chunk of the body among them, such as of
/// a line that gives a chunk's size. More than the library reads at a time.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// The next chunk of a body, or `None` at its end.
async fn next_chunk(
    payload: &mut Payload,
    connection: Option<&IoRef>,
) -> Result<Option<ntex::util::Bytes>, Kind> {
    let poll = |context: &mut Context<'_>| match payload.poll_recv(context) {
        Poll::Ready(chunk) => Poll::Ready(chunk.transpose().map_err(|_| Kind::Malformed)),
        Poll::Pending if has_long_framing(connection) => Poll::Ready(Err(Kind::Malformed)),
        Poll::Pending => Poll::Pending,
    };
    std::future::poll_fn(poll).await
}

/// Whether the connection holds more bytes than the framing of a chunk needs. The library keeps
/// such bytes without a bound.
fn has_long_framing(connection: Option<&IoRef>) -> bool {
    connection.is_some_and(|connection| {
        connection.with_read_buf(|buffer| buffer.len()) > MAX_FRAMING_BYTES
    })
}

/// Reads the whole body.
///
/// # Errors
///
/// The body is too large, too slow or incomplete, or there is no memory for it.
pub(crate) async fn read(
    core: &Core,
    request: &Arc<str>,
    payload: &mut Payload,
    declared: Option<usize>,
    connection: Option<&IoRef>,
) -> Result<Body, Kind> {
    let limit = core.settings.body_bytes;
    let declared = declared.unwrap_or_default();
    if declared > limit {
        return Err(Kind::TooLarge);
    }
    let in_use = connection.and_then(|connection| core.connections.start_request(connection));
    let reading = core.bodies.start(request, in_use);
    if declared > 0 {
        reading.expect(declared)?;
    }
    let timeout = Duration::from_millis(core.settings.body_ms);
    let collecting = collect(reading, payload, limit, connection);
    tokio::time::timeout(timeout, collecting).await.unwrap_or(Err(Kind::SlowBody))
}

async fn collect(
    reading: Reading<'_>,
    payload: &mut Payload,
    limit: usize,
    connection: Option<&IoRef>,
) -> Result<Body, Kind> {
    loop {
        let chunk = tokio::select! {
            biased;
            () = reading.ended() => return Err(Kind::SlowBody),
            chunk = next_chunk(payload, connection) => chunk?,
        };
        match chunk {
            Some(bytes) => reading.push(&bytes, limit)?,
            None => return reading.finish(),
        }
    }
}

/// Reads and discards the rest of a body, so that the response isn't lost to a connection reset.
/// Gives up on bodies that are too large or too slow.
pub(crate) async fn discard(payload: &mut Payload, connection: Option<&IoRef>) {
    let discarding = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Ok(Some(bytes)) = next_chunk(payload, connection).await {
            if bytes.len() > remaining {
                return;
            }
            remaining -= bytes.len();
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}
