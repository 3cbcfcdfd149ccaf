//! What a router reads of a chat request.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::value::RawValue;

/// The bytes of text that are counted as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// The tokens of an answer when the request sets no limit.
const DEFAULT_TOKENS: u64 = 256;

/// The parts of an OpenAI chat request that routing needs; the body goes on as
/// it came.
#[derive(Debug, Deserialize)]
struct Chat<'a> {
    model: Arc<str>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    prompt_cache_key: Option<Arc<str>>,
}

/// A chat request as routing sees it.
#[derive(Debug)]
pub(crate) struct Prompt {
    pub model: Arc<str>,
    /// What keeps the chat together: the caller's `prompt_cache_key`, else its
    /// first two messages.
    pub chat: Arc<str>,
    /// The prompt and the longest answer, in tokens.
    pub weight: u64,
}

impl Prompt {
    /// Reads a request body.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, String> {
        let chat: Chat<'_> = serde_json::from_slice(body).map_err(|it| it.to_string())?;
        if chat.messages.is_empty() {
            return Err("messages: at least one is needed".to_owned());
        }
        let answer = chat.max_completion_tokens.or(chat.max_tokens).unwrap_or(DEFAULT_TOKENS);
        let text: u64 = chat.messages.iter().map(|it| it.get().len() as u64).sum();
        let start = || chat.messages.iter().take(2).map(|it| it.get()).collect::<String>().into();
        Ok(Self {
            chat: chat.prompt_cache_key.unwrap_or_else(start),
            model: chat.model,
            weight: text / BYTES_PER_TOKEN + answer + 1,
        })
    }
}
