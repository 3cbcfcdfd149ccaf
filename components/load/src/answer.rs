//! What came back.

use std::time::Duration;

/// A whole answer to a chat.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The request's id.
    pub request: String,
    /// The upstream that answered.
    pub upstream: String,
    /// The text.
    pub text: String,
    /// The time to the first token, or to the whole answer if not streamed.
    pub first: Duration,
    /// The time to the end.
    pub whole: Duration,
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// Those of them that were found in the engine's cache.
    pub cached_tokens: u64,
}

/// An answer to a call of a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The request's id.
    pub request: String,
    /// The upstream that answered.
    pub upstream: String,
    /// The body.
    pub body: String,
}
