//! Bad input gets a clear error, and the process stays up.

use std::fmt::Write;
use std::time::Duration;

use load::{Caller, Chat};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::{Fleet, LINK_KEY, Layout, chat, truth};

/// A small fleet with short timeouts.
async fn small() -> Fleet {
    let router = json!({ "body_bytes": 4096, "body_ms": 300 });
    Fleet::start(Layout { routers: 1, engines: 1, services: 1, router, ..Layout::default() }).await
}

/// The fleet still answers.
async fn check_up(fleet: &Fleet) {
    let chat = chat("up", 3, true);
    let answer = fleet.mesa(0).await.chat(&chat).await.expect("a whole answer");
    assert_eq!(answer.text, truth(&chat));
}

/// Sends raw bytes to the router and reads until it closes or says no more.
async fn raw(fleet: &Fleet, head: &str, body: &[u8]) -> (u16, Value) {
    let address = fleet.routers[0].address("listen");
    let mut socket = TcpStream::connect(address).await.expect("it listens");
    socket.write_all(head.as_bytes()).await.expect("it reads");
    let _ = socket.write_all(body).await;
    let mut text = Vec::new();
    let read = socket.read_to_end(&mut text);
    let _ = tokio::time::timeout(Duration::from_secs(3), read).await;
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let json = text.split("\r\n\r\n").nth(1).unwrap_or("");
    (status, serde_json::from_str(json).unwrap_or_default())
}

fn head(length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer mesa:mesa-laptop-key\r\ncontent-length: {length}\r\n\r\n"
    )
}

fn kind(answer: &(u16, Value)) -> (u16, &str, &str) {
    let error = &answer.1["error"];
    (answer.0, error["kind"].as_str().unwrap_or(""), error["outcome"].as_str().unwrap_or(""))
}

#[ntex::test]
async fn malformed_requests_are_told_so() {
    let fleet = small().await;
    for body in
        ["", "{", "[]", "{\"model\":1,\"messages\":[]}", "{\"model\":\"menu-7b\",\"messages\":[]}"]
    {
        let answer = raw(&fleet, &head(body.len()), body.as_bytes()).await;
        assert_eq!(kind(&answer), (400, "malformed", "not_run"), "{body}: {answer:?}");
    }
    check_up(&fleet).await;
}

#[ntex::test]
async fn oversized_requests_are_refused_before_they_are_read() {
    let fleet = small().await;
    let declared = raw(&fleet, &head(10_000_000), b"{").await;
    assert_eq!(kind(&declared), (413, "too_large", "not_run"));
    let chunked = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
        authorization: Bearer mesa:mesa-laptop-key\r\ntransfer-encoding: chunked\r\n\r\n";
    let body = format!("2000\r\n{}\r\n0\r\n\r\n", "x".repeat(0x2000));
    let answer = raw(&fleet, chunked, body.as_bytes()).await;
    assert_eq!(kind(&answer), (413, "too_large", "not_run"));
    check_up(&fleet).await;
}

#[ntex::test]
async fn slow_and_broken_off_bodies_are_given_up() {
    let fleet = small().await;
    let answer = raw(&fleet, &head(100), b"{").await;
    assert_eq!(kind(&answer), (408, "slow_body", "not_run"));
    let address = fleet.routers[0].address("listen");
    for _ in 0..20 {
        let mut socket = TcpStream::connect(&address).await.expect("it listens");
        socket.write_all(head(100).as_bytes()).await.expect("it reads");
        drop(socket);
    }
    check_up(&fleet).await;
}

#[ntex::test]
async fn too_many_headers_are_refused() {
    let fleet = small().await;
    let mut head = head(2).trim_end().to_owned();
    for place in 0..200 {
        let _ = write!(head, "\r\nx-{place}: y");
    }
    head.push_str("\r\n\r\n");
    let (status, _) = raw(&fleet, &head, b"{}").await;
    assert!((400..500).contains(&status), "{status}");
    check_up(&fleet).await;
}

