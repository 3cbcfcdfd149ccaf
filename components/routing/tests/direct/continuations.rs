//! Property test: whatever breaks, the events of a stream come from one software version.
//!
//! Several routers with views of their own begin streams, retry them, and continue them for
//! callers, while versions change, routers restart, and records of streams are lost.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use routing::{Continuation, Effect, Event, Lookup, Reply, Settings, State};
use wire::{Build, Chunk, Head};

use crate::fixture::{NOW, arrival, engines_of, router, settings};

const SEED: u64 = 20_261_203;

const ROUTERS: usize = 3;

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

#[derive(Clone, Debug)]
enum Step {
    /// A caller begins a stream.
    Begin { router: usize },
    /// The upstream of a request sends an event.
    Event { back: usize },
    /// The upstream of a request breaks off.
    Break { back: usize },
    /// The caller of a stream continues it with a new request.
    TakeUp { back: usize, router: usize, named: bool },
    /// Engines of these versions serve from now on.
    List { versions: Vec<usize> },
    /// A router no longer hears of changes of the list, or does again.
    Cut { router: usize, is_cut: bool },
    /// A router restarts, and knows what the store holds.
    Restart { router: usize },
    /// Time passes.
    Wait(u64),
    /// Whether datagrams between routers are lost from now on.
    Lossy(bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let versions = || prop::collection::vec(0..VERSIONS.len(), 1..6);
    let back = || 0..4_usize;
    let step = prop_oneof![
        4 => (0..ROUTERS).prop_map(|router| Step::Begin { router }),
        8 => back().prop_map(|back| Step::Event { back }),
        5 => back().prop_map(|back| Step::Break { back }),
        6 => (back(), 0..ROUTERS, prop::bool::weighted(0.8))
            .prop_map(|(back, router, named)| Step::TakeUp { back, router, named }),
        2 => versions().prop_map(|versions| Step::List { versions }),
        1 => (0..ROUTERS, any::<bool>()).prop_map(|(router, is_cut)| Step::Cut { router, is_cut }),
        1 => (0..ROUTERS).prop_map(|router| Step::Restart { router }),
        2 => (1..30_000_u64).prop_map(Step::Wait),
        1 => any::<bool>().prop_map(Step::Lossy),
    ];
    prop::collection::vec(step, 1..80)
}

/// A request of a caller for a stream.
#[derive(Clone, Debug)]
struct Request {
    stream: usize,
    router: usize,
    attempt: u32,
    version: Arc<str>,
    chunks: u64,
}

/// The events that a caller has.
#[derive(Clone, Debug, Default)]
struct Stream {
    /// Public id of the request that brought the first event.
    begun_by: Option<u64>,
    events: u64,
    version: Option<Arc<str>>,
    begun_at: Millis,
}

struct World {
    routers: Vec<State>,
    is_cut: [bool; ROUTERS],
    /// The versions of the engines that serve.
    serving: Vec<usize>,
    /// The builds that a router has saved in the store.
    saved: Vec<Build>,
    requests: HashMap<u64, Request>,
    order: Vec<u64>,
    streams: Vec<Stream>,
    next: u64,
    now: Millis,
    is_lossy: bool,
}

/// How long a router's list counts as recent, in milliseconds.
const READY_MS: u64 = 1_000;

fn start(list: &[usize], saved: &[Build], now: Millis) -> State {
    let settings =
        Settings { retry_burst: 1_000.0, current_ms: 0, ready_ms: READY_MS, ..settings() };
    let mut state = router(settings);
    state.apply(Event::Builds(saved.to_vec()), now);
    state.apply(named(list), now);
    state
}

fn named(list: &[usize]) -> Event {
    let versions: Vec<_> = list.iter().map(|index| VERSIONS[*index]).collect();
    let Event::Hosts(mut hosts) = engines_of(&versions) else { unreachable!("a list") };
    for host in &mut hosts {
        host.name = format!("{}-{}", host.name, host.version).into();
    }
    Event::Hosts(hosts)
}

impl World {
    fn new() -> Self {
        let serving = vec![0, 0];
        let mut world = Self {
            routers: (0..ROUTERS).map(|_| start(&serving, &[], NOW)).collect(),
            is_cut: [false; ROUTERS],
            serving,
            saved: Vec::new(),
            requests: HashMap::new(),
            order: Vec::new(),
            streams: Vec::new(),
            next: 0,
            now: NOW,
            is_lossy: false,
        };
        world.publish_list();
        world
    }

    fn step(&mut self, step: Step) {
        for (router, is_cut) in self.routers.iter_mut().zip(self.is_cut) {
            if !is_cut {
                router.apply(Event::ConfigurationConfirmed { at: self.now }, self.now);
            }
        }
        match step {
            Step::Begin { router } => {
                self.streams.push(Stream::default());
                self.request(self.streams.len() - 1, router, None);
            }
            Step::Event { back } => self.send_event(back),
            Step::Break { back } => self.break_off(back),
            Step::TakeUp { back, router, named } => self.take_up(back, router, named),
            Step::List { versions } => {
                self.serving = versions;
                self.publish_list();
            }
            Step::Cut { router, is_cut } => {
                self.is_cut[router] = is_cut;
                // A router that has just been cut off takes its list for recent this long.
                self.now = self.now + Millis(READY_MS + 1);
                self.publish_list();
            }
            Step::Restart { router } => {
                self.is_cut[router] = false;
                self.routers[router] = start(&self.serving, &self.saved, self.now);
                self.requests.retain(|_, request| request.router != router);
            }
            Step::Wait(ms) => self.now = self.now + Millis(ms),
            Step::Lossy(is_lossy) => self.is_lossy = is_lossy,
        }
    }

