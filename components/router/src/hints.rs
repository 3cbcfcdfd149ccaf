//! Exchange of hints between the routers of a fleet: warm prefixes, loads and outcomes.
//!
//! Claims, verdicts, reports of crashes and records of streams arrive at the same socket.

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use routing::{Crash, Event};
use spdlog::{debug, info};
use wire::{Frame, Loads, PartCrash, PartRun, Reader, UpstreamCrash, WarmPrefixes};

use crate::core::Core;
use crate::peers::{Peers, Tally};
use crate::streams;

/// The longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1_024;

/// How often changed loads of this router are sent.
const LOADS_INTERVAL: Millis = Millis(100);

/// How often outcomes, delays, paces and demands are sent. Two failures can exclude an upstream
/// whose pool has none, so all routers learn of a failing one soon.
const REPORTS_INTERVAL: Millis = Millis(400);

/// Unchanged loads are sent once in this many intervals.
const MAX_UNCHANGED_ROUNDS: u32 = 4;

/// How long hints to neighbours are collected before they are sent. A prefill takes about as long,
/// and a hint crosses a large fleet in a few hops.
const COLLECT_DELAY: Millis = Millis(25);

/// How often received hints are logged.
const LOG_INTERVAL: Millis = Millis(1_000);

/// The most other routers to which own loads are broadcast, since the traffic grows with the square
/// of the fleet. Larger fleets share observations from answers instead.
const MAX_LOAD_PEERS: usize = 8;

/// Sends this router's own loads and reports until shutdown.
pub(crate) async fn publish(core: Rc<Core>) {
    let Some(peers) = core.peers() else { return };
    let mut last_sent = Loads::default();
    let mut rounds = 0;
    let mut logged_at = core.clock.now();
    let mut reported_at = logged_at;
    loop {
        tokio::time::sleep(LOADS_INTERVAL.duration()).await;
        if logged_at.until(core.clock.now()) >= LOG_INTERVAL {
            logged_at = core.clock.now();
            log_hints(peers);
        }
        rounds += 1;
        if reported_at.until(core.clock.now()) >= REPORTS_INTERVAL {
            reported_at = core.clock.now();
            publish_outcomes(&core, peers);
            publish_delays(&core, peers);
            publish_paces(&core, peers);
            publish_demands(&core, peers);
        }
        if peers.count() > MAX_LOAD_PEERS {
            if rounds >= MAX_UNCHANGED_ROUNDS {
                rounds = 0;
                publish_observations(&core, peers);
            }
            continue;
        }
        let loads = core.loads();
        if loads == last_sent && rounds < MAX_UNCHANGED_ROUNDS {
            continue;
        }
        rounds = 0;
        let bytes = peers.broadcast(Frame::Loads(loads.clone()), core.clock.now());
        core.metrics.record_control("loads", bytes);
        last_sent = loads;
    }
}

/// Sends the load observations from answers.
fn publish_observations(core: &Core, peers: &Peers) {
    let observations = core.take_observations();
    // Without entries, the frame only reports that the configuration is current. In a large fleet
    // only pollers send that.
    if peers.is_large() && observations.upstreams.is_empty() && !core.fleet().is_poller() {
        return;
    }
    let bytes = peers.broadcast(Frame::Observations(observations), core.clock.now());
    core.metrics.record_control("heard", bytes);
}

fn publish_outcomes(core: &Core, peers: &Peers) {
    let outcomes = core.take_outcomes();
    if !outcomes.is_empty() {
        let bytes = peers.broadcast(Frame::Outcomes(outcomes), core.clock.now());
        core.metrics.record_control("outcomes", bytes);
    }
}

fn publish_delays(core: &Core, peers: &Peers) {
    let delays = core.take_delays();
    if !delays.is_empty() {
        let bytes = peers.broadcast(Frame::Delays(delays), core.clock.now());
        core.metrics.record_control("delays", bytes);
    }
}

fn publish_paces(core: &Core, peers: &Peers) {
    let paces = core.take_paces();
    if !paces.is_empty() {
        let bytes = peers.broadcast(Frame::Paces(paces), core.clock.now());
        core.metrics.record_control("paces", bytes);
    }
}

/// Sends the demands on saturated pools, one datagram each.
fn publish_demands(core: &Core, peers: &Peers) {
    for demands in core.demands() {
        let bytes = peers.broadcast(Frame::Demands(demands), core.clock.now());
        core.metrics.record_control("demands", bytes);
    }
}

/// Receives hints until shutdown.
pub(crate) async fn receive(core: Rc<Core>) {
    let Some(peers) = core.peers() else { return };
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        match peers.receive(&mut buffer).await {
            Ok((length, from)) => receive_datagram(&core, &buffer[..length], from),
            Err(error) => debug!("hint not received", kv: { fault = error.to_string() }),
        }
    }
}

/// Sends hints to neighbours in a large fleet until shutdown.
pub(crate) async fn forward(core: Rc<Core>) {
    let Some(peers) = core.peers() else { return };
    loop {
        peers.wait_for_hints().await;
        // Collects hints into shared datagrams.
        tokio::time::sleep(COLLECT_DELAY.duration()).await;
        let now = core.clock.now();
        let bytes = peers.flush(&core.fleet().neighbours(now), now);
        core.metrics.record_control("spread", bytes);
    }
}

