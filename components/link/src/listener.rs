//! The side that is connected to.

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

/// How long a connection may take to show the link key.
const GREETING_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a request frame may take to come whole.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Who this process is on its links.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The link key that a connecting process must show.
    pub key: Arc<str>,
}

/// One request from another process.
#[derive(Debug)]
pub struct Exchange {
    /// The request's only frame.
    pub frame: Frame,
    /// Where the answer goes.
    pub sink: Sink,
}

/// Serves one connection until it ends.
///
/// `welcome` is asked for the answer to the greeting, `handle` is run for every
/// request after it. All tasks have ended when this returns.
///
/// # Errors
///
/// A broken link, a wrong key, or an unexpected frame.
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
    let greeted = Rc::new(RefCell::new(false));
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
        if *greeted.borrow() {
            let handle = handle.clone();
            tasks.spawn_local(async move {
                match read(&mut source).await {
                    Ok(frame) => handle(Exchange { frame, sink }).await,
                    Err(_) => sink.reset(),
                }
            });
            continue;
        }
        let answer = welcome();
        let identity = identity.clone();
        let greeted = greeted.clone();
        tasks.spawn_local(async move {
            match greet(&mut source, &identity).await {
                Ok(()) => {
                    *greeted.borrow_mut() = true;
                    let _ = sink.finish(&Frame::Welcome(answer)).await;
                }
                Err(_) => sink.reset(),
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    Ok(())
}

async fn read(source: &mut Source) -> Result<Frame, Error> {
    let frame = tokio::time::timeout(REQUEST_TIMEOUT, source.next()).await;
    frame.ok().context(UnexpectedEndSnafu)??.context(UnexpectedEndSnafu)
}

async fn greet(source: &mut Source, identity: &Identity) -> Result<(), Error> {
    let frame = tokio::time::timeout(GREETING_TIMEOUT, source.next()).await;
    let frame = frame.ok().context(UnexpectedEndSnafu)??.context(UnexpectedEndSnafu)?;
    let Frame::Hello(hello) = frame else {
        return UnexpectedSnafu.fail();
    };
    let same = bool::from(hello.key.as_bytes().ct_eq(identity.key.as_bytes()));
    ensure!(same, InvalidKeySnafu);
    Ok(())
}
