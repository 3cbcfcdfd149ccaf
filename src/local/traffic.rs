//! A mixed set of returning chats and service calls.

use std::fmt;

use load::{Answer, Caller, Chat, Error, retry};
use serde_json::{Value, json};
use standin::Prompt;
use tokio::task::JoinSet;

use super::fleet::{Fleet, MODEL};

/// The workspace of the chats and its key, as in the examples.
const MESA: (&str, &str) = ("mesa", "mesa-laptop-key");

/// The workspace of the calls and its key, as in the examples.
const COURIER: (&str, &str) = ("courier", "courier-laptop-key");

/// The words of a chat's first message.
const FIRST_WORDS: usize = 120;

/// The tokens of each answer.
const ANSWER_TOKENS: u64 = 24;

/// What came of the traffic.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Whole and right answers to chats.
    pub chats: usize,
    /// Whole and right answers to calls.
    pub calls: usize,
    /// Requests without a whole answer.
    pub failed: usize,
    /// Answers that are not the one to the request.
    pub mismatched: usize,
    /// Keys that ran more than once.
    pub run_twice: usize,
    /// Prompt tokens of returning turns.
    pub prompt_tokens: u64,
    /// Those of them that were found in a cache.
    pub cached_tokens: u64,
    /// The time to the first token of each chat turn, in milliseconds.
    pub first_ms: Vec<u64>,
}

impl Summary {
    /// Whether every request got its own whole answer, once.
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
            "{} chat turns and {} calls answered whole; {} lost or cut, {} crossed, {} run twice",
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

/// What one chat's task found.
type Turns = Vec<Result<(Answer, bool), Error>>;

/// Sends `chats` chats of `turns` turns each and as many calls as there are
/// turns, over all routers, and checks every answer.
pub async fn run(fleet: &Fleet, chats: usize, turns: usize, print: bool) -> Summary {
    let mut summary = Summary::default();
    let mut talks = JoinSet::new();
    for place in 0..chats {
        talks.spawn_local(talk(fleet.router_urls().to_vec(), place, turns));
    }
    let mut calls = JoinSet::new();
    for place in 0..chats * turns {
        let url = fleet.router_urls()[place % fleet.router_urls().len()].clone();
        calls.spawn_local(confirm(url, place));
    }
    while let Some(turns) = talks.join_next().await {
        for (turn, result) in turns.unwrap_or_default().into_iter().enumerate() {
            summary.add_turn(turn, result, print);
        }
    }
    while let Some(result) = calls.join_next().await {
        summary.add_call(result.unwrap_or_else(|fault| Err(fault.to_string())), print);
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
                println!("{} turn {}: the answer is another's", answer.request, turn + 1);
            }
            Err(fault) => {
                self.failed += 1;
                println!("turn {}: {fault}", turn + 1);
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
            Err(fault) => {
                self.failed += 1;
                println!("call: {fault}");
            }
        }
    }
}

/// One chat, each turn through the next router, until a turn fails.
async fn talk(routers: Vec<String>, place: usize, turns: usize) -> Turns {
    let mut found = Vec::new();
    let mut messages = vec![first_message(place)];
    for turn in 0..turns {
        let url = &routers[(place + turn) % routers.len()];
        let chat = Chat {
            model: MODEL.to_owned(),
            chat: format!("chat-{place}"),
            messages: messages.clone(),
            max_tokens: ANSWER_TOKENS,
            stream: !(place + turn).is_multiple_of(3),
        };
        let answer = match Caller::new(url, MESA.0, MESA.1).await {
            Ok(caller) => retry(|| caller.chat(&chat)).await,
            Err(fault) => Err(fault),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(fault) => {
                found.push(Err(fault));
                return found;
            }
        };
        let seed = Prompt::new(MODEL, &messages).seed;
        let right = answer.text == standin::answer(seed, ANSWER_TOKENS);
        messages.push(json!({ "role": "assistant", "content": answer.text }));
        messages.push(json!({ "role": "user", "content": format!("e no dia {turn} ?") }));
        found.push(Ok((answer, right)));
    }
    found
}

fn first_message(place: usize) -> Value {
    let words: Vec<_> = (0..FIRST_WORDS).map(|it| format!("receita{}", place * 7 + it)).collect();
    json!({ "role": "user", "content": words.join(" ") })
}

/// One pickup: confirmed, and confirmed again under the same key.
async fn confirm(url: String, place: usize) -> Result<String, String> {
    let caller = Caller::new(&url, COURIER.0, COURIER.1).await.map_err(|it| it.to_string())?;
    let key = match place % 2 {
        0 => caller.key("pickup").await.map_err(|it| it.to_string())?,
        _ => format!("courier-{place}"),
    };
    let path = format!("/orders/{place}/confirm");
    let call = || caller.call("pickup", &path, Some(&key), "{}");
    let first = retry(call).await.map_err(|it| it.to_string())?;
    let again = retry(call).await.map_err(|it| it.to_string())?;
    if first.body != again.body || !first.body.contains(&path) {
        return Err(format!("{}: the repeat got another answer", first.request));
    }
    Ok(format!(
        "{} pickup {place} at {}: once, repeat answered alike",
        first.request, first.upstream
    ))
}
