//! Answers queries of other routers for the content of the platform's store.

use std::net::SocketAddr;
use std::rc::Rc;

use budget::Budget;
use bytes::Bytes;
use clock::Millis;
use edge::{Era, Peer, Revision};
use link::{Exchange, Identity, Sink};
use spdlog::{debug, error, info};
use tokio::net::TcpListener;
use wire::{Changes, Chunk, Frame, Query, Referral, Status, Welcome};

use crate::core::Core;

/// The longest time that a query waits for changes.
const MAX_WAIT: Millis = Millis(5_000);

/// How much newer a confirmation must be than that of the querying router to be worth an
/// answer.
const MIN_CONFIRMATION_GAIN: Millis = Millis(200);

/// The pause after a failed accept, which fails again at once while descriptors are used up.
const ACCEPT_RETRY_INTERVAL: Millis = Millis(200);

/// The memory for the queries of all other routers together, in bytes.
const MAX_QUERY_BYTES: usize = 8 * 1024 * 1024;

/// The most bytes of facts in one frame.
const MAX_CHUNK_BYTES: usize = 64 * 1_024;

/// Answers queries until shutdown.
pub(crate) async fn serve(core: Rc<Core>) {
    let Some(address) = core.peers().map(crate::peers::Peers::address) else { return };
    let listener = match listen(address) {
        Ok(listener) => listener,
        Err(error) => {
            error!("other routers can't ask this one", kv: { fault = error });
            return;
        }
    };
    let identity =
        Identity { key: core.settings.link_key.clone(), requests: Budget::new(MAX_QUERY_BYTES) };
    let mut server = link::Server::new(identity, core.settings.resources().connections());
    loop {
        core.fleet().set_connections(server.len());
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(()) = server.join_next() => continue,
        };
        match accepted {
            Ok((socket, _)) => {
                let (name, core) = (core.settings.name.clone(), core.clone());
                let welcome = move || Welcome { name: name.clone(), status: Status::default() };
                server
                    .serve(socket, welcome, move |exchange| handle_query(core.clone(), exchange))
                    .await;
            }
            Err(error) => {
                debug!("connection of another router not accepted", kv: {
                    fault = error.to_string(),
                });
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL.duration()).await;
            }
        }
    }
}

/// Listens for other routers.
fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let (listener, _) = process::bind(&address.to_string()).map_err(|error| error.to_string())?;
    let prepared = listener.set_nonblocking(true).and_then(|()| TcpListener::from_std(listener));
    prepared.map_err(|error| error.to_string())
}

async fn handle_query(core: Rc<Core>, exchange: Exchange) {
    let Exchange { frame, mut sink, memory: _memory } = exchange;
    let Some(Frame::Query(query)) = frame else { return sink.reset() };
    let sender = query.routers.first().map(|peer| peer.name.clone()).unwrap_or_default();
    let result = if core.fleet().register(query.routers.clone(), core.clock.now()) {
        answer_query(&core, &query, &mut sink).await
    } else {
        refer(core.fleet().referral_targets(), &mut sink).await
    };
    if let Err(error) = result {
        debug!("query not answered", kv: { peer = &*sender, fault = error.to_string() });
    }
}

/// Refers the querying router to others, if there are any.
async fn refer(routers: Vec<Peer>, sink: &mut Sink) -> Result<(), link::Error> {
    sink.finish(&Frame::Referral(Referral { routers })).await
}

/// Answers with the changes as soon as there are any, or the confirmation is newer than the
/// querying router's; otherwise at the end of the wait. An empty referral means that this router
/// has no answer.
async fn answer_query(core: &Core, query: &Query, sink: &mut Sink) -> Result<(), link::Error> {
    let received_at = core.clock.now();
    let after = query.after.map(from_wire);
    let until = received_at + Millis(query.wait_ms).min(MAX_WAIT);
    let mut updates = core.fleet().updates();
    loop {
        updates.mark_unchanged();
        let now = core.clock.now();
        if has_answer(core, query, after, received_at) || (now >= until && !is_behind(core, after))
        {
            break;
        }
        if now >= until {
            return refer(Vec::new(), sink).await;
        }
        tokio::select! {
            _ = updates.changed() => {}
            () = tokio::time::sleep(now.until(until).duration()) => {}
            () = sink.closed() => return Ok(()),
        }
    }
    let now = core.clock.now();
    let packed = core.fleet().packed_changes(after, now);
    let (facts, full) = match packed {
        Ok(packed) => packed,
        Err(error) => {
            error!("facts can't be encoded", kv: { fault = error.to_string() });
            return refer(Vec::new(), sink).await;
        }
    };
    if full {
        let peer = query.routers.first().map_or("", |peer| &peer.name);
        info!("answering another router in full", kv: { peer, bytes = facts.len() });
    }
    let revision = core.fleet().revision().unwrap_or_default();
    let head = Changes {
        revision: wire::Revision { era: revision.era.0, number: revision.number },
        full,
        waited_ms: received_at.until(now).0,
        confirmation_age_ms: core.confirmation_age_ms(),
    };
    core.metrics.record_control("told", facts.len());
    send_changes(sink, head, facts).await
}

/// Whether this router has changes or a newer confirmation for the querying router.
fn has_answer(core: &Core, query: &Query, after: Option<Revision>, received_at: Millis) -> bool {
    let Some(revision) = core.fleet().revision() else { return false };
    let Some(after) = after else { return true };
    if revision.era != after.era {
        return revision.era > after.era;
    }
    if revision.number < after.number {
        return false;
    }
    let theirs = query
        .confirmation_age_ms
        .map(|age_ms| Millis(age_ms) + received_at.until(core.clock.now()));
    let ours = core.confirmation_age_ms().map(Millis);
    let is_newer =
        ours.is_some_and(|ours| theirs.is_none_or(|theirs| ours + MIN_CONFIRMATION_GAIN < theirs));
    is_newer || core.fleet().has_changes_since(after)
}

/// Whether this router is at an earlier revision than the querying one.
fn is_behind(core: &Core, after: Option<Revision>) -> bool {
    let Some(revision) = core.fleet().revision() else { return true };
    let order = |revision: Revision| (revision.era, revision.number);
    after.is_some_and(|after| order(revision) < order(after))
}

async fn send_changes(sink: &mut Sink, head: Changes, mut facts: Bytes) -> Result<(), link::Error> {
    if facts.is_empty() {
        return sink.finish(&Frame::Changes(head)).await;
    }
    sink.send(&Frame::Changes(head)).await?;
    let mut sequence = 0;
    while !facts.is_empty() {
        let bytes = facts.split_to(MAX_CHUNK_BYTES.min(facts.len()));
        let chunk = Frame::Chunk(Chunk { attempt: 0, sequence, bytes });
        if facts.is_empty() {
            return sink.finish(&chunk).await;
        }
        sink.send(&chunk).await?;
        sequence += 1;
    }
    Ok(())
}

/// Converts a revision from its wire format.
pub(crate) fn from_wire(revision: wire::Revision) -> Revision {
    Revision { era: Era(revision.era), number: revision.number }
}
