//! Answers and their bodies.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;

use crate::client::IdlePool;
use crate::connection::Connection;
use crate::error::{Error, InterruptedSnafu};

/// How much earlier than its upstream the client closes an idle connection, so that no
/// request is sent while the upstream closes it.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// An answer whose head was received.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers whose values are text, with names in lowercase.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    body: Incoming,
    /// The connection; returned to the pool when the body has ended.
    connection: Option<Connection>,
    idle_pool: Rc<IdlePool>,
    address: Arc<str>,
    idle_timeout: Option<Duration>,
}

impl Answer {
    pub(crate) fn new(
        idle_pool: Rc<IdlePool>,
        address: Arc<str>,
        connection: Connection,
        response: http::Response<Incoming>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            status: head.status.as_u16(),
            headers: text_headers(&head.headers),
            body,
            connection: Some(connection),
            idle_pool,
            address,
            idle_timeout: idle_timeout(&head.headers),
        }
    }

    /// Returns the next bytes of the body, or `None` after its regular end: by content
    /// length, last chunk or, without either, an orderly close of the connection.
    ///
    /// # Errors
    ///
    /// The connection ended before the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    // Trailers are ignored.
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Some(Err(error)) => return Some(Err(error).context(InterruptedSnafu)),
                None => {
                    if let Some(connection) = self.connection.take() {
                        self.idle_pool.put(self.address.clone(), connection, self.idle_timeout);
                    }
                    return None;
                }
            }
        }
    }
}

fn text_headers(headers: &HeaderMap) -> Vec<(Arc<str>, Arc<str>)> {
    headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect()
}

/// The idle timeout from `Keep-Alive: timeout=SECONDS`, less the margin.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds =
        value.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(seconds.parse().ok()?);
    Some(timeout.saturating_sub(IDLE_MARGIN).max(timeout / 2))
}
