//! Chats of several turns and service calls, with checks of their answers.

use std::fmt;

use load::{Answer, Caller, Chat, Error, retry};
use serde_json::{Value, json};
use standin::Prompt;
use tokio::task::JoinSet;

use super::fleet::{Fleet, MODEL};

/// The workspace of the chats and its key, from the examples.
const CHAT_WORKSPACE: (&str, &str) = ("mesa", "mesa-laptop-key");

/// The workspace of the calls and its key, from the examples.
const CALL_WORKSPACE: (&str, &str) = ("courier", "courier-laptop-key");

/// The number of words of a chat's first message.
const PROMPT_WORDS: usize = 120;

/// The number of tokens of each answer.
const ANSWER_TOKENS: u64 = 24;

/// The results of the traffic.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Correct answers to turns of chats.
    pub chats: usize,
    /// Correct answers to calls.
    pub calls: usize,
    /// Requests without a complete answer.
    pub failed: usize,
    /// Answers that don't match their request.
    pub mismatched: usize,
    /// Idempotency keys that ran more than once.
    pub run_twice: usize,
    /// Prompt tokens of all turns after the first.
    pub prompt_tokens: u64,
    /// Those prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Time to first token of each turn, in milliseconds.
    pub first_ms: Vec<u64>,
}

impl Summary {
    /// Whether every request got a correct answer and no key ran twice.
    pub fn is_clean(&self) -> bool {
        self.failed == 0 && self.mismatched == 0 && self.run_twice == 0
    }

    fn median_first_ms(&self) -> u64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().unwrap_or(0)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} chat turns and {} calls answered correctly; {} failed, {} mismatched, {} run twice",
            self.chats, self.calls, self.failed, self.mismatched, self.run_twice
        )?;
        let reuse = 100 * self.cached_tokens / self.prompt_tokens.max(1);
        write!(
            formatter,
            "median time to first token {} ms; {reuse}% of the prompt tokens of returning turns were cached",
            self.median_first_ms()
        )
    }
}

/// The answers to a chat's turns, and whether each is correct.
type TurnResults = Vec<Result<(Answer, bool), Error>>;

/// Sends `chats` chats of `turns` turns each, and one call for each turn, through all
/// routers, and checks every answer.
pub async fn run(fleet: &Fleet, chats: usize, turns: usize, print: bool) -> Summary {
    let mut summary = Summary::default();
    let mut chat_tasks = JoinSet::new();
    for index in 0..chats {
        chat_tasks.spawn_local(run_chat(fleet.router_urls().to_vec(), index, turns));
    }
    let mut call_tasks = JoinSet::new();
    for index in 0..chats * turns {
        let url = fleet.router_urls()[index % fleet.router_urls().len()].clone();
        call_tasks.spawn_local(confirm(url, index));
    }
    while let Some(turns) = chat_tasks.join_next().await {
        for (turn, result) in turns.unwrap_or_default().into_iter().enumerate() {
            summary.add_turn(turn, result, print);
        }
    }
    while let Some(result) = call_tasks.join_next().await {
        summary.add_call(result.unwrap_or_else(|error| Err(error.to_string())), print);
    }
    summary.run_twice = fleet.runs().values().filter(|count| **count > 1).count();
    summary
}

impl Summary {
    fn add_turn(&mut self, turn: usize, result: Result<(Answer, bool), Error>, print: bool) {
        match result {
            Ok((answer, true)) => {
                self.chats += 1;
                let first_ms = u64::try_from(answer.first.as_millis()).unwrap_or(u64::MAX);
                self.first_ms.push(first_ms);
                if turn > 0 {
                    self.prompt_tokens += answer.prompt_tokens;
                    self.cached_tokens += answer.cached_tokens;
                }
                if print {
                    println!(
                        "{} turn {} at {}: first token {first_ms} ms, {} of {} prompt tokens cached",
                        answer.request,
                        turn + 1,
                        answer.upstream,
                        answer.cached_tokens,
                        answer.prompt_tokens
                    );
                }
            }
            Ok((answer, false)) => {
                self.mismatched += 1;
                println!(
                    "{} turn {}: the answer belongs to another request",
                    answer.request,
                    turn + 1
                );
            }
            Err(error) => {
                self.failed += 1;
                println!("turn {}: {error}", turn + 1);
            }
        }
    }

    fn add_call(&mut self, result: Result<String, String>, print: bool) {
        match result {
            Ok(line) => {
                self.calls += 1;
                if print {
                    println!("{line}");
                }
            }
            Err(error) => {
                self.failed += 1;
                println!("call: {error}");
            }
        }
    }
}

/// Sends the turns of a chat, each through the next router, until one fails.
async fn run_chat(routers: Vec<String>, index: usize, turns: usize) -> TurnResults {
    let mut results = Vec::new();
    let mut messages = vec![first_message(index)];
    for turn in 0..turns {
        let url = &routers[(index + turn) % routers.len()];
        let chat = Chat {
            model: MODEL.to_owned(),
            chat: format!("chat-{index}"),
            messages: messages.clone(),
            max_tokens: ANSWER_TOKENS,
            stream: !(index + turn).is_multiple_of(3),
        };
        let answer = match Caller::new(url, CHAT_WORKSPACE.0, CHAT_WORKSPACE.1).await {
            Ok(caller) => retry(|| caller.chat(&chat)).await,
            Err(error) => Err(error),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                results.push(Err(error));
                return results;
            }
        };
        let seed = Prompt::new(MODEL, &messages).seed;
        let is_correct = answer.text == standin::answer(seed, ANSWER_TOKENS);
        messages.push(json!({ "role": "assistant", "content": answer.text }));
        messages.push(json!({ "role": "user", "content": format!("e no dia {turn} ?") }));
        results.push(Ok((answer, is_correct)));
    }
    results
}

fn first_message(index: usize) -> Value {
    let words: Vec<_> =
        (0..PROMPT_WORDS).map(|word| format!("receita{}", index * 7 + word)).collect();
    json!({ "role": "user", "content": words.join(" ") })
}

/// Sends a call and repeats it with the same idempotency key; both must get the same
/// answer.
async fn confirm(url: String, index: usize) -> Result<String, String> {
    let caller = Caller::new(&url, CALL_WORKSPACE.0, CALL_WORKSPACE.1)
        .await
        .map_err(|error| error.to_string())?;
    let key = match index % 2 {
        0 => caller.key("pickup").await.map_err(|error| error.to_string())?,
        _ => format!("courier-{index}"),
    };
    let path = format!("/orders/{index}/confirm");
    let call = || caller.call("pickup", &path, Some(&key), "{}");
    let first = retry(call).await.map_err(|error| error.to_string())?;
    let repeated = retry(call).await.map_err(|error| error.to_string())?;
    if first.body != repeated.body || !first.body.contains(&path) {
        return Err(format!("{}: the repeated request got a different answer", first.request));
    }
    Ok(format!(
        "{} pickup {index} at {}: ran once, same answer when repeated",
        first.request, first.upstream
    ))
}
