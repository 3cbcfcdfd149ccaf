//! The accepting side of a link.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use budget::{Budget, Share};
use h2::server;
use snafu::{OptionExt, ResultExt, ensure};
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};
use wire::{Frame, Welcome};

use crate::error::{BrokenSnafu, InvalidKeySnafu, UnexpectedEndSnafu, UnexpectedSnafu};
use crate::{
    CONNECTION_WINDOW, Error, GREETING_WINDOW, MAX_GREETING_BYTES, MAX_HEADERS_BYTES, MAX_STREAMS,
    Sink, Source, WINDOW,
};

/// Time limit of the HTTP/2 handshake, and of the greeting's arrival after it.
const GREETING_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for receiving a complete request frame.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The credentials that an accepting process checks, and the memory that it has for requests.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The link key that connecting processes must present.
    pub key: Arc<str>,
    /// The memory for the requests of all connections together.
    pub requests: Budget,
}

/// A request from another process, and the stream for its answer.
#[derive(Debug)]
pub struct Exchange {
    /// The request, which is a single frame; `None` if there was no memory for it.
    pub frame: Option<Frame>,
    /// The stream for the answer.
    pub sink: Sink,
    /// The memory of the request.
    pub memory: Share,
}

/// Serves a connection until it ends.
///
/// `welcome` returns the answer to the greeting; `handle` is called for each request
/// after it. Returns after all tasks of the connection have ended. Until the greeting, little may be
/// sent: other streams are reset, and the connection ends if it is late.
///
/// # Errors
///
/// The HTTP/2 handshake failed or timed out, or no greeting arrived in time. A greeting with a wrong
/// key or of another type only resets its stream.
pub async fn accept<H, F>(
    socket: TcpStream,
    identity: Identity,
    welcome: impl Fn() -> Welcome,
    handle: H,
) -> Result<(), Error>
where
    H: Fn(Exchange) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    serve(socket, identity, welcome, handle, Rc::default()).await
}

/// Like [`accept`]; `is_greeted` is set with the greeting.
pub(crate) async fn serve<H, F>(
    socket: TcpStream,
    identity: Identity,
    welcome: impl Fn() -> Welcome,
    handle: H,
    is_greeted: Rc<Cell<bool>>,
) -> Result<(), Error>
where
    H: Fn(Exchange) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let greeting_until = Instant::now() + GREETING_TIMEOUT;
    let _ = socket.set_nodelay(true);
    let handshake = server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(GREETING_WINDOW)
        .max_header_list_size(MAX_HEADERS_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket);
    let mut connection = tokio::time::timeout(GREETING_TIMEOUT, handshake)
        .await
        .ok()
        .context(UnexpectedEndSnafu)?
        .context(BrokenSnafu)?;
    let handle = Rc::new(handle);
    let mut tasks = tokio::task::JoinSet::new();
    let mut is_greeting = false;
    loop {
        let stream = if is_greeted.get() {
            connection.set_target_window_size(CONNECTION_WINDOW);
            connection.accept().await
        } else {
            tokio::select! {
                stream = connection.accept() => stream,
                () = sleep_until(greeting_until) => {
                    ensure!(is_greeted.get(), UnexpectedEndSnafu);
                    continue;
                }
            }
        };
        let Some(Ok((request, mut respond))) = stream else { break };
        while tasks.try_join_next().is_some() {}
        if is_greeting && !is_greeted.get() {
            respond.send_reset(h2::Reason::REFUSED_STREAM);
            continue;
        }
        let mut source = Source::new(request.into_body());
        let Ok(stream) = respond.send_response(http::Response::new(()), false) else {
            continue;
        };
        let mut sink = Sink::new(stream);
        if is_greeted.get() {
            let (handle, mut memory) = (handle.clone(), identity.requests.share());
            tasks.spawn_local(async move {
                match read_request(&mut source, &mut memory).await {
                    Ok(frame) => handle(Exchange { frame, sink, memory }).await,
                    Err(_) => sink.reset(),
                }
            });
            continue;
        }
        is_greeting = true;
        let answer = welcome();
        let identity = identity.clone();
        let is_greeted = is_greeted.clone();
        tasks.spawn_local(async move {
            match check_greeting(&mut source, &identity).await {
                Ok(()) => {
                    is_greeted.set(true);
                    let _ = sink.finish(&Frame::Welcome(answer)).await;
                }
                Err(_) => sink.reset(),
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    Ok(())
}

/// The request, or `None` if there is no memory for it.
async fn read_request(source: &mut Source, memory: &mut Share) -> Result<Option<Frame>, Error> {
    let request = source.request(|bytes| memory.resize(bytes));
    let frame = tokio::time::timeout(REQUEST_TIMEOUT, request).await;
    frame.ok().context(UnexpectedEndSnafu)?
}

async fn check_greeting(source: &mut Source, identity: &Identity) -> Result<(), Error> {
    let request = source.request(|bytes| bytes <= MAX_GREETING_BYTES);
    let frame = tokio::time::timeout(GREETING_TIMEOUT, request).await;
    let Some(Frame::Hello(hello)) = frame.ok().context(UnexpectedEndSnafu)?? else {
        return UnexpectedSnafu.fail();
    };
    let is_valid = bool::from(hello.key.as_bytes().ct_eq(identity.key.as_bytes()));
    ensure!(is_valid, InvalidKeySnafu);
    Ok(())
}
