//! Reading answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;

use crate::client::Kept;
use crate::connection::Connection;
use crate::error::{Error, InterruptedSnafu};

/// How much earlier than its upstream an idle connection is given up, so that no
/// request crosses its end.
const MARGIN: Duration = Duration::from_secs(2);

/// An answer whose head has come.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers whose values are text, with names in lower case.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    body: Incoming,
    /// The connection, until the answer has ended.
    connection: Option<Connection>,
    kept: Rc<Kept>,
    address: Arc<str>,
    idle: Option<Duration>,
}

impl Answer {
    pub(crate) fn new(
        kept: Rc<Kept>,
        address: Arc<str>,
        connection: Connection,
        response: http::Response<Incoming>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            status: head.status.as_u16(),
            headers: texts(&head.headers),
            body,
            connection: Some(connection),
            kept,
            address,
            idle: idle(&head.headers),
        }
    }

    /// The next part of the body; `None` after the regular end: that of the length
    /// told, the last chunk, or the orderly end of a connection that neither was
    /// told for.
    ///
    /// # Errors
    ///
    /// The connection broke before.
    pub async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    // Trailers are of no interest.
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Some(Err(fault)) => return Some(Err(fault).context(InterruptedSnafu)),
                None => {
                    if let Some(connection) = self.connection.take() {
                        self.kept.put(self.address.clone(), connection, self.idle);
                    }
                    return None;
                }
            }
        }
    }
}

fn texts(headers: &HeaderMap) -> Vec<(Arc<str>, Arc<str>)> {
    headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect()
}

/// How long the connection may rest, as `Keep-Alive: timeout=SECONDS` says.
fn idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let told = value.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    let told = Duration::from_secs(told.parse().ok()?);
    Some(told.saturating_sub(MARGIN).max(told / 2))
}