    /// Passes the list and the saved builds to all routers that are not cut off.
    fn publish_list(&mut self) {
        let now = self.now;
        let reached: Vec<_> = (0..ROUTERS).filter(|router| !self.is_cut[*router]).collect();
        for router in &reached {
            self.routers[*router].apply(Event::Builds(self.saved.clone()), now);
            self.routers[*router].apply(named(&self.serving), now);
        }
        let builds = reached.first().and_then(|writer| self.routers[*writer].recent_builds(now));
        self.saved = builds.unwrap_or_else(|| self.saved.clone());
        for router in reached {
            self.routers[router].apply(Event::Builds(self.saved.clone()), now);
        }
    }

    fn request(&mut self, stream: usize, router: usize, continuation: Option<Continuation>) {
        self.next += 1;
        let id = self.next;
        let Event::Arrival(mut request) = arrival(id, "stream", &format!("chat-{stream}")) else {
            unreachable!("an arrival")
        };
        request.continuation = continuation;
        // Callers give up on a stream within the time for which records are kept.
        request.deadline = Some(Millis(5_000));
        self.order.push(id);
        self.apply(router, id, stream, Event::Arrival(request));
    }

    fn take_up(&mut self, back: usize, router: usize, named: bool) {
        let Some(stream) = self.streams.len().checked_sub(back + 1) else { return };
        let Stream { begun_by, events, begun_at, .. } = self.streams[stream].clone();
        let Some(begun_by) = begun_by.filter(|_| begun_at.until(self.now) < Millis(60_000)) else {
            return;
        };
        self.requests.retain(|_, request| request.stream != stream);
        let name = format!("r-{begun_by}");
        let continuation =
            Continuation { stream: named.then(|| name.into()), last_event: Some(events) };
        self.request(stream, router, Some(continuation));
    }

    fn recent(&self, back: usize) -> Option<(u64, Request)> {
        let open = self.order.iter().rev().filter(|id| self.requests.contains_key(id));
        let id = *open.take(back + 1).last()?;
        Some((id, self.requests[&id].clone()))
    }

    fn send_event(&mut self, back: usize) {
        let Some((id, request)) = self.recent(back) else { return };
        let Request { stream, router, attempt, chunks, .. } = request;
        if chunks == 0 || attempt > 1 {
            let head = Reply::Head(Head { attempt, status: 200, headers: Vec::new() });
            self.apply(router, id, stream, Event::Reply { id, attempt, reply: head });
        }
        let bytes = Bytes::from_static(b"id: 1\n\n");
        let chunk = Reply::Chunk(Chunk { attempt, sequence: chunks, bytes });
        self.apply(router, id, stream, Event::Reply { id, attempt, reply: chunk });
    }

    fn break_off(&mut self, back: usize) {
        let Some((id, request)) = self.recent(back) else { return };
        let Request { stream, router, attempt, .. } = request;
        self.requests.remove(&id);
        let event = Event::ConnectionFailed { id, attempt, sent: true };
        let chunks = request.chunks;
        self.apply(router, id, stream, event);
        if let Some(next) = self.requests.get_mut(&id) {
            next.chunks = chunks;
        }
    }

    fn apply(&mut self, router: usize, id: u64, stream: usize, event: Event) {
        for effect in self.routers[router].apply(event, self.now) {
            match effect {
                Effect::Send(attempt) => {
                    let is_used =
                        |upstream: &&routing::Upstream| *upstream.name() == attempt.upstream;
                    let upstream = self.routers[router].upstreams().find(is_used);
                    let version = upstream.expect("a listed upstream").host().version.clone();
                    let request =
                        Request { stream, router, attempt: attempt.number, version, chunks: 0 };
                    self.requests.insert(id, request);
                }
                Effect::Relay(_) => self.deliver(id),
                Effect::FindStream { stream: key, .. } => {
                    let others = (0..ROUTERS).filter(|other| *other != router && !self.is_lossy);
                    let mut found =
                        others.map(|other| self.routers[other].find_stream(key, self.now));
                    let nothing = if self.is_lossy { Lookup::Unanswered } else { Lookup::Nowhere };
                    let lookup = found.find_map(|build| build).map_or(nothing, Lookup::Found);
                    self.apply(router, id, stream, Event::Found { id, lookup });
                }
                Effect::PublishBeginning { beginning, .. } if !self.is_lossy => {
                    for other in (0..ROUTERS).filter(|other| *other != router) {
                        self.routers[other].apply(Event::Begun(beginning.clone()), self.now);
                    }
                }
                Effect::Finish | Effect::Fail(_) | Effect::Abort(_) => {
                    self.requests.remove(&id);
                }
                _ => {}
            }
        }
    }

    /// The caller gets an event of the request's current upstream.
    fn deliver(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("a request in progress");
        request.chunks += 1;
        let stream = &mut self.streams[request.stream];
        stream.events += 1;
        if stream.begun_by.is_none() {
            stream.begun_by = Some(id);
            stream.begun_at = self.now;
        }
        let version = stream.version.get_or_insert_with(|| request.version.clone());
        assert_eq!(
            *version, request.version,
            "events of two versions in stream {}",
            request.stream
        );
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn the_events_of_a_stream_come_from_one_version(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
    }
}
