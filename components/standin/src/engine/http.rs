//! The engine's HTTP interface.

use std::fmt::Write;
use std::time::Duration;

use futures_util::stream;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::{Fault, Sequence, Shared, steps};
use crate::text::{Prompt, token};

/// The length of an answer if the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 32;

/// The time between batches of cache events.
const CACHE_EVENT_INTERVAL: Duration = Duration::from_millis(200);

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The seed of the answers under `Fault::Crossed`.
const CROSSED_SEED: u64 = 7;

pub(super) fn routes(config: &mut web::ServiceConfig, shared: &Shared) {
    ntex::rt::spawn(steps::run(shared.clone())).detach();
    config
        .state(shared.clone())
        .state(web::types::JsonConfig::default().limit(MAX_BODY_BYTES))
        .route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/load_lora_adapter", web::post().to(load_adapter))
        .route("/v1/unload_lora_adapter", web::post().to(unload_adapter))
        .route("/v1/cache_events", web::get().to(cache_events))
        .route("/metrics", web::get().to(metrics))
        .route("/fault", web::post().to(set_fault))
        .route("/runs/{request}", web::get().to(runs))
        .route("/health", web::get().to(async || HttpResponse::Ok().finish()));
}

#[derive(Debug, Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    #[serde(default)]
    priority: i64,
}

/// An answer that is being generated.
struct Generation {
    tokens: UnboundedReceiver<u64>,
    seed: u64,
    token_limit: u64,
    prompt_tokens: usize,
    cached_tokens: usize,
    fault: Fault,
}

async fn complete(
    request: HttpRequest,
    chat: web::types::Json<Chat>,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    let chat = chat.into_inner();
    let generation = start(&request, &chat, &shared);
    if chat.stream {
        stream_answer(generation, chat.model)
    } else {
        complete_answer(generation, &chat.model).await
    }
}

fn start(request: &HttpRequest, chat: &Chat, shared: &Shared) -> Generation {
    let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
    let last_event = header("last-event-id").and_then(|id| id.parse::<u64>().ok());
    let prompt = Prompt::new(&chat.model, &chat.messages);
    let (sender, tokens) = unbounded_channel();
    let token_limit = chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let mut inner = shared.lock();
    if let Some(id) = header("x-request-id") {
        *inner.runs.entry(id.to_owned()).or_default() += 1;
    }
    let fault = inner.fault;
    let seed = if fault == Fault::Crossed { CROSSED_SEED } else { prompt.seed };
    let sequence = Sequence {
        prompt_blocks: prompt.blocks,
        prefill: 0,
        next_token: last_event.map_or(0, |last| last + 1),
        token_limit,
        tokens: sender,
    };
    let cached_tokens = inner.admit(sequence, chat.priority, prompt.tokens);
    Generation { tokens, seed, token_limit, prompt_tokens: prompt.tokens, cached_tokens, fault }
}

impl Generation {
    /// Returns the index of the next token, or `None` at the end of the answer or
    /// after a fault.
    async fn next_token(&mut self) -> Option<u64> {
        let index = self.tokens.recv().await?;
        match self.fault {
            Fault::BreakAfter(count) | Fault::ShortAfter(count) if index >= count => None,
            _ => Some(index),
        }
    }

    fn usage(&self, generated: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": generated,
            "total_tokens": self.prompt_tokens as u64 + generated,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}

async fn complete_answer(mut generation: Generation, model: &str) -> HttpResponse {
    let mut text = String::new();
    let mut generated = 0;
    while let Some(index) = generation.next_token().await {
        text.push_str(&token(generation.seed, index));
        generated += 1;
    }
    if matches!(generation.fault, Fault::BreakAfter(_)) {
        let aborted = Err::<Bytes, _>(std::io::Error::other("answer aborted"));
        return HttpResponse::Ok()
            .content_type("application/json")
            .streaming(stream::iter([Ok(Bytes::from_static(b"{")), aborted]));
    }
    HttpResponse::Ok().json(&json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": generation.usage(generated),
    }))
}

/// The next event of a streamed answer.
enum Next {
    Token,
    Usage,
    Done,
    End,
}

