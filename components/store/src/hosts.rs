//! The list of live and leaving hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use ntex::client::Client;
use ntex::time::{Millis, Seconds};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::Error;
use crate::error::MalformedSnafu;

/// How long an idle connection to the platform is kept.
pub(crate) const KEEP_ALIVE: Seconds = Seconds(4);

/// How long the list may take to come.
const TIMEOUT: Millis = Millis(2_000);

/// The longest list, in bytes.
const MAX_LIST: usize = 8 * 1024 * 1024;

/// One host of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The upstream's name.
    pub name: Arc<str>,
    /// Where its sidecar listens.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// What the platform says of it.
    #[serde(default)]
    pub labels: BTreeMap<Arc<str>, Arc<str>>,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// A reader of the list.
#[derive(Debug)]
pub struct Hosts {
    client: Client,
    url: Arc<str>,
    /// The tag of the list that was read last.
    tag: Option<String>,
}

/// What one look at the list brought.
#[derive(Clone, Debug)]
pub struct Update {
    /// The list, if it has changed.
    pub entries: Option<Vec<Entry>>,
    /// The bytes of the list that came.
    pub bytes: usize,
}

impl Hosts {
    /// A reader of the list at `base`.
    ///
    /// # Errors
    ///
    /// The runtime can't make a client.
    pub async fn new(base: &str) -> Result<Self, Error> {
        let client =
            process::client(KEEP_ALIVE, process::CONNECT_TIMEOUT).await.map_err(unreachable)?;
        Ok(Self { client, url: format!("{base}/v1/hosts").into(), tag: None })
    }

    /// The list as it is now, if it has changed since it was read last; it lags
    /// behind the truth.
    ///
    /// # Errors
    ///
    /// The service did not answer, or not with a list.
    pub async fn fetch(&mut self) -> Result<Update, Error> {
        let mut request = self.client.get(&*self.url).timeout(TIMEOUT);
        if let Some(tag) = &self.tag {
            request = request.header("if-none-match", tag);
        }
        let response = request.send().await.map_err(unreachable)?;
        match response.status().as_u16() {
            200 => {}
            304 => return Ok(Update { entries: None, bytes: 0 }),
            status => return Err(Error::Status { status }),
        }
        let tag = response.header("etag").and_then(|it| it.to_str().ok()).map(str::to_owned);
        let body = response.body().limit(MAX_LIST).await.map_err(unreachable)?;
        let entries = serde_json::from_slice(&body).context(MalformedSnafu)?;
        self.tag = tag;
        Ok(Update { entries: Some(entries), bytes: body.len() })
    }
}

pub(crate) fn unreachable(fault: impl std::fmt::Display) -> Error {
    Error::Unreachable { reason: fault.to_string() }
}
