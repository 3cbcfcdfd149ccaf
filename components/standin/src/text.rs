//! The text of prompts and answers.
//!
//! A token is a word. The answer to a prompt is a function of the model and the
//! prompt, so that a caller can check every byte of it.

use serde_json::Value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The vocabulary of the answers.
const WORDS: [&str; 16] = [
    "feijão", "couve", "arroz", "milho", "polenta", "radicci", "pinhão", "erva", "mel", "uva",
    "figo", "queijo", "salame", "chimia", "cuca", "mate",
];

/// The size of a block of the prefix cache.
pub(crate) const BLOCK_TOKENS: usize = 16;

/// A tokenized prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The hash of the model and the text, which determines the answer.
    pub seed: u64,
    /// The number of tokens.
    pub tokens: usize,
    /// The chained hash of each full block of tokens.
    pub blocks: Vec<u64>,
}

impl Prompt {
    /// Builds the prompt from the `messages` of an OpenAI chat request.
    pub fn new(model: &str, messages: &[Value]) -> Self {
        let mut text = String::new();
        for message in messages {
            text.push_str(message["role"].as_str().unwrap_or(""));
            text.push(' ');
            text.push_str(message["content"].as_str().unwrap_or(""));
            text.push(' ');
        }
        Self::from_text(model, &text)
    }

    fn from_text(model: &str, text: &str) -> Self {
        let words: Vec<_> = text.split_whitespace().collect();
        let mut chain = xxh3_64(model.as_bytes());
        let mut blocks = Vec::with_capacity(words.len() / BLOCK_TOKENS);
        for block in words.chunks_exact(BLOCK_TOKENS) {
            for word in block {
                chain = xxh3_64_with_seed(word.as_bytes(), chain);
            }
            blocks.push(chain);
        }
        let seed = xxh3_64_with_seed(text.as_bytes(), xxh3_64(model.as_bytes()));
        Self { seed, tokens: words.len(), blocks }
    }
}

/// Returns token `index` of the answer to the prompt with `seed`, followed by a
/// space.
pub(crate) fn token(seed: u64, index: u64) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let word = WORDS[usize::try_from(hash % WORDS.len() as u64).unwrap_or(0)];
    format!("{word}{} ", hash >> 48)
}

/// Returns the answer of `tokens` tokens to the prompt with `seed`.
pub fn answer(seed: u64, tokens: u64) -> String {
    (0..tokens).map(|index| token(seed, index)).collect()
}
