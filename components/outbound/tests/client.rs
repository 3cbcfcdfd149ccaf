//! Tests of the client against a server that writes raw bytes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use nix::sys::socket::{setsockopt, sockopt};
use outbound::{Body, Client, Error, Request};
use tokio::task::LocalSet;

const MAX_IDLE: Duration = Duration::from_secs(8);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The raw answers of a server on one connection, one for each request.
type Script = Vec<&'static str>;

/// How the server ends a connection after its script.
#[derive(Clone, Copy)]
enum End {
    /// Closes it in order.
    Close,
    /// Resets it.
    Reset,
    /// Waits until the client closes it.
    Wait,
}

/// Starts a server that plays one script on each connection, in order. Returns its
/// address and a receiver of the index of each connection that has ended.
fn server(scripts: Vec<Script>, end: End) -> (Arc<str>, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let (sender, ended) = channel();
    std::thread::spawn(move || {
        for (index, script) in scripts.into_iter().enumerate() {
            let (stream, _) = listener.accept().expect("a connection");
            let sender = sender.clone();
            std::thread::spawn(move || {
                play(stream, &script, end);
                let _ = sender.send(index);
            });
        }
    });
    (address.into(), ended)
}

/// Plays a script and ends the connection.
fn play(stream: TcpStream, script: &[&str], end: End) {
    let mut writer = stream.try_clone().expect("a connection");
    let mut reader = BufReader::new(stream);
    for answer in script {
        if !read_request(&mut reader) {
            return;
        }
        writer.write_all(answer.as_bytes()).expect("the answer is written");
    }
    match end {
        End::Close => {}
        End::Reset => {
            let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
            setsockopt(&writer, sockopt::Linger, &linger).expect("the linger option is set");
        }
        End::Wait => assert!(!matches!(reader.read(&mut [0]), Ok(1)), "a surplus byte"),
    }
}

/// Reads a request without a body; returns whether it was complete.
fn read_request(reader: &mut BufReader<TcpStream>) -> bool {
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return false,
            Ok(_) if line == "\r\n" => return true,
            Ok(_) => {}
        }
    }
}

fn get(path: &str) -> Request {
    Request {
        method: "GET".into(),
        path: path.into(),
        headers: vec![("host".into(), "site.example".into())],
        body: Body::default(),
    }
}

