//! A fleet of routers with its platform, and what happens to them.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::callers::REVOKED;
use crate::router::{KEY, Router, configuration, own_host};
use crate::standin::{Act, Mode, Upstream};

/// The work under which engines end.
pub const FATAL: &str = "the work under which engines end";

/// What may happen. Several may be under way at a time.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillRouter,
    StopRouter,
    FreezeRouter,
    StoreBusy,
    StoreSilent,
    HistoryGone,
    StoreConnectionsSilent,
    StoreOlder,
    EndUpstream,
    RestartUpstream,
    ForeignEntry,
    AskForRest,
    LeaveByAnswers,
    CrossAnswers,
    Configuration,
    SendFatal,
}

const FAULTS: [Fault; 16] = [
    Fault::KillRouter,
    Fault::StopRouter,
    Fault::FreezeRouter,
    Fault::StoreBusy,
    Fault::StoreSilent,
    Fault::HistoryGone,
    Fault::StoreConnectionsSilent,
    Fault::StoreOlder,
    Fault::EndUpstream,
    Fault::RestartUpstream,
    Fault::ForeignEntry,
    Fault::AskForRest,
    Fault::LeaveByAnswers,
    Fault::CrossAnswers,
    Fault::Configuration,
    Fault::SendFatal,
];

/// What is to be undone, and when.
#[derive(Debug)]
enum Undo {
    StartRouter(usize),
    WakeRouter(usize),
    StoreUp,
    StoreOlder,
    StartUpstream(usize),
    Entry(usize),
    Rest(usize),
    Acts(usize),
}

/// The fleet.
pub struct Fleet {
    pub routers: Vec<Router>,
    /// The upstreams as they are now, by place.
    pub upstreams: Vec<Upstream>,
    /// The number of each one's start.
    born: Vec<u64>,
    /// All starts of upstreams that there have been.
    pub all: Vec<Upstream>,
    host: String,
    version: u64,
    starts: u64,
    /// When the platform took the configuration that takes the key away.
    pub revoked: Option<Instant>,
    undo: Vec<(Instant, Undo)>,
    /// Routers that are stopped, killed or frozen.
    away: Vec<usize>,
    /// Since when and until when routers were.
    pub disturbed: Vec<(usize, Instant, Instant)>,
    pub log: Vec<String>,
}

impl Fleet {
    pub fn start(routers: usize) -> Self {
        let host = own_host();
        let upstreams: Vec<_> = (0..9).map(|place| upstream(&host, place)).collect();
        let first = Router::start_bare(&own_host(), |store| {
            store.put("op/config", &with_keys(1, &[KEY, REVOKED]));
            for upstream in &upstreams {
                store.put(&upstream.key(), &entry(upstream, 1));
            }
        });
        first.until("ready", || first.is_ready());
        let mut fleet = vec![first];
        for number in 1..routers {
            fleet.push(Router::join(&fleet[0].store, &format!("front-{}", number + 1)));
        }
        Self {
            routers: fleet,
            all: upstreams.clone(),
            born: vec![1; upstreams.len()],
            upstreams,
            host,
            version: 1,
            starts: 1,
            revoked: None,
            undo: Vec::new(),
            away: Vec::new(),
            disturbed: Vec::new(),
            log: Vec::new(),
        }
    }

    /// Has something happen.
    pub fn disturb(&mut self, random: &mut ChaCha8Rng) {
        let fault = FAULTS[random.random_range(0..FAULTS.len())];
        let router = random.random_range(0..self.routers.len());
        let place = random.random_range(0..self.upstreams.len());
        let lasts = Duration::from_millis(random.random_range(100..2_000));
        self.log.push(format!("{fault:?} router {router} upstream {place} {lasts:?}"));
        let until = Instant::now() + lasts;
        let store = self.routers[0].store.clone();
        match fault {
            Fault::KillRouter => {
                if self.take_away(router) {
                    self.routers[router].kill();
                    self.undo.push((until, Undo::StartRouter(router)));
                }
            }
            Fault::StopRouter => {
                if self.take_away(router) {
                    self.routers[router].signal(Signal::SIGTERM);
                    // Its callers use their connections until it is gone.
                    self.undo.push((until, Undo::StartRouter(router)));
                }
            }
            Fault::FreezeRouter => {
                if self.take_away(router) {
                    self.routers[router].signal(Signal::SIGSTOP);
                    self.undo.push((until, Undo::WakeRouter(router)));
                }
            }
            Fault::StoreBusy => self.store_fails(Mode::Busy, until),
            Fault::StoreSilent => self.store_fails(Mode::Silent, until),
            Fault::HistoryGone => store.forget(),
            Fault::StoreConnectionsSilent => store.silence_connections(),
            Fault::StoreOlder => {
                store.copy();
                self.undo.push((until, Undo::StoreOlder));
            }
            Fault::EndUpstream => {
                self.upstreams[place].crash();
                self.undo.push((until, Undo::StartUpstream(place)));
            }
            Fault::RestartUpstream => {
                self.upstreams[place].crash();
                self.start_upstream(place);
            }
            Fault::ForeignEntry => {
                let text: String = (0..40).map(|_| random.random_range(' '..'~')).collect();
                store.put_text(&self.upstreams[place].key(), &text);
                store.put_text("servers/another", "{}");
                self.undo.push((until, Undo::Entry(place)));
            }
            Fault::AskForRest => {
                // One longer than the fault, so that it is kept while requests are served again.
                let rest = Duration::from_millis(random.random_range(2_500..6_000));
                self.upstreams[place].set_rest(Some(rest));
                self.undo.push((until, Undo::Rest(place)));
            }
            Fault::LeaveByAnswers => {
                self.upstreams[place].leave();
                self.undo.push((until, Undo::StartUpstream(place)));
            }
            Fault::CrossAnswers => {
                self.upstreams[place].set(&[Act::Crossed]);
                self.undo.push((until, Undo::Acts(place)));
            }
            Fault::Configuration => self.configure(random.random_bool(0.5)),
            Fault::SendFatal => self.send_fatal(router, 2),
        }
    }

