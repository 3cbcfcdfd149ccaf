//! Errors name what failed at the platform's service.

use std::io::{Read, Write};
use std::net::TcpListener;

use store::{Hosts, Store};

/// Starts a service that answers each connection with `answer` and closes it.
fn start(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let _ = socket.read(&mut [0; 4096]);
            let _ = socket.write_all(answer.as_bytes());
        }
    });
    format!("http://{address}")
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
