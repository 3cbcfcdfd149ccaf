//! Parses the parts of a chat request that affect routing.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::value::RawValue;

const BYTES_PER_TOKEN: u64 = 4;

/// The assumed length of an answer if the request sets no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// The parts of an OpenAI chat request that affect routing. The body is forwarded unchanged.
#[derive(Debug, Deserialize)]
struct Chat<'a> {
    model: Arc<str>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    prompt_cache_key: Option<Arc<str>>,
}

/// A chat request as seen by routing.
#[derive(Debug)]
pub(crate) struct Prompt {
    pub model: Arc<str>,
    /// Identifies the chat: the caller's `prompt_cache_key`, or else its first two messages.
    pub chat: Arc<str>,
    /// The prompt and the longest answer, in tokens.
    pub weight: u64,
}

impl Prompt {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// A description of what is invalid.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
        let chat: Chat<'_> = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        if chat.messages.is_empty() {
            return Err("messages: at least one is needed".to_owned());
        }
        let answer =
            chat.max_completion_tokens.or(chat.max_tokens).unwrap_or(DEFAULT_ANSWER_TOKENS);
        let text_bytes: u64 = chat.messages.iter().map(|message| message.get().len() as u64).sum();
        let first_messages =
            || chat.messages.iter().take(2).map(|message| message.get()).collect::<String>().into();
        Ok(Self {
            chat: chat.prompt_cache_key.unwrap_or_else(first_messages),
            model: chat.model,
            weight: text_bytes / BYTES_PER_TOKEN + answer + 1,
        })
    }
}