    /// Undoes what is due.
    pub fn mend(&mut self, all: bool) {
        let now = Instant::now();
        for (at, undo) in std::mem::take(&mut self.undo) {
            if !all && at > now {
                self.undo.push((at, undo));
                continue;
            }
            match undo {
                Undo::StartRouter(router) => {
                    self.routers[router].ended();
                    self.routers[router].start_again();
                    self.bring_back(router);
                }
                Undo::WakeRouter(router) => {
                    self.routers[router].signal(Signal::SIGCONT);
                    self.bring_back(router);
                }
                Undo::StoreUp => self.routers[0].store.set_mode(Mode::Up),
                Undo::StoreOlder => self.bring_store_back(),
                Undo::StartUpstream(place) => self.start_upstream(place),
                Undo::Entry(place) => self.list(place),
                Undo::Rest(place) => self.upstreams[place].set_rest(None),
                Undo::Acts(place) => self.upstreams[place].set(&[usual(place)]),
            }
        }
    }

    /// Takes the second key away, for good.
    pub fn revoke(&mut self) {
        self.version += 1;
        self.revoked = Some(Instant::now());
        self.write_configuration(5_000);
    }

    /// Sends the fatal work `times` times to a router.
    pub fn send_fatal(&self, router: usize, times: usize) {
        for _ in 0..times {
            let callers = self.routers[router].callers();
            let limit = Duration::from_secs(2);
            let Some(mut caller) = crate::caller::Caller::try_connect(&callers, limit) else {
                continue;
            };
            let headers = crate::router::headers(&[("Attempt-Identifier", "fatal")]);
            caller.try_ask("POST /stream/x", &headers, FATAL);
        }
    }

    /// How often upstreams got the fatal work, and how many had ended under it.
    pub fn fatal(&self) -> (usize, usize) {
        let got =
            |it: &Upstream| it.requests().iter().filter(|it| it.body == FATAL.as_bytes()).count();
        let got: Vec<_> = self.all.iter().map(got).collect();
        (got.iter().sum(), got.iter().filter(|it| **it > 0).count())
    }

    fn take_away(&mut self, router: usize) -> bool {
        let stays = self.away.contains(&router);
        if !stays {
            self.away.push(router);
            // Until it is back; then this is set to when that was.
            self.disturbed.push((router, Instant::now(), Instant::now()));
        }
        !stays
    }

    fn bring_back(&mut self, router: usize) {
        self.away.retain(|it| *it != router);
        let last = self.disturbed.iter_mut().rev().find(|it| it.0 == router);
        last.expect("it was away").2 = Instant::now();
    }

    /// Whether a router was stopped, killed or frozen between two times.
    pub fn was_disturbed(&self, router: &str, from: Instant, to: Instant) -> bool {
        let of_it = |it: &&(usize, Instant, Instant)| it.0.to_string() == router;
        self.disturbed.iter().filter(of_it).any(|it| it.1 <= to && it.2 >= from)
    }

    fn store_fails(&mut self, mode: Mode, until: Instant) {
        self.routers[0].store.set_mode(mode);
        self.undo.push((until, Undo::StoreUp));
    }

    fn configure(&mut self, longer: bool) {
        self.version += 1;
        self.write_configuration(if longer { 5_000 } else { 4_000 });
    }

    fn write_configuration(&self, timeout_ms: u64) {
        let keys: &[&str] = if self.revoked.is_some() { &[KEY] } else { &[KEY, REVOKED] };
        let mut changed = with_keys(self.version, keys);
        changed["routes"][0]["timeoutMs"] = timeout_ms.into();
        self.routers[0].store.put("op/config", &changed);
    }

    /// The store comes back from its copy; the operator and the upstreams write again.
    fn bring_store_back(&mut self) {
        self.routers[0].store.come_back_older();
        self.write_configuration(5_000);
        for place in 0..self.upstreams.len() {
            self.list(place);
        }
    }

    /// Starts the upstream at `place` again, under its name at another address.
    fn start_upstream(&mut self, place: usize) {
        self.starts += 1;
        self.born[place] = self.starts;
        self.upstreams[place] = upstream(&self.host, place);
        self.all.push(self.upstreams[place].clone());
        self.list(place);
    }

    fn list(&self, place: usize) {
        let upstream = &self.upstreams[place];
        self.routers[0].store.put(&upstream.key(), &entry(upstream, self.born[place]));
    }
}

/// The first three are plain, the others engines.
fn upstream(host: &str, place: usize) -> Upstream {
    let service = if place < 3 { "plain" } else { "engine" };
    let upstream = Upstream::start(host, &format!("i-{place}"), service);
    upstream.set(&[usual(place)]);
    if place >= 3 {
        upstream.set_fatal(FATAL);
    }
    upstream
}

/// What the upstream at `place` does with requests in calm.
fn usual(place: usize) -> Act {
    if place < 3 { Act::Late(40, 200, "whole") } else { Act::Events(1, 5, 30) }
}

fn entry(upstream: &Upstream, born: u64) -> Value {
    let mut entry = upstream.entry("ready", 1);
    entry["born"] = born.into();
    entry
}

fn with_keys(version: u64, keys: &[&str]) -> Value {
    let mut configuration = configuration(version);
    configuration["tenants"] = json!([{ "name": "workspace-one", "apiKeys": keys }]);
    configuration
}
