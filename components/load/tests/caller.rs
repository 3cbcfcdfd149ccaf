//! Calls to a server that does not answer.

use std::time::Duration;

use load::{Caller, Error};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The time limit of the callers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the tests wait for a result.
const PATIENCE: Duration = Duration::from_secs(5);

/// Calls a server that sends `answer` on each connection and keeps it open.
async fn call(answer: &'static [u8]) -> Result<(), Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    tokio::task::spawn_local(async move {
        let mut connections = Vec::new();
        while let Ok((mut connection, _)) = listener.accept().await {
            connection.write_all(answer).await.expect("an open connection");
            connections.push(connection);
        }
    });
    let caller = Caller::new(&base, "w", "key").await.expect("a caller");
    let caller = caller.answer_timeout(ANSWER_TIMEOUT);
    let reply = caller.call("pickup", "/", None, "{}");
    tokio::time::timeout(PATIENCE, reply).await.expect("a result in time").map(drop)
}

#[ntex::test]
async fn a_call_without_an_answer_times_out() {
    let result = call(b"").await;
    assert!(matches!(result, Err(Error::Client { .. })), "{result:?}");
}

#[ntex::test]
async fn a_call_whose_answer_stops_times_out() {
    let result = call(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nstart").await;
    assert!(matches!(result, Err(Error::Client { .. })), "{result:?}");
}
