//! Requests to the fleet.

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

/// The largest accepted answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// How long an answer may take: from its head for a chat, from the request for a call.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(2);

/// An HTTP client with the credentials of one workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    base: String,
    token: String,
    answer_timeout: Duration,
}

/// An open answer whose body is not read. Dropping it cancels the request.
#[derive(Debug)]
pub struct OpenAnswer(
    #[expect(dead_code, reason = "held to keep the request open")] ClientResponse,
);

/// A request for the next turn of a chat.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The model.
    pub model: String,
    /// The id of the chat, sent as `prompt_cache_key`.
    pub chat: String,
    /// The messages so far.
    pub messages: Vec<Value>,
    /// The largest number of tokens in the answer.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Caller {
    /// Creates a caller for the base URL, a workspace and its API key.
    ///
    /// # Errors
    ///
    /// The client can't be created.
    pub async fn new(base: &str, workspace: &str, key: &str) -> Result<Self, Error> {
        let client =
            process::client(KEEP_ALIVE, ntex::time::Millis::ZERO).await.map_err(client_error)?;
        Ok(Self {
            client,
            base: base.to_owned(),
            token: format!("{workspace}:{key}"),
            answer_timeout: ANSWER_TIMEOUT,
        })
    }

    /// Returns the caller with another limit on how long an answer may take.
    #[must_use]
    pub fn answer_timeout(self, answer_timeout: Duration) -> Self {
        Self { answer_timeout, ..self }
    }

    /// Returns the caller with another base URL.
    #[must_use]
    pub fn at(&self, base: &str) -> Self {
        Self { base: base.to_owned(), ..self.clone() }
    }

    /// Sends one turn of a chat and reads the complete answer.
    ///
    /// # Errors
    ///
    /// The answer is an error, incomplete or malformed, or takes too long.
    pub async fn chat(&self, chat: &Chat) -> Result<Answer, Error> {
        let started = Instant::now();
        let response = self.begin(chat).await?;
        self.in_time(async {
            if chat.stream {
                streamed(response, started).await
            } else {
                unstreamed(response, started).await
            }
        })
        .await
    }

    /// Limits the time that an answer takes.
    async fn in_time<T>(&self, answer: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
        tokio::time::timeout(self.answer_timeout, answer)
            .await
            .unwrap_or_else(|_| Err(client_error("answer timed out")))
    }

    /// Sends one turn of a chat without reading the answer. Dropping the result cancels the
    /// request.
    ///
    /// # Errors
    ///
    /// The request fails before an answer starts.
    pub async fn hold(&self, chat: &Chat) -> Result<OpenAnswer, Error> {
        self.begin(chat).await.map(OpenAnswer)
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
        check_status(request.send_json(&body).await.map_err(client_error)?).await
    }

    /// Calls a plain service, with an idempotency key if there is one.
    ///
    /// # Errors
    ///
    /// The answer is an error or incomplete, or takes too long.
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
        self.in_time(async {
            let response = request.send_body(body.to_owned()).await.map_err(client_error)?;
            let response = check_status(response).await?;
            let (request, upstream) = ids(&response);
            let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(client_error)?;
            Ok(Reply { request, upstream, body: String::from_utf8_lossy(&body).into_owned() })
        })
        .await
    }

    /// Requests a new idempotency key.
    ///
    /// # Errors
    ///
    /// The request fails.
    pub async fn key(&self, kind: &str) -> Result<String, Error> {
        let request = self.request("POST", &format!("/v1/keys/{kind}"));
        let response = check_status(request.send().await.map_err(client_error)?).await?;
        let body: Value = response.json().await.map_err(client_error)?;
        Ok(body["key"].as_str().unwrap_or("").to_owned())
    }

    /// Gets `path` and parses the body as JSON.
    ///
    /// # Errors
    ///
    /// The request fails, or the body is not JSON.
    pub async fn page(&self, path: &str) -> Result<Value, Error> {
        let response =
            check_status(self.request("GET", path).send().await.map_err(client_error)?).await?;
        response.json().limit(MAX_ANSWER_BYTES).await.map_err(client_error)
    }

    /// Gets `path` and returns the body as text.
    ///
    /// # Errors
    ///
    /// The request fails.
    pub async fn text(&self, path: &str) -> Result<String, Error> {
        let response =
            check_status(self.request("GET", path).send().await.map_err(client_error)?).await?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(client_error)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Gets `path` and returns the HTTP status.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn status(&self, path: &str) -> Result<u16, Error> {
        let request = self.request("GET", path).timeout(Millis(2_000));
        Ok(request.send().await.map_err(client_error)?.status().as_u16())
    }

    fn request(&self, method: &str, path: &str) -> ClientRequest {
        let method = ntex::http::Method::from_bytes(method.as_bytes()).unwrap_or_default();
        self.client.request(method, format!("{}{path}", self.base)).bearer_auth(&self.token)
    }
}

fn client_error(error: impl std::fmt::Display) -> Error {
    Error::Client { reason: error.to_string() }
}

async fn check_status(response: ClientResponse) -> Result<ClientResponse, Error> {
    let status = response.status().as_u16();
    if status == 200 {
        return Ok(response);
    }
    let body = response.body().await.map_err(client_error)?;
    Err(Error::parse(status, String::from_utf8_lossy(&body).into_owned()))
}

fn ids(response: &ClientResponse) -> (String, String) {
    let header = |name: &str| {
        let value = response.header(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    (header("x-request-id"), header("x-upstream"))
}

async fn unstreamed(response: ClientResponse, started: Instant) -> Result<Answer, Error> {
    let (request, upstream) = ids(&response);
    let body: Value = response.json().limit(MAX_ANSWER_BYTES).await.map_err(client_error)?;
    let text = body["choices"][0]["message"]["content"].as_str();
    let text = text.ok_or_else(|| Error::Malformed { reason: body.to_string() })?;
    let mut answer = new_answer(request, upstream);
    answer.text.push_str(text);
    read_usage(&mut answer, &body["usage"]);
    answer.first = started.elapsed();
    answer.whole = answer.first;
    Ok(answer)
}

async fn streamed(response: ClientResponse, started: Instant) -> Result<Answer, Error> {
    let (request, upstream) = ids(&response);
    let mut answer = new_answer(request, upstream);
    let mut done = false;
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let event = event.map_err(client_error)?;
        if event.data == "[DONE]" {
            done = true;
            continue;
        }
        let body: Value = serde_json::from_str(&event.data)
            .map_err(|error| Error::Malformed { reason: error.to_string() })?;
        if event.event == "error" {
            return Err(Error::parse(200, event.data));
        }
        if answer.text.is_empty() {
            answer.first = started.elapsed();
        }
        answer.text.push_str(body["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        read_usage(&mut answer, &body["usage"]);
    }
    ensure!(done, TruncatedSnafu { text: answer.text });
    answer.whole = started.elapsed();
    Ok(answer)
}

fn new_answer(request: String, upstream: String) -> Answer {
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

fn read_usage(answer: &mut Answer, usage: &Value) {
    if let Some(tokens) = usage["prompt_tokens"].as_u64() {
        answer.prompt_tokens = tokens;
        answer.cached_tokens =
            usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or(0);
    }
}
