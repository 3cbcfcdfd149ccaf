//! The list of live and leaving hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use ntex::client::Client;
use ntex::time::{Millis, Seconds};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::Error;
use crate::error::ShapeSnafu;

/// How long an idle connection to the platform is kept.
pub(crate) const KEEP_ALIVE: Seconds = Seconds(4);

/// How long the list may take to come.
const PATIENCE: Millis = Millis(2_000);

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
}

impl Hosts {
    /// A reader of the list at `base`.
    ///
    /// # Errors
    ///
    /// The runtime can't make a client.
    pub async fn new(base: &str) -> Result<Self, Error> {
        let client = process::client(KEEP_ALIVE).await.map_err(silent)?;
        Ok(Self { client, url: format!("{base}/v1/hosts").into() })
    }

    /// The list as it is now; it lags behind the truth.
    ///
    /// # Errors
    ///
    /// The service did not answer, or not with a list.
    pub async fn read(&self) -> Result<Vec<Entry>, Error> {
        let request = self.client.get(&*self.url).timeout(PATIENCE).send();
        let response = request.await.map_err(silent)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(Error::Status { status });
        }
        let body = response.body().limit(MAX_LIST).await.map_err(silent)?;
        serde_json::from_slice(&body).context(ShapeSnafu)
    }
}

pub(crate) fn silent(fault: impl std::fmt::Display) -> Error {
    Error::Silent { reason: fault.to_string() }
}
