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

/// The tokens of an answer when the request sets no limit.
const DEFAULT_TOKENS: u64 = 32;

/// How often a reader of cache events is served: events come this late.
const EVENT_LAG: Duration = Duration::from_millis(200);

/// The largest request body, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// The prompt that a crossed answer is made for.
const OTHER_SEED: u64 = 7;

pub(super) fn routes(config: &mut web::ServiceConfig, shared: &Shared) {
    ntex::rt::spawn(steps::run(shared.clone())).detach();
    config
        .state(shared.clone())
        .state(web::types::JsonConfig::default().limit(MAX_BODY))
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

/// An answer being generated.
struct Generation {
    tokens: UnboundedReceiver<u64>,
    seed: u64,
    end: u64,
    prompt: usize,
    cached: usize,
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
        streamed(generation, chat.model)
    } else {
        whole(generation, &chat.model).await
    }
}

fn start(request: &HttpRequest, chat: &Chat, shared: &Shared) -> Generation {
    let header = |name| request.headers().get(name).and_then(|it| it.to_str().ok());
    let resumed = header("last-event-id").and_then(|it| it.parse::<u64>().ok());
    let prompt = Prompt::new(&chat.model, &chat.messages);
    let (sender, tokens) = unbounded_channel();
    let end = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let mut inner = shared.lock();
    if let Some(id) = header("x-request-id") {
        *inner.runs.entry(id.to_owned()).or_default() += 1;
    }
    let fault = inner.fault;
    let seed = if fault == Fault::Crossed { OTHER_SEED } else { prompt.seed };
    let sequence = Sequence {
        prompt_blocks: prompt.blocks,
        prefill: 0,
        next: resumed.map_or(0, |last| last + 1),
        end,
        tokens: sender,
    };
    let cached = inner.admit(sequence, chat.priority, prompt.tokens);
    Generation { tokens, seed, end, prompt: prompt.tokens, cached, fault }
}

impl Generation {
    /// The next token, or `None` at the end, whether due or through a fault.
    async fn next(&mut self) -> Option<u64> {
        let place = self.tokens.recv().await?;
        match self.fault {
            Fault::BreakAfter(most) | Fault::ShortAfter(most) if place >= most => None,
            _ => Some(place),
        }
    }

    fn usage(&self, generated: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": generated,
            "total_tokens": self.prompt as u64 + generated,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

async fn whole(mut generation: Generation, model: &str) -> HttpResponse {
    let mut text = String::new();
    let mut generated = 0;
    while let Some(place) = generation.next().await {
        text.push_str(&token(generation.seed, place));
        generated += 1;
    }
    if matches!(generation.fault, Fault::BreakAfter(_)) {
        let broken = Err::<Bytes, _>(std::io::Error::other("broken off"));
        return HttpResponse::Ok()
            .content_type("application/json")
            .streaming(stream::iter([Ok(Bytes::from_static(b"{")), broken]));
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

/// What a streamed answer sends next.
enum Next {
    Token,
    Usage,
    Done,
    Over,
}

fn streamed(generation: Generation, model: String) -> HttpResponse {
    let state = (generation, model, 0_u64, Next::Token);
    let events = stream::unfold(state, |(mut generation, model, count, next)| async move {
        let (event, count, next) = match next {
            Next::Token => match generation.next().await {
                Some(place) => {
                    let word = token(generation.seed, place);
                    let last = place + 1 == generation.end;
                    let next = if last { Next::Usage } else { Next::Token };
                    (chunk(place, &model, &word), count + 1, next)
                }
                None if matches!(generation.fault, Fault::BreakAfter(_)) => {
                    let broken = Err(std::io::Error::other("broken off"));
                    return Some((broken, (generation, model, count, Next::Over)));
                }
                None => return None,
            },
            Next::Usage => (usage(&model, &generation.usage(count)), count, Next::Done),
            Next::Done => ("data: [DONE]\n\n".to_owned(), count, Next::Over),
            Next::Over => return None,
        };
        Some((Ok(Bytes::from(event)), (generation, model, count, next)))
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(events))
}

fn chunk(place: u64, model: &str, word: &str) -> String {
    let body = json!({
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": { "content": word } }],
    });
    format!("id: {place}\ndata: {body}\n\n")
}

fn usage(model: &str, usage: &Value) -> String {
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
    shared.lock().adapters.retain(|it| *it != name);
    HttpResponse::Ok().finish()
}

/// Cache events as server-sent events; the sequence numbers show gaps.
async fn cache_events(shared: web::types::State<Shared>) -> HttpResponse {
    let state = (shared.get_ref().clone(), 0_u64);
    let events = stream::unfold(state, |(shared, last)| async move {
        tokio::time::sleep(EVENT_LAG).await;
        let mut text = String::new();
        let mut newest = last;
        for (sequence, change) in shared.lock().events.iter().filter(|(it, _)| *it > last) {
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
    let counts = inner.shown.0;
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
