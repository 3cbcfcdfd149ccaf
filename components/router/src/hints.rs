//! Telling and taking hints between the routers of a fleet: where parts of prompts
//! are warm, and what loads upstreams carry.

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use routing::{Crash, Event};
use spdlog::{debug, info};
use wire::{Frame, Loads, Reader, UpstreamCrash, WarmPrefixes};

use crate::core::Core;
use crate::peers::{Peers, Tally};

/// The longest datagram that is read, in bytes. A frame of 100 parts has less than
/// 1,100; the load at an upstream takes about 20, so that there is room for 800.
const MAX_DATAGRAM: usize = 16 * 1_024;

/// How often a router's own load is told if it has changed. A request of the sites
/// takes 20 to 500 ms.
const TELL_EVERY: Millis = Millis(100);

/// How often routers tell how their requests ended, how long they waited and what is
/// asked of pools that are short. Two failures are enough to pass
/// an upstream over where the pool has none; all routers of a site see those in half a
/// second at an upstream that fails half of its requests.
const OUTCOMES_EVERY: Millis = Millis(400);

/// After how many such times it is told even if it hasn't changed.
const ROUNDS: u32 = 4;

/// How long hints wait for others to go with them, where neighbours pass them on. A reading of a
/// prompt takes about as long, and the way through a fleet has four hops at most.
const SPREAD_AFTER: Millis = Millis(25);

/// How often hints that were taken are logged.
const LOG_EVERY: Millis = Millis(1_000);

/// The most other routers to which loads are told: what all tell all grows with
/// the square of their number. Among more, a router goes by what answers tell.
const MOST_PEERS: usize = 8;

/// Tells the others of this router's own load, until the process stops.
pub(crate) async fn tell_loads(core: Rc<Core>) {
    let Some(peers) = core.peers() else { return };
    let mut told = Loads::default();
    let mut rounds = 0;
    let mut logged = core.clock.now();
    let mut judged = logged;
    loop {
        tokio::time::sleep(TELL_EVERY.duration()).await;
        if logged.until(core.clock.now()) >= LOG_EVERY {
            logged = core.clock.now();
            log_hints(peers);
        }
        rounds += 1;
        if judged.until(core.clock.now()) >= OUTCOMES_EVERY {
            judged = core.clock.now();
            tell_outcomes(&core, peers);
            tell_delays(&core, peers);
            tell_paces(&core, peers);
            tell_demands(&core, peers);
        }
        if peers.count() > MOST_PEERS {
            if rounds >= ROUNDS {
                rounds = 0;
                tell_heard(&core, peers);
            }
            continue;
        }
        let loads = core.loads();
        if loads == told && rounds < ROUNDS {
            continue;
        }
        rounds = 0;
        let bytes = peers.tell(Frame::Loads(loads.clone()), core.clock.now());
        core.metrics.control("loads", bytes);
        told = loads;
    }
}

/// Tells the others what answers have told of loads.
fn tell_heard(core: &Core, peers: &Peers) {
    let heard = core.heard();
    // In a large fleet each router is told many; one in which nothing stands but whether this
    // one's configuration is the newest is of use to its neighbours only.
    if peers.is_large() && heard.upstreams.is_empty() && !core.fleet().follows() {
        return;
    }
    let bytes = peers.tell(Frame::Observations(heard), core.clock.now());
    core.metrics.control("heard", bytes);
}

/// Tells the others how requests have ended.
fn tell_outcomes(core: &Core, peers: &Peers) {
    let outcomes = core.outcomes();
    if !outcomes.is_empty() {
        let bytes = peers.tell(Frame::Outcomes(outcomes), core.clock.now());
        core.metrics.control("outcomes", bytes);
    }
}

/// Tells the others how long requests have waited.
fn tell_delays(core: &Core, peers: &Peers) {
    let delays = core.delays();
    if !delays.is_empty() {
        let bytes = peers.tell(Frame::Delays(delays), core.clock.now());
        core.metrics.control("delays", bytes);
    }
}

/// Tells the others what upstreams have told of their pace; in fleets whose upstreams tell
/// nothing of it, that is nothing.
fn tell_paces(core: &Core, peers: &Peers) {
    let paces = core.paces();
    if !paces.is_empty() {
        let bytes = peers.tell(Frame::Paces(paces), core.clock.now());
        core.metrics.control("paces", bytes);
    }
}

/// Tells the others what is asked of pools that are short, a datagram for each.
fn tell_demands(core: &Core, peers: &Peers) {
    for demands in core.demands() {
        let bytes = peers.tell(Frame::Demands(demands), core.clock.now());
        core.metrics.control("demands", bytes);
    }
}

