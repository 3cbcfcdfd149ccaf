//! A client of the key-value service: etcd v3, JSON over HTTP.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ntex::client::Client;
use ntex::time::Millis;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use crate::Error;
use crate::error::{MalformedSnafu, MissingValueSnafu};
use crate::hosts::{KEEP_ALIVE, to_client_error, to_incomplete, to_unreachable};

const REQUEST_TIMEOUT: Millis = Millis(1_000);

/// A client of the key-value service.
#[derive(Debug)]
pub struct Store {
    client: Client,
    base: Arc<str>,
}

impl Store {
    /// Creates a client for the service at `base`.
    ///
    /// # Errors
    ///
    /// The runtime can't create an HTTP client.
    pub async fn new(base: &str) -> Result<Self, Error> {
        let client =
            process::client(KEEP_ALIVE, process::CONNECT_TIMEOUT).await.map_err(to_client_error)?;
        Ok(Self { client, base: base.into() })
    }

    /// Returns the value of `key`, after writing `value` if there was none.
    ///
    /// One transaction both writes and reads, and the value is never changed
    /// again, so a call whose answer was lost can be repeated.
    ///
    /// # Errors
    ///
    /// The service did not answer; the write may have taken effect.
    pub async fn put_if_absent(&self, key: &str, value: &str) -> Result<String, Error> {
        let key = STANDARD.encode(key);
        let body = json!({
            "compare": [{
                "key": key, "target": "CREATE", "result": "EQUAL", "create_revision": "0",
            }],
            "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
            "failure": [{ "request_range": { "key": key } }],
        });
        let answer = self.call("/v3/kv/txn", &body).await?;
        if answer["succeeded"].as_bool() == Some(true) {
            return Ok(value.to_owned());
        }
        let stored = answer["responses"][0]["response_range"]["kvs"][0]["value"].as_str();
        let bytes =
            stored.and_then(|text| STANDARD.decode(text).ok()).context(MissingValueSnafu)?;
        String::from_utf8(bytes).ok().context(MissingValueSnafu)
    }

    async fn call(&self, path: &str, body: &Value) -> Result<Value, Error> {
        let url = format!("{}{path}", self.base);
        let request = self.client.post(url).timeout(REQUEST_TIMEOUT).send_json(body);
        let response = request.await.map_err(to_unreachable)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(Error::Status { status });
        }
        let body = response.body().await.map_err(to_incomplete)?;
        serde_json::from_slice(&body).context(MalformedSnafu)
    }
}
