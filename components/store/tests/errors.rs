//! Errors name what failed at the platform's service.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use store::{Hosts, Store};

/// Starts a service that answers each connection with `answer` and closes it.
fn start(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            read_request(&mut socket);
            let _ = socket.write_all(answer.as_bytes());
            // The client reads the head before the connection ends.
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    format!("http://{address}")
}

/// Reads a request with its body.
fn read_request(socket: &mut TcpStream) {
    let mut reader = BufReader::new(socket);
    let (mut line, mut length) = (String::new(), 0);
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).expect("a line of the head");
        let value = line.to_ascii_lowercase();
        if let Some(value) = value.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    reader.read_exact(&mut vec![0; length]).expect("the body");
}

/// Returns the errors of the list of hosts and of the key-value service.
async fn errors(answer: &'static str) -> [String; 2] {
    let base = start(answer);
    let list = Hosts::new(&base).await.expect("a client").fetch().await.expect_err("no list");
    let store = Store::new(&base).await.expect("a client");
    let value = store.put_if_absent("k", "v").await.expect_err("no value");
    [list.to_string(), value.to_string()]
}

#[ntex::test]
async fn an_answer_that_breaks_off_is_not_reported_as_no_answer() {
    for error in errors("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"part\":").await {
        assert!(error.contains("is incomplete"), "{error}");
    }
    for error in errors("").await {
        assert!(error.contains("did not answer"), "{error}");
    }
}