/// Handles the hints of a datagram, and forwards those after a [`Frame::Forwarded`].
fn receive_datagram(core: &Core, datagram: &[u8], from: SocketAddr) {
    let mut reader = Reader::default();
    reader.push(datagram);
    let mut forwarded_hops = None;
    loop {
        match reader.next_frame() {
            Ok(Some(Frame::Forwarded(hops))) => forwarded_hops = Some(hops + 1),
            Ok(Some(frame)) => {
                if let Some(hops) = forwarded_hops {
                    forward_hint(core, &frame, hops, from);
                }
                receive_hint(core, frame, from);
            }
            Ok(None) if !reader.is_partial() => return,
            Ok(None) | Err(_) => {
                return debug!("unexpected datagram", kv: { from = from.to_string() });
            }
        }
    }
}

/// Forwards a hint to the neighbours other than its sender.
fn forward_hint(core: &Core, frame: &Frame, hops: u32, from: SocketAddr) {
    let Some(peers) = core.peers() else { return };
    let Some(name) = peers.name_of(from) else { return };
    let now = core.clock.now();
    peers.forward(core.fleet().neighbours(now).origin(&name), frame.clone(), hops, now);
}

fn receive_hint(core: &Core, frame: Frame, from: SocketAddr) {
    match frame {
        Frame::WarmPrefixes(warm) => receive_warm(core, warm),
        Frame::Observations(observations) => {
            core.apply(Event::Observations(observations));
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
        Frame::UpstreamCrash(report) => receive_crash(core, &report, from),
        Frame::Cleared(fingerprints) => receive_cleared(core, &fingerprints, Crash::cleared, from),
        Frame::PartCrash(report) => receive_part_crash(core, &report, from),
        Frame::ClearedParts(parts) => receive_cleared(core, &parts, Crash::cleared_part, from),
        Frame::Claims(claims) => core.permits.receive_claims(core, &claims, from),
        Frame::Verdicts(verdicts) => core.permits.receive_verdicts(core, &verdicts),
        Frame::Saturated(report) => core.permits.receive_saturation(core, &report),
        Frame::Begun(beginning) => streams::receive_beginning(core, beginning),
        Frame::Find(stream) => streams::answer(core, stream, from),
        Frame::Found(record) => core.streams.receive(&record, from),
        _ => debug!("unexpected datagram", kv: { from = from.to_string() }),
    }
}

fn receive_warm(core: &Core, warm: WarmPrefixes) {
    if let Some(peers) = core.peers() {
        peers.tally(&warm);
    }
    core.apply(Event::WarmPrefixes(warm));
}

/// Handles crashes reported by another router. They are dated now, since clocks of routers may
/// differ.
fn receive_crash(core: &Core, report: &UpstreamCrash, from: SocketAddr) {
    let at = core.clock.now();
    let crash = |fingerprint: &u64| Crash {
        fingerprint: *fingerprint,
        upstream: report.upstream.clone(),
        at,
        cleared: false,
        ran: None,
    };
    let crashes: Vec<_> = report.fingerprints.iter().map(crash).collect();
    info!("another router reported crashes", kv: {
        upstream = &*report.upstream,
        ends = crashes.len(),
        from = from.to_string(),
    });
    core.apply(Event::Crashes(crashes));
}

/// Handles a crash that another router reported with the prompt parts of its requests.
fn receive_part_crash(core: &Core, report: &PartCrash, from: SocketAddr) {
    let at = core.clock.now();
    let crash = |run: &PartRun| Crash {
        fingerprint: run.part,
        upstream: report.upstream.clone(),
        at,
        cleared: false,
        ran: Some(Millis(run.ran_ms)),
    };
    let crashes: Vec<_> = report.runs.iter().map(crash).collect();
    info!("another router reported a crash under prompt parts", kv: {
        upstream = &*report.upstream,
        parts = crashes.len(),
        from = from.to_string(),
    });
    core.apply(Event::Crashes(crashes));
}

/// Handles work or prompt parts that another router reported as cleared, and withdraws this
/// router's reports of crashes under them. `clearing` makes the record of one.
fn receive_cleared(
    core: &Core,
    hashes: &[u64],
    clearing: fn(u64, Millis) -> Crash,
    from: SocketAddr,
) {
    let at = core.clock.now();
    info!("another router cleared work", kv: { works = hashes.len(), from = from.to_string() });
    core.crashes.withdraw(hashes);
    core.apply(Event::Crashes(hashes.iter().map(|hash| clearing(*hash, at)).collect()));
}

/// Logs a summary of the warm prefixes received in the last interval, as one line per hint would be
/// too many in a large fleet.
fn log_hints(peers: &Peers) {
    let Tally { prefilling, cached, prefixes } = peers.take_tally();
    if prefilling + cached > 0 {
        info!("warm prefixes received", kv: {
            reading = prefilling, read = cached, parts = prefixes,
        });
    }
}
