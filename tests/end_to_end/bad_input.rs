//! Invalid input gets an error with its reason, and the process keeps running.

use std::fmt::Write;
use std::time::Duration;

use load::{Caller, Chat};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::{Fleet, LINK_KEY, Layout, chat, expected_answer};

/// Starts a fleet of one router, engine and service with short timeouts.
async fn start_small_fleet() -> Fleet {
    let router = json!({ "body_bytes": 4096, "body_ms": 300 });
    Fleet::start(Layout { routers: 1, engines: 1, services: 1, router, ..Layout::default() }).await
}

/// Checks that the fleet still answers.
async fn check_answers(fleet: &Fleet) {
    let chat = chat("up", 3, true);
    let answer = fleet.chat_caller(0).await.chat(&chat).await.expect("a complete answer");
    assert_eq!(answer.text, expected_answer(&chat));
}

/// Sends raw bytes to the router and returns the status and body of the response.
async fn send_raw(fleet: &Fleet, head: &str, body: &[u8]) -> (u16, Value) {
    let address = fleet.routers[0].address("listen");
    let mut socket = TcpStream::connect(address).await.expect("the socket connects");
    socket.write_all(head.as_bytes()).await.expect("the socket accepts data");
    let _ = socket.write_all(body).await;
    let mut text = Vec::new();
    let read = socket.read_to_end(&mut text);
    let _ = tokio::time::timeout(Duration::from_secs(3), read).await;
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let json = text.split("\r\n\r\n").nth(1).unwrap_or("");
    (status, serde_json::from_str(json).unwrap_or_default())
}

fn chat_head(content_length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer mesa:mesa-laptop-key\r\ncontent-length: {content_length}\r\n\r\n"
    )
}

fn status_and_error(answer: &(u16, Value)) -> (u16, &str, &str) {
    let error = &answer.1["error"];
    (answer.0, error["kind"].as_str().unwrap_or(""), error["outcome"].as_str().unwrap_or(""))
}

#[ntex::test]
async fn malformed_requests_get_400() {
    let fleet = start_small_fleet().await;
    for body in
        ["", "{", "[]", "{\"model\":1,\"messages\":[]}", "{\"model\":\"menu-7b\",\"messages\":[]}"]
    {
        let answer = send_raw(&fleet, &chat_head(body.len()), body.as_bytes()).await;
        assert_eq!(status_and_error(&answer), (400, "malformed", "not_run"), "{body}: {answer:?}");
    }
    check_answers(&fleet).await;
}

#[ntex::test]
async fn oversized_requests_get_413() {
    let fleet = start_small_fleet().await;
    let declared = send_raw(&fleet, &chat_head(10_000_000), b"{").await;
    assert_eq!(status_and_error(&declared), (413, "too_large", "not_run"));
    let chunked = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
        authorization: Bearer mesa:mesa-laptop-key\r\ntransfer-encoding: chunked\r\n\r\n";
    let body = format!("2000\r\n{}\r\n0\r\n\r\n", "x".repeat(0x2000));
    let answer = send_raw(&fleet, chunked, body.as_bytes()).await;
    assert_eq!(status_and_error(&answer), (413, "too_large", "not_run"));
    check_answers(&fleet).await;
}

#[ntex::test]
async fn slow_bodies_get_408_and_aborted_ones_are_dropped() {
    let fleet = start_small_fleet().await;
    let answer = send_raw(&fleet, &chat_head(100), b"{").await;
    assert_eq!(status_and_error(&answer), (408, "slow_body", "not_run"));
    let address = fleet.routers[0].address("listen");
    for _ in 0..20 {
        let mut socket = TcpStream::connect(&address).await.expect("the socket connects");
        socket.write_all(chat_head(100).as_bytes()).await.expect("the socket accepts data");
        drop(socket);
    }
    check_answers(&fleet).await;
}

#[ntex::test]
async fn too_many_headers_are_refused() {
    let fleet = start_small_fleet().await;
    let mut head = chat_head(2).trim_end().to_owned();
    for index in 0..200 {
        let _ = write!(head, "\r\nx-{index}: y");
    }
    head.push_str("\r\n\r\n");
    let (status, _) = send_raw(&fleet, &head, b"{}").await;
    assert!((400..500).contains(&status), "{status}");
    check_answers(&fleet).await;
}

