//! The accepting side of a link.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use h2::server;
use snafu::{OptionExt, ResultExt, ensure};
use subtle::ConstantTimeEq;
use tokio::net::TcpStream;
use wire::{Frame, Welcome};

use crate::error::{BrokenSnafu, InvalidKeySnafu, UnexpectedEndSnafu, UnexpectedSnafu};
use crate::{CONNECTION_WINDOW, Error, MAX_STREAMS, Sink, Source, WINDOW};

/// Time limit of the HTTP/2 handshake, and of the greeting's arrival after it.
const GREETING_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for receiving a complete request frame.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The credentials that an accepting process checks.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The link key that connecting processes must present.
    pub key: Arc<str>,
}

/// A request from another process, and the stream for its answer.
#[derive(Debug)]
pub struct Exchange {
    /// The request, which is a single frame.
    pub frame: Frame,
    /// The stream for the answer.
    pub sink: Sink,
}

/// Serves a connection until it ends.
///
/// `welcome` returns the answer to the greeting; `handle` is called for each request
/// after it. Returns after all tasks of the connection have ended.
///
/// # Errors
///
/// The HTTP/2 handshake failed or timed out. A greeting with a wrong key or of another
/// type only resets its stream.
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
    let _ = socket.set_nodelay(true);
    let handshake = server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket);
    let mut connection = tokio::time::timeout(GREETING_TIMEOUT, handshake)
        .await
        .ok()
        .context(UnexpectedEndSnafu)?
        .context(BrokenSnafu)?;
    let is_greeted = Rc::new(RefCell::new(false));
    let handle = Rc::new(handle);
    let mut tasks = tokio::task::JoinSet::new();
    while let Some(stream) = connection.accept().await {
        let Ok((request, mut respond)) = stream else {
            break;
        };
        while tasks.try_join_next().is_some() {}
        let mut source = Source::new(request.into_body());
        let Ok(stream) = respond.send_response(http::Response::new(()), false) else {
            continue;
        };
        let mut sink = Sink::new(stream);
        if *is_greeted.borrow() {
            let handle = handle.clone();
            tasks.spawn_local(async move {
                match read_request(&mut source).await {
                    Ok(frame) => handle(Exchange { frame, sink }).await,
                    Err(_) => sink.reset(),
                }
            });
            continue;
        }
        let answer = welcome();
        let identity = identity.clone();
        let is_greeted = is_greeted.clone();
        tasks.spawn_local(async move {
            match check_greeting(&mut source, &identity).await {
                Ok(()) => {
                    *is_greeted.borrow_mut() = true;
                    let _ = sink.finish(&Frame::Welcome(answer)).await;
                }
                Err(_) => sink.reset(),
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    Ok(())
}

async fn read_request(source: &mut Source) -> Result<Frame, Error> {
    let frame = tokio::time::timeout(REQUEST_TIMEOUT, source.next()).await;
    frame.ok().context(UnexpectedEndSnafu)??.context(UnexpectedEndSnafu)
}

async fn check_greeting(source: &mut Source, identity: &Identity) -> Result<(), Error> {
    let frame = tokio::time::timeout(GREETING_TIMEOUT, source.next()).await;
    let frame = frame.ok().context(UnexpectedEndSnafu)??.context(UnexpectedEndSnafu)?;
    let Frame::Hello(hello) = frame else {
        return UnexpectedSnafu.fail();
    };
    let is_valid = bool::from(hello.key.as_bytes().ct_eq(identity.key.as_bytes()));
    ensure!(is_valid, InvalidKeySnafu);
    Ok(())
}