#[ntex::test]
async fn wrong_names_and_keys_are_told_apart() {
    let fleet = small().await;
    let url = fleet.url(0);
    let ask = |workspace: &'static str, key: &'static str, model: &'static str| {
        let url = url.clone();
        async move {
            let caller = Caller::new(&url, workspace, key).await.expect("a client");
            let chat = Chat { model: model.to_owned(), ..chat("wrong", 3, true) };
            let fault = caller.chat(&chat).await.expect_err("it is refused");
            assert_eq!(fault.outcome(), "not_run", "{fault:?}");
            fault.kind().to_owned()
        }
    };
    assert_eq!(ask("mesa", "wrong", "menu-7b").await, "unauthorized");
    assert_eq!(ask("nobody", "mesa-laptop-key", "menu-7b").await, "unauthorized");
    assert_eq!(ask("mesa", "mesa-laptop-key", "menu-8b").await, "unknown_model");
    let caller = fleet.courier(0).await;
    let fault = caller.call("pickup", "/", None, "{}").await.expect_err("it needs a key");
    assert_eq!(fault.kind(), "key_missing");
    let fault = caller.call("delivery", "/", Some("k"), "{}").await.expect_err("no such kind");
    assert_eq!(fault.kind(), "no_intent");
    let long = "k".repeat(300);
    let fault = caller.call("pickup", "/", Some(&long), "{}").await.expect_err("too long");
    assert_eq!(fault.kind(), "malformed");
    let status = caller.page("/status").await.expect("a page");
    let life = status["upstreams"][0]["incarnation"].as_u64().expect("a number");
    let forged = format!("sk1.engine-1.{life:x}.x");
    let fault = caller.call("pickup", "/", Some(&forged), "{}").await.expect_err("it does not fit");
    assert_eq!((fault.kind(), fault.outcome()), ("key_owner_gone", "unknown"));
    assert_eq!(fleet.engines[0].started(), 0);
    assert_eq!(caller.status("/nothing").await.expect("an answer"), 404);
    check_up(&fleet).await;
}

#[ntex::test]
async fn bad_frames_and_keys_on_the_link_end_only_that_link() {
    let fleet = small().await;
    let address = fleet.sidecars["engine-1"].address("listen");
    let mut socket = TcpStream::connect(&address).await.expect("it listens");
    socket.write_all(&[0xff; 4096]).await.expect("it reads");
    let timeout = Duration::from_secs(1);
    let hello = |key: &str| wire::Hello { key: key.into(), name: "test".into() };
    let wrong = link::Connection::open(&address, hello("a-wrong-link-key"), timeout).await;
    assert!(matches!(wrong, Err(link::Error::InvalidKey)), "{wrong:?}");
    let (connection, _) =
        link::Connection::open(&address, hello(LINK_KEY), timeout).await.expect("it stands");
    let strange = wire::Frame::Pool(placement::Pool::default());
    let mut call = connection.call(&strange).await.expect("it is sent");
    assert!(!matches!(call.next().await, Ok(Some(_))), "a strange frame got an answer");
    check_up(&fleet).await;
}

#[ntex::test]
async fn refusals_that_come_before_the_body_is_read_reach_the_caller() {
    let fleet = small().await;
    let mut tasks = tokio::task::JoinSet::new();
    for place in 0..400 {
        let url = fleet.url(0);
        tasks.spawn_local(async move {
            let caller = Caller::new(&url, "mesa", "wrong").await.expect("a client");
            let mut chat = chat(&format!("wrong{place}"), 3, true);
            chat.messages[0]["content"] = "long ".repeat(600).into();
            let fault = caller.chat(&chat).await.expect_err("it is refused");
            assert_eq!(fault.kind(), "unauthorized", "{fault}");
        });
    }
    while let Some(task) = tasks.join_next().await {
        task.expect("the refusal came");
    }
    check_up(&fleet).await;
}

#[ntex::test]
async fn a_chat_needs_no_content_type() {
    let fleet = small().await;
    let body = json!({
        "model": "menu-7b",
        "max_tokens": 2,
        "messages": [{ "role": "user", "content": "oi" }],
    });
    let body = body.to_string();
    let (status, _) = raw(&fleet, &head(body.len()), body.as_bytes()).await;
    assert_eq!(status, 200);
}