#[ntex::test]
async fn wrong_names_and_keys_get_distinct_errors() {
    let fleet = start_small_fleet().await;
    let url = fleet.url(0);
    let refusal_kind = |workspace: &'static str, key: &'static str, model: &'static str| {
        let url = url.clone();
        async move {
            let caller = Caller::new(&url, workspace, key).await.expect("a client");
            let chat = Chat { model: model.to_owned(), ..chat("wrong", 3, true) };
            let error = caller.chat(&chat).await.expect_err("the request is refused");
            assert_eq!(error.outcome(), "not_run", "{error:?}");
            error.kind().to_owned()
        }
    };
    assert_eq!(refusal_kind("mesa", "wrong", "menu-7b").await, "unauthorized");
    assert_eq!(refusal_kind("nobody", "mesa-laptop-key", "menu-7b").await, "unauthorized");
    assert_eq!(refusal_kind("mesa", "mesa-laptop-key", "menu-8b").await, "unknown_model");
    let caller = fleet.call_caller(0).await;
    let error = caller.call("pickup", "/", None, "{}").await.expect_err("a key is required");
    assert_eq!(error.kind(), "key_missing");
    let error =
        caller.call("delivery", "/", Some("k"), "{}").await.expect_err("the kind has no intent");
    assert_eq!(error.kind(), "no_intent");
    let long_key = "k".repeat(300);
    let error =
        caller.call("pickup", "/", Some(&long_key), "{}").await.expect_err("the key is too long");
    assert_eq!(error.kind(), "malformed");
    let status = caller.page("/status").await.expect("a page");
    let incarnation = status["upstreams"][0]["incarnation"].as_u64().expect("a number");
    let forged = format!("sk1.engine-1.{incarnation:x}.x");
    let error = caller
        .call("pickup", "/", Some(&forged), "{}")
        .await
        .expect_err("the key belongs to no upstream of the pool");
    assert_eq!((error.kind(), error.outcome()), ("key_owner_gone", "unknown"));
    assert_eq!(fleet.engines[0].started(), 0);
    assert_eq!(caller.status("/nothing").await.expect("an answer"), 404);
    check_answers(&fleet).await;
}

#[ntex::test]
async fn invalid_frames_and_keys_close_only_their_link() {
    let fleet = start_small_fleet().await;
    let address = fleet.sidecars["engine-1"].address("listen");
    let mut socket = TcpStream::connect(&address).await.expect("the socket connects");
    socket.write_all(&[0xff; 4096]).await.expect("the socket accepts data");
    let timeout = Duration::from_secs(1);
    let hello = |key: &str| wire::Hello { key: key.into(), name: "test".into() };
    let refused = link::Connection::open(&address, hello("a-wrong-link-key"), timeout).await;
    assert!(matches!(refused, Err(link::Error::InvalidKey)), "{refused:?}");
    let (connection, _) =
        link::Connection::open(&address, hello(LINK_KEY), timeout).await.expect("the link opens");
    let unexpected = wire::Frame::Pool(placement::Pool::default());
    let mut call = connection.call(&unexpected).await.expect("the frame is sent");
    assert!(!matches!(call.next().await, Ok(Some(_))), "an unexpected frame got an answer");
    check_answers(&fleet).await;
}

#[ntex::test]
async fn refusals_before_the_body_is_read_reach_the_caller() {
    let fleet = start_small_fleet().await;
    let mut tasks = tokio::task::JoinSet::new();
    for index in 0..400 {
        let url = fleet.url(0);
        tasks.spawn_local(async move {
            let caller = Caller::new(&url, "mesa", "wrong").await.expect("a client");
            let mut chat = chat(&format!("wrong{index}"), 3, true);
            chat.messages[0]["content"] = "long ".repeat(600).into();
            let error = caller.chat(&chat).await.expect_err("the request is refused");
            assert_eq!(error.kind(), "unauthorized", "{error}");
        });
    }
    while let Some(task) = tasks.join_next().await {
        task.expect("the caller got the refusal");
    }
    check_answers(&fleet).await;
}

#[ntex::test]
async fn a_chat_needs_no_content_type() {
    let fleet = start_small_fleet().await;
    let body = json!({
        "model": "menu-7b",
        "max_tokens": 2,
        "messages": [{ "role": "user", "content": "oi" }],
    });
    let body = body.to_string();
    let (status, _) = send_raw(&fleet, &chat_head(body.len()), body.as_bytes()).await;
    assert_eq!(status, 200);
}
