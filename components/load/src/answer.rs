//! Answers.

use std::time::Duration;

/// A complete answer to a chat.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request id.
    pub request: String,
    /// The upstream that answered.
    pub upstream: String,
    /// The text.
    pub text: String,
    /// The time to the first token, or to the complete answer if not streamed.
    pub first: Duration,
    /// The time to the complete answer.
    pub whole: Duration,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The prompt tokens found in the engine's cache.
    pub cached_tokens: u64,
}

/// An answer of a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The request id.
    pub request: String,
    /// The upstream that answered.
    pub upstream: String,
    /// The body.
    pub body: String,
}
