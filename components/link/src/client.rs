//! The connecting side of a link.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::{self, SendRequest};
use ntex::rt::JoinHandle;
use snafu::ResultExt;
use tokio::net::TcpStream;
use wire::{Frame, Hello, Welcome};

use crate::error::{
    BrokenSnafu, ConnectSnafu, GreetingSnafu, InvalidKeySnafu, StreamNotOpenedSnafu, TimeoutSnafu,
    UnexpectedEndSnafu, UnexpectedSnafu,
};
use crate::{CONNECTION_WINDOW, Error, Sink, Source, WINDOW};

/// A connection to another process.
///
/// It closes when its last clone is dropped and its last stream has ended.
#[derive(Clone, Debug)]
pub struct Connection {
    sender: SendRequest<Bytes>,
    driver: Rc<JoinHandle<()>>,
}

/// A request on a connection, and its answer.
#[derive(Debug)]
pub struct Call {
    sink: Sink,
    answer: Answer,
}

#[derive(Debug)]
enum Answer {
    Pending(client::ResponseFuture),
    Open(Source),
}

impl Connection {
    /// Connects and authenticates with the link key of `hello`.
    ///
    /// # Errors
    ///
    /// The connection or the greeting failed, or took longer than `timeout`; no request
    /// was sent.
    pub async fn open(
        address: &str,
        hello: Hello,
        timeout: Duration,
    ) -> Result<(Self, Welcome), Error> {
        let opened = tokio::time::timeout(timeout, Self::greet(address, hello)).await;
        opened.unwrap_or_else(|_| TimeoutSnafu { address }.fail())
    }

    async fn greet(address: &str, hello: Hello) -> Result<(Self, Welcome), Error> {
        let socket = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        socket.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, driver) = client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .handshake(socket)
            .await
            .context(StreamNotOpenedSnafu)?;
        let driver = ntex::rt::spawn(async move {
            let _ = driver.await;
        });
        let connection = Self { sender, driver: Rc::new(driver) };
        match connection.request_welcome(hello).await {
            Ok(welcome) => Ok((connection, welcome)),
            // A rejected greeting is answered by a reset of its stream.
            Err(error) if error.is_reset_by_peer() => InvalidKeySnafu.fail(),
            Err(error) => Err(error).context(GreetingSnafu { address }),
        }
    }

    async fn request_welcome(&self, hello: Hello) -> Result<Welcome, Error> {
        let mut call = self.call(&Frame::Hello(hello)).await?;
        match call.next().await? {
            Some(Frame::Welcome(welcome)) => Ok(welcome),
            Some(_) => UnexpectedSnafu.fail(),
            None => UnexpectedEndSnafu.fail(),
        }
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.driver.is_finished()
    }

    /// Opens a stream and writes its only request frame.
    ///
    /// # Errors
    ///
    /// The connection failed; [`Error::is_unsent`] says whether the request may have
    /// been received.
    pub async fn call(&self, frame: &Frame) -> Result<Call, Error> {
        let mut sender = self.sender.clone().ready().await.context(StreamNotOpenedSnafu)?;
        let mut request = http::Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static("http://silverstack/link");
        let (answer, stream) = sender.send_request(request, false).context(StreamNotOpenedSnafu)?;
        let mut sink = Sink::new(stream);
        sink.finish(frame).await?;
        Ok(Call { sink, answer: Answer::Pending(answer) })
    }
}

impl Call {
    /// Returns the next frame of the answer, or `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection failed, or the stream ended within a frame or has an invalid frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        if let Answer::Pending(answer) = &mut self.answer {
            let response = answer.await.context(BrokenSnafu)?;
            self.answer = Answer::Open(Source::new(response.into_body()));
        }
        match &mut self.answer {
            Answer::Open(source) => source.next().await,
            Answer::Pending(_) => UnexpectedEndSnafu.fail(),
        }
    }

    /// Resets the stream, which cancels the request at the other side.
    pub fn cancel(&mut self) {
        self.sink.reset();
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.cancel();
    }
}
