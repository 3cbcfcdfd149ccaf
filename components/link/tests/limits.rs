//! A request that finds no memory is refused whole, and its stream can still answer.

use std::rc::Rc;
use std::time::Duration;

use budget::Budget;
use link::{Connection, Exchange, Identity};
use tokio::net::TcpListener;
use wire::{Frame, Hello, Status, Welcome};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Answers a request with the number of bytes that were free for it, or nothing if there were none.
async fn answer(exchange: Exchange) {
    let Exchange { frame, mut sink, memory } = exchange;
    let is_read = frame.is_some();
    let held = memory.bytes() as u64;
    let _ = sink.finish(&Frame::Find(if is_read { held } else { 0 })).await;
}

#[ntex::test]
async fn a_request_without_memory_is_read_and_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let requests = Budget::new(2_000);
    let identity = Identity { key: "a-key".into(), requests: requests.clone() };
    ntex::rt::spawn(async move {
        let (socket, _) = listener.accept().await.expect("a connection");
        let welcome = || Welcome { name: "other".into(), status: Status::default() };
        let _ = link::accept(socket, identity, welcome, answer).await;
    });
    let hello = Hello { key: "a-key".into(), name: "test".into() };
    let (connection, _) = Connection::open(&address, hello, TIMEOUT).await.expect("a link");
    let connection = Rc::new(connection);
    for (length, is_read) in [(100, true), (50_000, false), (100, true)] {
        let mut call =
            connection.call(&Frame::ClearedParts(vec![u64::MAX; length / 8])).await.expect("sent");
        let Ok(Some(Frame::Find(held))) = call.next().await else { panic!("no answer") };
        assert_eq!(held > 0, is_read, "{length} bytes, {held} held");
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(requests.held(), 0);
}