/// Takes hints until the process stops.
pub(crate) async fn listen(core: Rc<Core>) {
    let Some(peers) = core.peers() else { return };
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        match peers.hear(&mut buffer).await {
            Ok((length, from)) => take(&core, &buffer[..length], from),
            Err(fault) => debug!("no hint", kv: { fault = fault.to_string() }),
        }
    }
}

/// Sends hints to neighbours, in a large fleet, until the process stops.
pub(crate) async fn spread(core: Rc<Core>) {
    let Some(peers) = core.peers() else { return };
    loop {
        peers.has_hints().await;
        // Hints that come one by one go together.
        tokio::time::sleep(SPREAD_AFTER.duration()).await;
        let now = core.clock.now();
        let bytes = peers.flush(&core.fleet().neighbours(now), now);
        core.metrics.control("spread", bytes);
    }
}

/// Takes the hints of a datagram; those that are to be passed on are.
fn take(core: &Core, datagram: &[u8], from: SocketAddr) {
    let mut reader = Reader::default();
    reader.push(datagram);
    let mut passes = None;
    loop {
        match reader.frame() {
            Ok(Some(Frame::Forwarded(hops))) => passes = Some(hops + 1),
            Ok(Some(frame)) => {
                if let Some(hops) = passes {
                    pass_on(core, &frame, hops, from);
                }
                take_one(core, frame, from);
            }
            Ok(None) if !reader.is_partial() => return,
            Ok(None) | Err(_) => {
                return debug!("a datagram is no hint", kv: { from = from.to_string() });
            }
        }
    }
}

/// Passes a hint on to those neighbours that did not send it.
fn pass_on(core: &Core, frame: &Frame, hops: u32, from: SocketAddr) {
    let Some(peers) = core.peers() else { return };
    let Some(name) = peers.name_of(from) else { return };
    let now = core.clock.now();
    peers.pass_on(core.fleet().neighbours(now).origin(&name), frame.clone(), hops, now);
}

fn take_one(core: &Core, frame: Frame, from: SocketAddr) {
    match frame {
        Frame::WarmPrefixes(warm) => take_warm(core, warm),
        Frame::Observations(heard) => {
            core.apply(Event::Observations(heard));
        }
        Frame::Loads(loads) => {
            core.apply(Event::Loads(loads));
        }
        Frame::Delays(delays) => {
            core.apply(Event::Delays(delays));
        }
        Frame::Demands(demands) => {
            core.apply(Event::Demands(demands));
        }
        Frame::Outcomes(outcomes) => {
            core.apply(Event::Outcomes(outcomes));
        }
        Frame::Paces(paces) => {
            core.apply(Event::Paces(paces));
        }
        Frame::UpstreamCrash(ended) => take_ended(core, &ended, from),
        Frame::Cleared(contents) => take_cleared(core, &contents, from),
        Frame::Claims(claims) => core.places.hear(core, &claims, from),
        Frame::Verdicts(verdicts) => core.places.take(core, &verdicts),
        Frame::Saturated(short) => core.places.shorten(core, &short),
        _ => debug!("a datagram is no hint", kv: { from = from.to_string() }),
    }
}

fn take_warm(core: &Core, warm: WarmPrefixes) {
    if let Some(peers) = core.peers() {
        peers.tally(&warm);
    }
    core.apply(Event::WarmPrefixes(warm));
}

/// Takes ends of an upstream from another router, as of now: its clock may differ.
fn take_ended(core: &Core, ended: &UpstreamCrash, from: SocketAddr) {
    let at = core.clock.now();
    let crash = |content: &u64| Crash {
        fingerprint: *content,
        upstream: ended.upstream.clone(),
        at,
        cleared: false,
    };
    let crashes: Vec<_> = ended.fingerprints.iter().map(crash).collect();
    info!("another router told of ends", kv: {
        upstream = &*ended.upstream,
        ends = crashes.len(),
        from = from.to_string(),
    });
    core.apply(Event::Crashes(crashes));
}

/// Takes from another router that work was answered in full: this one takes back what it told.
fn take_cleared(core: &Core, contents: &[u64], from: SocketAddr) {
    let at = core.clock.now();
    info!("another router cleared work", kv: { works = contents.len(), from = from.to_string() });
    core.crashes.take_back(contents);
    core.apply(Event::Crashes(contents.iter().map(|it| Crash::cleared(*it, at)).collect()));
}

/// Logs the hints of the last second, if there were any: a line for each would be
/// many times those of all requests in a large fleet.
fn log_hints(peers: &Peers) {
    let Tally { reading, read, parts } = peers.take_tally();
    if reading + read > 0 {
        info!("routers told of warm parts", kv: { reading, read, parts });
    }
}
