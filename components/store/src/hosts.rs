//! The list of live and leaving hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use ntex::client::Client;
use ntex::time::{Millis, Seconds};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::ResultExt;

use crate::Error;
use crate::error::MalformedSnafu;

/// How long an idle connection to the platform is kept.
pub(crate) const KEEP_ALIVE: Seconds = Seconds(4);

const REQUEST_TIMEOUT: Millis = Millis(2_000);

const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// The host of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The upstream's name.
    pub name: Arc<str>,
    /// The address of the upstream's sidecar.
    pub address: Arc<str>,
    /// The failure domain of the host.
    pub domain: Arc<str>,
    /// The labels that the platform gave the upstream.
    #[serde(default)]
    pub labels: BTreeMap<Arc<str>, Arc<str>>,
    /// Whether the upstream is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// A client that reads the list.
#[derive(Debug)]
pub struct Hosts {
    client: Client,
    url: Arc<str>,
    /// The entity tag of the list that was read last.
    etag: Option<String>,
}

/// The answer to one request for the list.
#[derive(Clone, Debug)]
pub struct Update {
    /// The list; `None` if it has not changed.
    pub entries: Option<Vec<Entry>>,
    /// Why entries of the list are left out: they can't be read.
    pub unreadable: Vec<String>,
    /// The length of the list in bytes; 0 if it has not changed.
    pub bytes: usize,
}

impl Hosts {
    /// Creates a client for the service at `base`.
    ///
    /// # Errors
    ///
    /// The runtime can't create an HTTP client.
    pub async fn new(base: &str) -> Result<Self, Error> {
        let client =
            process::client(KEEP_ALIVE, process::CONNECT_TIMEOUT).await.map_err(to_client_error)?;
        Ok(Self { client, url: format!("{base}/v1/hosts").into(), etag: None })
    }

    /// Reads the list if it has changed since the last call. It may be outdated: listed hosts may
    /// be gone. An entry that can't be read names no host; the others hold.
    ///
    /// # Errors
    ///
    /// The request failed, or was answered with another status or content than a list.
    pub async fn fetch(&mut self) -> Result<Update, Error> {
        let mut request = self.client.get(&*self.url).timeout(REQUEST_TIMEOUT);
        if let Some(etag) = &self.etag {
            request = request.header("if-none-match", etag);
        }
        let response = request.send().await.map_err(to_unreachable)?;
        match response.status().as_u16() {
            200 => {}
            304 => return Ok(Update { entries: None, unreadable: Vec::new(), bytes: 0 }),
            status => return Err(Error::Status { status }),
        }
        let etag = response.header("etag").and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = response.body().limit(MAX_LIST_BYTES).await.map_err(to_incomplete)?;
        // The entries have several writers, so each is read by itself.
        let texts: Vec<&RawValue> = serde_json::from_slice(&body).context(MalformedSnafu)?;
        let (mut entries, mut unreadable) = (Vec::new(), Vec::new());
        for text in texts {
            match serde_json::from_str(text.get()) {
                Ok(entry) => entries.push(entry),
                Err(error) => unreadable.push(error.to_string()),
            }
        }
        self.etag = etag;
        Ok(Update { entries: Some(entries), unreadable, bytes: body.len() })
    }
}

pub(crate) fn to_client_error(error: impl std::fmt::Display) -> Error {
    Error::Client { reason: error.to_string() }
}

pub(crate) fn to_incomplete(error: impl std::fmt::Display) -> Error {
    Error::Incomplete { reason: error.to_string() }
}

pub(crate) fn to_unreachable(error: impl std::fmt::Display) -> Error {
    Error::Unreachable { reason: error.to_string() }
}
