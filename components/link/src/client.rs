//! The side that connects.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::{self, SendRequest};
use ntex::rt::JoinHandle;
use snafu::ResultExt;
use tokio::net::TcpStream;
use wire::{Frame, Hello, Welcome};

use crate::error::{
    BrokenSnafu, ConnectSnafu, InvalidKeySnafu, StreamNotOpenedSnafu, TimeoutSnafu,
    UnexpectedEndSnafu, UnexpectedSnafu,
};
use crate::{CONNECTION_WINDOW, Error, Sink, Source, WINDOW};

/// One connection to another process.
///
/// It ends when the last clone and the last stream of it have ended.
#[derive(Clone, Debug)]
pub struct Connection {
    sender: SendRequest<Bytes>,
    driver: Rc<JoinHandle<()>>,
}

/// One request on a connection.
#[derive(Debug)]
pub struct Call {
    sink: Sink,
    answer: Answer,
}

#[derive(Debug)]
enum Answer {
    Waiting(client::ResponseFuture),
    Open(Source),
}

impl Connection {
    /// Connects and shows the link key.
    ///
    /// # Errors
    ///
    /// Every error of this function means that no request was sent.
    pub async fn open(
        address: &str,
        hello: Hello,
        timeout: Duration,
    ) -> Result<(Self, Welcome), Error> {
        let greeting = tokio::time::timeout(timeout, Self::greet(address, hello)).await;
        greeting.unwrap_or_else(|_| TimeoutSnafu { address }.fail())
    }

    async fn greet(address: &str, hello: Hello) -> Result<(Self, Welcome), Error> {
        let socket = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        socket.set_nodelay(true).context(ConnectSnafu { address })?;
        let (sender, connection) = client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .handshake(socket)
            .await
            .context(StreamNotOpenedSnafu)?;
        let driver = ntex::rt::spawn(async move {
            let _ = connection.await;
        });
        let this = Self { sender, driver: Rc::new(driver) };
        let mut call = this.call(&Frame::Hello(hello)).await?;
        match call.next().await {
            Ok(Some(Frame::Welcome(welcome))) => Ok((this, welcome)),
            Ok(Some(_)) => UnexpectedSnafu.fail(),
            Ok(None) | Err(_) => InvalidKeySnafu.fail(),
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
    /// [`Error::is_unsent`] tells whether the request may have arrived.
    pub async fn call(&self, frame: &Frame) -> Result<Call, Error> {
        let mut sender = self.sender.clone().ready().await.context(StreamNotOpenedSnafu)?;
        let mut request = http::Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.uri_mut() = http::Uri::from_static("http://silverstack/link");
        let (answer, stream) = sender.send_request(request, false).context(StreamNotOpenedSnafu)?;
        let mut sink = Sink::new(stream);
        sink.finish(frame).await?;
        Ok(Call { sink, answer: Answer::Waiting(answer) })
    }
}

impl Call {
    /// The next frame of the answer, or `None` at a clean end.
    ///
    /// # Errors
    ///
    /// A broken link, an end within a frame, or a bad frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        if let Answer::Waiting(answer) = &mut self.answer {
            let response = answer.await.context(BrokenSnafu)?;
            self.answer = Answer::Open(Source::new(response.into_body()));
        }
        match &mut self.answer {
            Answer::Open(source) => source.next().await,
            Answer::Waiting(_) => UnexpectedEndSnafu.fail(),
        }
    }

    /// Tells the other side that the answer is no longer wanted.
    pub fn cancel(&mut self) {
        self.sink.reset();
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.cancel();
    }
}
