//! Asking the fleet.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::time::{Millis, Seconds};
use serde_json::{Value, json};
use snafu::ensure;

use crate::error::TruncatedSnafu;
use crate::{Answer, Error, Reply};

/// How long an idle connection is kept.
const KEEP_ALIVE: Seconds = Seconds(3);

/// The largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// How long a whole answer may take.
const TIMEOUT: Duration = Duration::from_mins(2);

/// One workspace's caller.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    base: String,
    token: String,
}

/// An answer that nobody reads.
#[derive(Debug)]
pub struct Held(#[expect(dead_code, reason = "only its end matters")] ClientResponse);

/// One turn of a chat.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The model.
    pub model: String,
    /// What keeps the chat together.
    pub chat: String,
    /// The messages so far.
    pub messages: Vec<Value>,
    /// The longest answer, in tokens.
    pub max_tokens: u64,
    /// Whether the answer comes as a stream.
    pub stream: bool,
}

impl Caller {
    /// A caller at `base` for a workspace and its key.
    ///
    /// # Errors
    ///
    /// The runtime can't make a client.
    pub async fn new(base: &str, workspace: &str, key: &str) -> Result<Self, Error> {
        let client = process::client(KEEP_ALIVE, ntex::time::Millis::ZERO).await.map_err(broken)?;
        Ok(Self { client, base: base.to_owned(), token: format!("{workspace}:{key}") })
    }

    /// The same caller at another address.
    #[must_use]
    pub fn at(&self, base: &str) -> Self {
        Self { base: base.to_owned(), ..self.clone() }
    }

    /// Sends one turn of a chat and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Anything but a whole answer.
    pub async fn chat(&self, chat: &Chat) -> Result<Answer, Error> {
        let asked = Instant::now();
        let response = self.begin(chat).await?;
        let read = async {
            if chat.stream { streamed(response, asked).await } else { whole(response, asked).await }
        };
        tokio::time::timeout(TIMEOUT, read).await.unwrap_or_else(|_| Err(broken("too slow")))
    }

    /// Sends one turn of a chat and reads nothing of the answer; dropping what
    /// comes back ends the request.
    ///
    /// # Errors
    ///
    /// The answer does not begin.
    pub async fn hold(&self, chat: &Chat) -> Result<Held, Error> {
        self.begin(chat).await.map(Held)
    }

    async fn begin(&self, chat: &Chat) -> Result<ClientResponse, Error> {
        let body = json!({
            "model": chat.model,
            "messages": chat.messages,
            "max_tokens": chat.max_tokens,
            "stream": chat.stream,
            "prompt_cache_key": chat.chat,
        });
        let request = self.request("POST", "/v1/chat/completions");
        accepted(request.send_json(&body).await.map_err(broken)?).await
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Anything but a whole answer.
    pub async fn call(
        &self,
        kind: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Reply, Error> {
        let mut request = self.request("POST", &format!("/v1/services/{kind}{path}"));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send_body(body.to_owned()).await.map_err(broken)?;
        let response = accepted(response).await?;
        let (request, upstream) = names(&response);
        let body = response.body().limit(MAX_ANSWER).await.map_err(broken)?;
        Ok(Reply { request, upstream, body: String::from_utf8_lossy(&body).into_owned() })
    }

    /// A fresh idempotency key of the fleet.
    ///
    /// # Errors
    ///
    /// The fleet gave none.
    pub async fn key(&self, kind: &str) -> Result<String, Error> {
        let request = self.request("POST", &format!("/v1/keys/{kind}"));
        let response = accepted(request.send().await.map_err(broken)?).await?;
        let body: Value = response.json().await.map_err(broken)?;
        Ok(body["key"].as_str().unwrap_or("").to_owned())
    }

    /// Reads a page as JSON.
    ///
    /// # Errors
    ///
    /// There is no such page, or it is not JSON.
    pub async fn page(&self, path: &str) -> Result<Value, Error> {
        let response = accepted(self.request("GET", path).send().await.map_err(broken)?).await?;
        response.json().limit(MAX_ANSWER).await.map_err(broken)
    }

    /// Reads a page as text.
    ///
    /// # Errors
    ///
    /// There is no such page.
    pub async fn text(&self, path: &str) -> Result<String, Error> {
        let response = accepted(self.request("GET", path).send().await.map_err(broken)?).await?;
        let body = response.body().limit(MAX_ANSWER).await.map_err(broken)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// The status of a page.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn status(&self, path: &str) -> Result<u16, Error> {
        let request = self.request("GET", path).timeout(Millis(2_000));
        Ok(request.send().await.map_err(broken)?.status().as_u16())
    }

    fn request(&self, method: &str, path: &str) -> ClientRequest {
        let method = ntex::http::Method::from_bytes(method.as_bytes()).unwrap_or_default();
        self.client.request(method, format!("{}{path}", self.base)).bearer_auth(&self.token)
    }
}

fn broken(fault: impl std::fmt::Display) -> Error {
    Error::Connection { reason: fault.to_string() }
}

async fn accepted(response: ClientResponse) -> Result<ClientResponse, Error> {
    let status = response.status().as_u16();
    if status == 200 {
        return Ok(response);
    }
    let body = response.body().await.map_err(broken)?;
    Err(Error::read(status, String::from_utf8_lossy(&body).into_owned()))
}

fn names(response: &ClientResponse) -> (String, String) {
    let header = |name: &str| {
        let value = response.header(name).and_then(|it| it.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    (header("x-request-id"), header("x-upstream"))
}

async fn whole(response: ClientResponse, asked: Instant) -> Result<Answer, Error> {
    let (request, upstream) = names(&response);
    let body: Value = response.json().limit(MAX_ANSWER).await.map_err(broken)?;
    let text = body["choices"][0]["message"]["content"].as_str();
    let text = text.ok_or_else(|| Error::Malformed { reason: body.to_string() })?;
    let mut answer = empty(request, upstream);
    answer.text.push_str(text);
    count(&mut answer, &body["usage"]);
    answer.first = asked.elapsed();
    answer.whole = answer.first;
    Ok(answer)
}

async fn streamed(response: ClientResponse, asked: Instant) -> Result<Answer, Error> {
    let (request, upstream) = names(&response);
    let mut answer = empty(request, upstream);
    let mut done = false;
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let event = event.map_err(broken)?;
        if event.data == "[DONE]" {
            done = true;
            continue;
        }
        let body: Value = serde_json::from_str(&event.data)
            .map_err(|fault| Error::Malformed { reason: fault.to_string() })?;
        if event.event == "error" {
            return Err(Error::read(200, event.data));
        }
        if answer.text.is_empty() {
            answer.first = asked.elapsed();
        }
        answer.text.push_str(body["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        count(&mut answer, &body["usage"]);
    }
    ensure!(done, TruncatedSnafu { text: answer.text });
    answer.whole = asked.elapsed();
    Ok(answer)
}

fn empty(request: String, upstream: String) -> Answer {
    Answer {
        request,
        upstream,
        text: String::new(),
        first: Duration::ZERO,
        whole: Duration::ZERO,
        prompt_tokens: 0,
        cached_tokens: 0,
    }
}

fn count(answer: &mut Answer, usage: &Value) {
    if let Some(tokens) = usage["prompt_tokens"].as_u64() {
        answer.prompt_tokens = tokens;
        answer.cached_tokens =
            usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or(0);
    }
}
