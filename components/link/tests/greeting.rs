//! Failed greetings are reported with their cause, and no request counts as sent.

use std::time::Duration;

use budget::Budget;
use link::{Connection, Error, Identity};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use wire::{Hello, Status, Welcome};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Connects to a listener that handles the connection by `answer`.
async fn open<F>(answer: impl FnOnce(TcpStream) -> F + 'static) -> Error
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    ntex::rt::spawn(async move {
        let (socket, _) = listener.accept().await.expect("a connection");
        answer(socket).await;
    });
    let hello = Hello { key: "a-key".into(), name: "test".into() };
    Connection::open(&address, hello, TIMEOUT).await.expect_err("the greeting fails")
}

/// Accepts a link whose key is not that of the greeting.
async fn accept_other_key(socket: TcpStream) {
    let identity = Identity { key: "another-key".into(), requests: Budget::new(1024) };
    let welcome = || Welcome { name: "other".into(), status: Status::default() };
    let _ = link::accept(socket, identity, welcome, |_| async {}).await;
}

/// Closes the connection after the first bytes.
async fn close(mut socket: TcpStream) {
    let _ = socket.read(&mut [0; 64]).await;
}

/// Completes the handshake and closes the connection without an answer to the greeting.
async fn shake_hands_and_close(socket: TcpStream) {
    let mut connection = h2::server::handshake(socket).await.expect("the handshake");
    let _ = connection.accept().await;
}

/// Ends the answer to the greeting without a frame.
async fn answer_nothing(socket: TcpStream) {
    let mut connection = h2::server::handshake(socket).await.expect("the handshake");
    let (_, mut respond) = connection.accept().await.expect("a stream").expect("a request");
    respond.send_response(http::Response::new(()), true).expect("the answer is sent");
    while connection.accept().await.is_some() {}
}

#[ntex::test]
async fn only_a_rejected_key_is_reported_as_one() {
    let rejected = open(accept_other_key).await;
    assert!(matches!(rejected, Error::InvalidKey), "{rejected:?}");
    for error in [open(close).await, open(shake_hands_and_close).await, open(answer_nothing).await]
    {
        assert!(!matches!(error, Error::InvalidKey), "{error:?}");
        assert!(error.is_unsent(), "{error:?}");
    }
}
