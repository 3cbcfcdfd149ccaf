//! Answering other routers that ask what the platform's store holds.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use edge::{Era, Peer, Revision};
use link::{Exchange, Identity, Sink};
use spdlog::{debug, error, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use wire::{Changes, Chunk, Frame, Query, Referral, Status, Welcome};

use crate::core::Core;

/// How long an answer may wait for news at most, whatever the question says.
const LONGEST_WAIT: Millis = Millis(5_000);

/// By how much a proof must be newer than that of the router that asks to be news.
const NEWER: Millis = Millis(200);

/// How many bytes of facts go into one frame.
const CHUNK: usize = 64 * 1_024;

/// Answers until the process stops.
pub(crate) async fn serve(core: Rc<Core>) {
    let Some(address) = core.peers().map(crate::peers::Peers::address) else { return };
    let listener = match listen(address).await {
        Ok(listener) => listener,
        Err(fault) => {
            error!("other routers can't ask this one", kv: { fault = fault.to_string() });
            return;
        }
    };
    let mut connections = JoinSet::new();
    loop {
        core.fleet().set_connections(connections.len());
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((socket, _)) => {
                connections.spawn_local(converse(core.clone(), socket));
            }
            Err(fault) => {
                debug!("no connection of another router", kv: { fault = fault.to_string() });
                tokio::time::sleep(NEWER.duration()).await;
            }
        }
    }
}

async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Answers on one connection until it ends.
async fn converse(core: Rc<Core>, socket: TcpStream) {
    let identity = Identity { key: core.settings.link_key.clone() };
    let name = core.settings.name.clone();
    let welcome = move || Welcome { name: name.clone(), status: Status::default() };
    let handle = move |exchange| answer(core.clone(), exchange);
    if let Err(fault) = link::accept(socket, identity, welcome, handle).await {
        debug!("a connection of another router ended", kv: { fault = fault.to_string() });
    }
}

async fn answer(core: Rc<Core>, exchange: Exchange) {
    let Exchange { frame, mut sink } = exchange;
    let Frame::Query(look) = frame else { return sink.reset() };
    let asks = look.routers.first().map(|it| it.name.clone()).unwrap_or_default();
    let told = if core.fleet().meet(look.routers.clone(), core.clock.now()) {
        tell(&core, &look, &mut sink).await
    } else {
        refer(core.fleet().relays(), &mut sink).await
    };
    if let Err(fault) = told {
        debug!("another router was not told", kv: { peer = &*asks, fault = fault.to_string() });
    }
}

/// Names others that may be asked.
async fn refer(routers: Vec<Peer>, sink: &mut Sink) -> Result<(), link::Error> {
    sink.finish(&Frame::Referral(Referral { routers })).await
}

/// Tells what has changed, as soon as there is something or the proof is newer than the other's.
async fn tell(core: &Core, look: &Query, sink: &mut Sink) -> Result<(), link::Error> {
    let asked = core.clock.now();
    let after = look.after.map(revision);
    let until = asked + Millis(look.wait_ms).min(LONGEST_WAIT);
    let mut news = core.fleet().news();
    loop {
        news.mark_unchanged();
        let now = core.clock.now();
        if is_worth_telling(core, look, after, asked) || (now >= until && !is_behind(core, after)) {
            break;
        }
        if now >= until {
            return refer(Vec::new(), sink).await;
        }
        tokio::select! {
            _ = news.changed() => {}
            () = tokio::time::sleep(now.until(until).duration()) => {}
            () = sink.closed() => return Ok(()),
        }
    }
    let now = core.clock.now();
    let packed = core.fleet().packed(after, now);
    let (facts, whole) = match packed {
        Ok(packed) => packed,
        Err(fault) => {
            error!("facts can't be written", kv: { fault = fault.to_string() });
            return refer(Vec::new(), sink).await;
        }
    };
    if whole {
        let peer = look.routers.first().map_or("", |it| &it.name);
        info!("another router gets all that is known", kv: { peer, bytes = facts.len() });
    }
    let position = core.fleet().position().unwrap_or_default();
    let head = Changes {
        revision: wire::Revision { era: position.era.0, number: position.number },
        full: whole,
        waited_ms: asked.until(now).0,
        confirmation_age_ms: core.proof_ms(),
    };
    core.metrics.control("told", facts.len());
    send(sink, head, facts).await
}

/// Whether there is something that the router that asks lacks.
fn is_worth_telling(core: &Core, look: &Query, after: Option<Revision>, asked: Millis) -> bool {
    let Some(position) = core.fleet().position() else { return false };
    let Some(after) = after else { return true };
    if position.era != after.era {
        return position.era > after.era;
    }
    if position.number < after.number {
        return false;
    }
    let theirs = look.confirmation_age_ms.map(|it| Millis(it) + asked.until(core.clock.now()));
    let ours = core.proof_ms().map(Millis);
    let is_newer = ours.is_some_and(|ours| theirs.is_none_or(|theirs| ours + NEWER < theirs));
    is_newer || core.fleet().has_news(after)
}

/// Whether this router knows less than the one that asks.
fn is_behind(core: &Core, after: Option<Revision>) -> bool {
    let Some(position) = core.fleet().position() else { return true };
    let order = |it: Revision| (it.era, it.number);
    after.is_some_and(|after| order(position) < order(after))
}

async fn send(sink: &mut Sink, head: Changes, mut facts: Bytes) -> Result<(), link::Error> {
    if facts.is_empty() {
        return sink.finish(&Frame::Changes(head)).await;
    }
    sink.send(&Frame::Changes(head)).await?;
    let mut sequence = 0;
    while !facts.is_empty() {
        let bytes = facts.split_to(CHUNK.min(facts.len()));
        let chunk = Frame::Chunk(Chunk { attempt: 0, sequence, bytes });
        if facts.is_empty() {
            return sink.finish(&chunk).await;
        }
        sink.send(&chunk).await?;
        sequence += 1;
    }
    Ok(())
}

/// A place in the store's history, as routers tell it.
pub(crate) fn revision(it: wire::Revision) -> Revision {
    Revision { era: Era(it.era), number: it.number }
}