fn stream_answer(generation: Generation, model: String) -> HttpResponse {
    let state = (generation, model, 0_u64, Next::Token);
    let events = stream::unfold(state, |(mut generation, model, count, next)| async move {
        let (event, count, next) = match next {
            Next::Token => match generation.next_token().await {
                Some(index) => {
                    let word = token(generation.seed, index);
                    let is_last = index + 1 == generation.token_limit;
                    let next = if is_last { Next::Usage } else { Next::Token };
                    (chunk(index, &model, &word), count + 1, next)
                }
                None if matches!(generation.fault, Fault::BreakAfter(_)) => {
                    let aborted = Err(std::io::Error::other("answer aborted"));
                    return Some((aborted, (generation, model, count, Next::End)));
                }
                None => return None,
            },
            Next::Usage => (usage_chunk(&model, &generation.usage(count)), count, Next::Done),
            Next::Done => ("data: [DONE]\n\n".to_owned(), count, Next::End),
            Next::End => return None,
        };
        Some((Ok(Bytes::from(event)), (generation, model, count, next)))
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(events))
}

fn chunk(index: u64, model: &str, word: &str) -> String {
    let body = json!({
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": { "content": word } }],
    });
    format!("id: {index}\ndata: {body}\n\n")
}

fn usage_chunk(model: &str, usage: &Value) -> String {
    let body = json!({
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [],
        "usage": usage,
    });
    format!("data: {body}\n\n")
}

async fn load_adapter(
    body: web::types::Json<Value>,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    let name = body["lora_name"].as_str().unwrap_or("").to_owned();
    shared.lock().adapters.push(name);
    HttpResponse::Ok().finish()
}

async fn unload_adapter(
    body: web::types::Json<Value>,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    let name = body["lora_name"].as_str().unwrap_or("").to_owned();
    shared.lock().adapters.retain(|adapter| *adapter != name);
    HttpResponse::Ok().finish()
}

/// Streams the cache events as server-sent events; gaps in the sequence numbers
/// show dropped events.
async fn cache_events(shared: web::types::State<Shared>) -> HttpResponse {
    let state = (shared.get_ref().clone(), 0_u64);
    let events = stream::unfold(state, |(shared, last)| async move {
        tokio::time::sleep(CACHE_EVENT_INTERVAL).await;
        let mut text = String::new();
        let mut newest = last;
        for (sequence, change) in
            shared.lock().events.iter().filter(|(sequence, _)| *sequence > last)
        {
            let body = json!({ "seq": sequence, "event": change });
            let _ = write!(text, "id: {sequence}\ndata: {body}\n\n");
            newest = *sequence;
        }
        if text.is_empty() {
            text.push_str(": none\n\n");
        }
        Some((Ok::<_, std::io::Error>(Bytes::from(text)), (shared, newest)))
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(events))
}

async fn metrics(shared: web::types::State<Shared>) -> HttpResponse {
    let inner = shared.lock();
    let counts = inner.published.0;
    let text = format!(
        "# TYPE num_requests_running gauge\nnum_requests_running {}\n\
         # TYPE num_requests_waiting gauge\nnum_requests_waiting {}\n\
         # TYPE prompt_tokens_total counter\nprompt_tokens_total {}\n\
         # TYPE prompt_tokens_cached_total counter\nprompt_tokens_cached_total {}\n\
         # TYPE generation_tokens_total counter\ngeneration_tokens_total {}\n\
         # TYPE requests_started_total counter\nrequests_started_total {}\n\
         # TYPE requests_cancelled_total counter\nrequests_cancelled_total {}\n",
        counts.running,
        counts.waiting,
        counts.prompt_tokens,
        counts.cached_tokens,
        counts.generated,
        counts.started,
        counts.cancelled,
    );
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text)
}

async fn set_fault(
    fault: web::types::Json<Fault>,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    shared.lock().fault = fault.into_inner();
    HttpResponse::Ok().finish()
}

async fn runs(
    request: web::types::Path<String>,
    shared: web::types::State<Shared>,
) -> HttpResponse {
    let runs = shared.lock().runs.get(&*request).copied().unwrap_or(0);
    HttpResponse::Ok().json(&json!({ "runs": runs }))
}
