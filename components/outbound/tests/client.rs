//! The client against a server that writes raw bytes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use bytes::Bytes;
use nix::sys::socket::{setsockopt, sockopt};
use outbound::{Client, Error, Request};
use tokio::task::LocalSet;

const KEEP: Duration = Duration::from_secs(8);
const CONNECT: Duration = Duration::from_millis(500);

/// What a server does on one connection: for each request the bytes it answers.
type Script = Vec<&'static str>;

/// How a connection ends after its script.
#[derive(Clone, Copy)]
enum End {
    /// In order.
    Close,
    /// With a reset.
    Reset,
    /// When the client ends it, which is told.
    Wait,
}

/// A server that plays one script for each connection, in order. Returns its
/// address and a receiver of the number of each connection that has ended.
fn server(scripts: Vec<Script>, end: End) -> (Arc<str>, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let (sender, ended) = channel();
    std::thread::spawn(move || {
        for (number, script) in scripts.into_iter().enumerate() {
            let (stream, _) = listener.accept().expect("a connection");
            let sender = sender.clone();
            std::thread::spawn(move || {
                play(stream, &script, end);
                let _ = sender.send(number);
            });
        }
    });
    (address.into(), ended)
}

/// Plays a script; the connection has ended when this returns.
fn play(stream: TcpStream, script: &[&str], end: End) {
    let mut writer = stream.try_clone().expect("a connection");
    let mut reader = BufReader::new(stream);
    for answer in script {
        if !read_request(&mut reader) {
            return;
        }
        writer.write_all(answer.as_bytes()).expect("the client listens");
    }
    match end {
        End::Close => {}
        End::Reset => {
            let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
            setsockopt(&writer, sockopt::Linger, &linger).expect("an option");
        }
        End::Wait => assert!(!matches!(reader.read(&mut [0]), Ok(1)), "a surplus byte"),
    }
}

/// Reads a request without a body.
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
        body: Bytes::new(),
    }
}

/// The status and body of an answer.
async fn ask(client: &Client, address: &Arc<str>) -> Result<(u16, String), Error> {
    let mut answer = client.send(address.clone(), get("/x"), false).await?;
    let mut body = Vec::new();
    while let Some(part) = answer.next().await {
        body.extend_from_slice(&part?);
    }
    Ok((answer.status, String::from_utf8(body).expect("a text")))
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nwhole";

#[test]
fn a_connection_is_kept_for_the_next_request() {
    let (address, _ended) = server(vec![vec![WHOLE; 3]], End::Close);
    run(async {
        let client = Client::new(KEEP, CONNECT);
        for _ in 0..3 {
            assert_eq!(ask(&client, &address).await.expect("an answer"), (200, "whole".into()));
            // The connection's task sees the end of the answer.
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn an_answer_without_a_length_is_whole_when_its_connection_ends_in_order() {
    let (address, _ended) = server(vec![vec![UNFRAMED]], End::Close);
    run(async {
        let client = Client::new(KEEP, CONNECT);
        assert_eq!(ask(&client, &address).await.expect("an answer"), (200, "whole".into()));
    });
}

#[test]
fn an_answer_without_a_length_is_broken_when_its_connection_is_reset() {
    let (address, _ended) = server(vec![vec![UNFRAMED]], End::Reset);
    run(async {
        let fault = ask(&Client::new(KEEP, CONNECT), &address).await.expect_err("a fault");
        assert!(fault.may_have_been_sent());
    });
}

#[test]
fn an_answer_that_ends_before_its_length_is_broken() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nwhole";
    let (address, _ended) = server(vec![vec![short]], End::Close);
    run(async {
        let fault = ask(&Client::new(KEEP, CONNECT), &address).await.expect_err("a fault");
        assert!(fault.may_have_been_sent());
    });
}

#[test]
fn a_connection_with_surplus_bytes_takes_no_further_request() {
    let surplus = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\n";
    let (address, _ended) = server(vec![vec![surplus], vec![WHOLE]], End::Wait);
    run(async {
        let client = Client::new(KEEP, CONNECT);
        ask(&client, &address).await.expect("an answer");
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(ask(&client, &address).await.expect("an answer"), (200, "whole".into()));
    });
}

#[test]
fn a_kept_connection_that_has_ended_costs_no_request() {
    let (address, ended) = server(vec![vec![WHOLE], vec![WHOLE]], End::Close);
    run(async {
        let client = Client::new(KEEP, CONNECT);
        ask(&client, &address).await.expect("an answer");
        // Its end is on the way to the client's task.
        assert_eq!(ended.recv_timeout(KEEP), Ok(0));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(ask(&client, &address).await.expect("an answer"), (200, "whole".into()));
    });
}

#[test]
fn a_connection_is_kept_no_longer_than_its_answers_say() {
    let brief = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 5\r\n\r\nwhole";
    let (address, ended) = server(vec![vec![brief, WHOLE], vec![WHOLE]], End::Wait);
    run(async {
        let client = Client::new(KEEP, CONNECT);
        ask(&client, &address).await.expect("an answer");
        ask(&client, &address).await.expect("an answer");
        tokio::time::sleep(Duration::from_millis(50)).await;
    });
    assert_eq!(ended.recv_timeout(KEEP), Ok(0));
}

#[test]
fn dropping_an_answer_or_the_wait_for_it_ends_the_connection() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nw";
    let (address, ended) = server(vec![vec![head], vec![""]], End::Wait);
    run(async {
        let client = Client::new(KEEP, CONNECT);
        drop(client.send(address.clone(), get("/x"), false).await.expect("a head"));
        tokio::task::yield_now().await;
        let wait = client.send(address.clone(), get("/x"), false);
        tokio::time::timeout(Duration::from_millis(100), wait).await.expect_err("no answer");
        tokio::task::yield_now().await;
    });
    let mut numbers = [(); 2].map(|()| ended.recv_timeout(KEEP).expect("the end of a connection"));
    numbers.sort_unstable();
    assert_eq!(numbers, [0, 1]);
}

#[test]
fn what_could_not_be_sent_is_told_as_such() {
    let address: Arc<str> = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        listener.local_addr().expect("an address").to_string().into()
    };
    run(async {
        let client = Client::new(KEEP, CONNECT);
        let fault = ask(&client, &address).await.expect_err("nobody listens");
        assert!(!fault.may_have_been_sent());
        let strange = Request { headers: vec![("a b".into(), "c".into())], ..get("/x") };
        let fault = client.send(address, strange, false).await.expect_err("not a header");
        assert!(!fault.may_have_been_sent());
    });
}
