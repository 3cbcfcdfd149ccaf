//! Concurrent requests get complete answers of their own, and keyed calls run once.

use load::retry;
use tokio::task::JoinSet;

use crate::fleet::{Fleet, Layout, chat, expected_answer};

/// The number of concurrent requests of each test.
const REQUESTS: usize = 200;

#[ntex::test]
async fn concurrent_chats_get_their_own_complete_answers() {
    let fleet = Fleet::start(Layout { services: 0, ..Layout::default() }).await;
    let callers = [fleet.chat_caller(0).await, fleet.chat_caller(1).await];
    let mut tasks = JoinSet::new();
    for index in 0..REQUESTS {
        let caller = callers[index % callers.len()].clone();
        tasks.spawn_local(async move {
            let chat = chat(&format!("chat{index}"), 20 + index as u64 % 30, index % 2 == 0);
            let answer = retry(|| caller.chat(&chat)).await.expect("a complete answer");
            assert_eq!(answer.text, expected_answer(&chat));
        });
    }
    let mut answered = 0;
    while let Some(task) = tasks.join_next().await {
        task.expect("the chat task completes");
        answered += 1;
    }
    assert_eq!(answered, REQUESTS);
}

#[ntex::test]
async fn repeated_keyed_calls_run_once() {
    let fleet = Fleet::start(Layout { engines: 0, ..Layout::default() }).await;
    let callers = [fleet.call_caller(0).await, fleet.call_caller(1).await];
    let mut tasks = JoinSet::new();
    for index in 0..REQUESTS {
        let (first_caller, second_caller) =
            (callers[index % 2].clone(), callers[(index + 1) % 2].clone());
        tasks.spawn_local(async move {
            let key = if index % 4 < 2 {
                first_caller.key("pickup").await.expect("a key")
            } else {
                format!("own-{index}")
            };
            let path = format!("/orders/{index}");
            let first = retry(|| first_caller.call("pickup", &path, Some(&key), "{}"))
                .await
                .expect("an answer");
            let repeated = retry(|| second_caller.call("pickup", &path, Some(&key), "{}"))
                .await
                .expect("an answer");
            assert!(first.body.contains(&path), "the answer of another request: {}", first.body);
            assert_eq!(first.body, repeated.body);
        });
    }
    while let Some(task) = tasks.join_next().await {
        task.expect("the call task completes");
    }
    let runs = fleet.runs();
    assert_eq!(runs.len(), REQUESTS);
    assert!(runs.values().all(|count| *count == 1), "a key ran twice");
}

#[ntex::test]
async fn no_process_opens_an_io_uring() {
    let fleet = Fleet::start(Layout::default()).await;
    let chat = chat("ring", 5, true);
    fleet.chat_caller(0).await.chat(&chat).await.expect("a complete answer");
    for process in fleet.sidecars.values().chain(&fleet.routers) {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", process.id()))
            .expect("the process is running");
        let names: Vec<_> = entries
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .map(|name| name.to_string_lossy().into_owned())
            .collect();
        assert!(names.iter().any(|name| name.contains("socket")), "{names:?}");
        assert!(!names.iter().any(|name| name.contains("io_uring")), "{names:?}");
    }
}