/// Requests `/x` and returns the status and body of the answer.
async fn fetch(client: &Client, address: &Arc<str>) -> Result<(u16, String), Error> {
    let mut answer = client.send(address.clone(), get("/x"), false).await?;
    let mut body = Vec::new();
    while let Some(part) = answer.next().await {
        body.extend_from_slice(&part?);
    }
    Ok((answer.status, String::from_utf8(body).expect("UTF-8 text")))
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nwhole";

#[test]
fn reuses_a_connection_for_the_next_request() {
    let (address, _ended) = server(vec![vec![WHOLE; 3]], End::Close);
    run(async {
        let client = Client::new(MAX_IDLE, CONNECT_TIMEOUT);
        for _ in 0..3 {
            assert_eq!(fetch(&client, &address).await.expect("an answer"), (200, "whole".into()));
            // Lets the connection's task process the end of the answer.
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn completes_an_answer_without_a_length_when_its_connection_closes() {
    let (address, _ended) = server(vec![vec![UNFRAMED]], End::Close);
    run(async {
        let client = Client::new(MAX_IDLE, CONNECT_TIMEOUT);
        assert_eq!(fetch(&client, &address).await.expect("an answer"), (200, "whole".into()));
    });
}

#[test]
fn fails_an_answer_without_a_length_when_its_connection_is_reset() {
    let (address, _ended) = server(vec![vec![UNFRAMED]], End::Reset);
    run(async {
        let error =
            fetch(&Client::new(MAX_IDLE, CONNECT_TIMEOUT), &address).await.expect_err("an error");
        assert!(error.may_have_been_sent());
    });
}

#[test]
fn fails_an_answer_shorter_than_its_content_length() {
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nwhole";
    let (address, _ended) = server(vec![vec![truncated]], End::Close);
    run(async {
        let error =
            fetch(&Client::new(MAX_IDLE, CONNECT_TIMEOUT), &address).await.expect_err("an error");
        assert!(error.may_have_been_sent());
    });
}

#[test]
fn does_not_reuse_a_connection_with_surplus_bytes() {
    let surplus = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\n";
    let (address, _ended) = server(vec![vec![surplus], vec![WHOLE]], End::Wait);
    run(async {
        let client = Client::new(MAX_IDLE, CONNECT_TIMEOUT);
        fetch(&client, &address).await.expect("an answer");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fetch(&client, &address).await.expect("an answer"), (200, "whole".into()));
    });
}

#[test]
fn sends_on_a_new_connection_when_the_idle_one_has_closed() {
    let (address, ended) = server(vec![vec![WHOLE], vec![WHOLE]], End::Close);
    run(async {
        let client = Client::new(MAX_IDLE, CONNECT_TIMEOUT);
        fetch(&client, &address).await.expect("an answer");
        // Gives the client's task time to receive the close.
        assert_eq!(ended.recv_timeout(MAX_IDLE), Ok(0));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(fetch(&client, &address).await.expect("an answer"), (200, "whole".into()));
    });
}

#[test]
fn closes_idle_connections_after_the_keep_alive_timeout_of_the_answer() {
    let no_idle = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 5\r\n\r\nwhole";
    let (address, ended) = server(vec![vec![no_idle, WHOLE], vec![WHOLE]], End::Wait);
    run(async {
        let client = Client::new(MAX_IDLE, CONNECT_TIMEOUT);
        fetch(&client, &address).await.expect("an answer");
        fetch(&client, &address).await.expect("an answer");
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    assert_eq!(ended.recv_timeout(MAX_IDLE), Ok(0));
}

#[test]
fn closes_the_connection_when_an_answer_or_its_future_is_dropped() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nw";
    let (address, ended) = server(vec![vec![head], vec![""]], End::Wait);
    run(async {
        let client = Client::new(MAX_IDLE, CONNECT_TIMEOUT);
        drop(client.send(address.clone(), get("/x"), false).await.expect("a head"));
        tokio::task::yield_now().await;
        let wait = client.send(address.clone(), get("/x"), false);
        tokio::time::timeout(Duration::from_millis(100), wait).await.expect_err("no answer");
        tokio::task::yield_now().await;
    });
    let mut indexes =
        [(); 2].map(|()| ended.recv_timeout(MAX_IDLE).expect("the end of a connection"));
    indexes.sort_unstable();
    assert_eq!(indexes, [0, 1]);
}

#[test]
fn reports_requests_that_were_not_sent() {
    let address: Arc<str> = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        listener.local_addr().expect("an address").to_string().into()
    };
    run(async {
        let client = Client::new(MAX_IDLE, CONNECT_TIMEOUT);
        let error = fetch(&client, &address).await.expect_err("the connection is refused");
        assert!(!error.may_have_been_sent());
        let invalid = Request { headers: vec![("a b".into(), "c".into())], ..get("/x") };
        let error =
            client.send(address, invalid, false).await.expect_err("the header name is invalid");
        assert!(!error.may_have_been_sent());
    });
}

/// Answers with a length, in chunks, and with neither.
const FRAMED: [&str; 3] = [
    WHOLE,
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-last: 1\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    UNFRAMED,
];

/// Guards against an answer that breaks off in its head being passed on as a whole one.
#[test]
fn an_answer_that_ends_in_its_head_is_no_answer() {
    for answer in FRAMED {
        let head = answer.find("\r\n\r\n").expect("a head") + 4;
        for (cut, end) in (0..head).flat_map(|cut| [(cut, End::Close), (cut, End::Reset)]) {
            let part = &answer[..cut];
            let (address, _ended) = server(vec![vec![part]], end);
            let client = Client::new(MAX_IDLE, CONNECT_TIMEOUT);
            let fetched = run(fetch(&client, &address));
            assert!(fetched.is_err(), "{part:?}: {fetched:?}");
        }
    }
}
