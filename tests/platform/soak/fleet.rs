//! A fleet of routers with its store and upstreams, and the faults injected into them.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::callers::REVOKED;
use crate::router::{KEY, Router, configuration, unused_host};
use crate::standin::{Action, Mode, Upstream};

/// Number of plain upstreams; the others are engines.
const PLAIN: usize = 3;

/// Body of requests that crash engines.
pub const FATAL: &str = "the work under which engines end";

/// The prompt part that crashes engines.
const FATAL_PART: &str = "fa7a1";

/// A fault to inject. Several may be active at once.
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
    BreakStreams,
    Configuration,
    SendFatal,
}

const FAULTS: [Fault; 17] = [
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
    Fault::BreakStreams,
    Fault::Configuration,
    Fault::SendFatal,
];

/// How to undo a fault.
#[derive(Debug)]
enum Undo {
    StartRouter(usize),
    WakeRouter(usize),
    StoreUp,
    StoreOlder,
    StartUpstream(usize),
    Entry(usize),
    Backoff(usize),
    Actions(usize),
}

/// A time in which a router was stopped, killed or suspended.
pub struct Outage {
    /// Index of the router.
    router: usize,
    from: Instant,
    to: Instant,
    /// Whether the router was asked to stop.
    is_planned: bool,
}

impl Outage {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to >= from
    }
}

/// Routers, their store and their upstreams.
pub struct Fleet {
    pub routers: Vec<Router>,
    /// The current instance of each upstream, by index.
    pub upstreams: Vec<Upstream>,
    /// The start number of each current instance.
    born: Vec<u64>,
    /// All instances of upstreams, including earlier ones.
    pub all_instances: Vec<Upstream>,
    host: String,
    version: u64,
    starts: u64,
    /// When the configuration that revokes the key was written.
    pub revoked_at: Option<Instant>,
    undo: Vec<(Instant, Undo)>,
    /// Indices of routers that are stopped, killed or suspended.
    unavailable: Vec<usize>,
    pub outages: Vec<Outage>,
    pub log: Vec<String>,
}

impl Fleet {
    pub fn start(routers: usize) -> Self {
        let host = unused_host();
        let upstreams: Vec<_> = (0..9).map(|index| start_instance(&host, index, 1)).collect();
        let first = Router::start_unready(&unused_host(), |store| {
            store.put("op/config", &configuration_with_keys(1, &[KEY, REVOKED]));
            for upstream in &upstreams {
                store.put(&upstream.key(), &entry(upstream, 1));
            }
        });
        first.wait_until("ready", || first.is_ready());
        let mut fleet = vec![first];
        for number in 1..routers {
            fleet.push(Router::join(&fleet[0].store, &format!("front-{}", number + 1)));
        }
        Self {
            routers: fleet,
            all_instances: upstreams.clone(),
            born: vec![1; upstreams.len()],
            upstreams,
            host,
            version: 1,
            starts: 1,
            revoked_at: None,
            undo: Vec::new(),
            unavailable: Vec::new(),
            outages: Vec::new(),
            log: Vec::new(),
        }
    }

    /// Injects a random fault.
    pub fn inject_fault(&mut self, random: &mut ChaCha8Rng) {
        let fault = FAULTS[random.random_range(0..FAULTS.len())];
        let router = random.random_range(0..self.routers.len());
        let index = random.random_range(0..self.upstreams.len());
        let duration = Duration::from_millis(random.random_range(100..2_000));
        self.log.push(format!("{fault:?} router {router} upstream {index} {duration:?}"));
        let until = Instant::now() + duration;
        let store = self.routers[0].store.clone();
        match fault {
            Fault::KillRouter => {
                if self.mark_unavailable(router, false) {
                    self.routers[router].kill();
                    self.undo.push((until, Undo::StartRouter(router)));
                }
            }
            Fault::StopRouter => {
                if self.mark_unavailable(router, true) {
                    self.routers[router].signal(Signal::SIGTERM);
                    // Callers keep using their connections until the process ends.
                    self.undo.push((until, Undo::StartRouter(router)));
                }
            }
            Fault::FreezeRouter => {
                if self.mark_unavailable(router, false) {
                    self.routers[router].signal(Signal::SIGSTOP);
                    self.undo.push((until, Undo::WakeRouter(router)));
                }
            }
            Fault::StoreBusy => self.set_store_mode(Mode::Busy, until),
            Fault::StoreSilent => self.set_store_mode(Mode::Silent, until),
            Fault::HistoryGone => store.compact(),
            Fault::StoreConnectionsSilent => store.silence_connections(),
            Fault::StoreOlder => {
                store.back_up();
                self.undo.push((until, Undo::StoreOlder));
            }
            Fault::EndUpstream => {
                self.upstreams[index].crash();
                self.undo.push((until, Undo::StartUpstream(index)));
            }
            Fault::RestartUpstream => {
                self.upstreams[index].crash();
                self.start_upstream(index);
            }
            Fault::ForeignEntry => {
                let text: String = (0..40).map(|_| random.random_range(' '..'~')).collect();
                store.put_text(&self.upstreams[index].key(), &text);
                store.put_text("servers/another", "{}");
                self.undo.push((until, Undo::Entry(index)));
            }
            Fault::AskForRest => {
                // Longer than the fault, so that the backoff lasts while the upstream serves again.
                let backoff = Duration::from_millis(random.random_range(2_500..6_000));
                self.upstreams[index].set_backoff(Some(backoff));
                self.undo.push((until, Undo::Backoff(index)));
            }
            Fault::LeaveByAnswers => {
                self.upstreams[index].announce_leaving();
                self.undo.push((until, Undo::StartUpstream(index)));
            }
            Fault::CrossAnswers => {
                self.upstreams[index].set_actions(&[Action::Crossed]);
                self.undo.push((until, Undo::Actions(index)));
            }
            Fault::BreakStreams => {
                let engine = PLAIN + index % (self.upstreams.len() - PLAIN);
                self.upstreams[engine].set_actions(&[Action::BrokenRest(1, 3, 30)]);
                self.undo.push((until, Undo::Actions(engine)));
            }
            Fault::Configuration => self.update_configuration(random.random_bool(0.5)),
            Fault::SendFatal => self.send_fatal(router, 2),
        }
    }

    /// Undoes the faults that are due, or all.
    pub fn undo_faults(&mut self, all: bool) {
        let now = Instant::now();
        for (at, undo) in std::mem::take(&mut self.undo) {
            if !all && at > now {
                self.undo.push((at, undo));
                continue;
            }
            match undo {
                Undo::StartRouter(router) => {
                    self.routers[router].wait_for_exit();
                    self.routers[router].restart();
                    self.mark_available(router);
                }
                Undo::WakeRouter(router) => {
                    self.routers[router].signal(Signal::SIGCONT);
                    self.mark_available(router);
                }
                Undo::StoreUp => self.routers[0].store.set_mode(Mode::Up),
                Undo::StoreOlder => self.restore_store(),
                Undo::StartUpstream(index) => self.start_upstream(index),
                Undo::Entry(index) => self.write_entry(index),
                Undo::Backoff(index) => self.upstreams[index].set_backoff(None),
                Undo::Actions(index) => self.upstreams[index].set_actions(&[default_action(index)]),
            }
        }
    }

    /// Revokes the second key for the rest of the run.
    pub fn revoke(&mut self) {
        self.version += 1;
        self.revoked_at = Some(Instant::now());
        self.write_configuration(5_000);
    }

    /// Sends fatal work to a router `times` times.
    pub fn send_fatal(&self, router: usize, times: usize) {
        for _ in 0..times {
            let callers = self.routers[router].caller_address();
            let limit = Duration::from_secs(2);
            let Some(mut caller) = crate::caller::Caller::try_connect(&callers, limit) else {
                continue;
            };
            let headers = crate::router::headers(&[("Attempt-Identifier", "fatal")]);
            caller.try_request("POST /stream/x", &headers, FATAL);
        }
    }

    /// Number of fatal requests that upstreams received, and of upstreams that received any.
    pub fn fatal_counts(&self) -> (usize, usize) {
        let count = |upstream: &Upstream| {
            upstream.requests().iter().filter(|request| request.body == FATAL.as_bytes()).count()
        };
        let counts: Vec<_> = self.all_instances.iter().map(count).collect();
        (counts.iter().sum(), counts.iter().filter(|count| **count > 0).count())
    }

    /// Sends requests with the fatal prompt part to a router, no two alike.
    pub fn send_fatal_part(&self, router: usize, times: usize) {
        for _ in 0..times {
            let number = self.fatal_part_counts().0;
            let callers = self.routers[router].caller_address();
            let limit = Duration::from_secs(2);
            let Some(mut caller) = crate::caller::Caller::try_connect(&callers, limit) else {
                continue;
            };
            let id = format!("part-{router}-{number}");
            let prompt = format!("5157:10,{FATAL_PART}:5,{number:x}:1");
            let headers = [("Attempt-Identifier", &*id), ("Prompt-Prefix", &prompt)];
            caller.try_request("POST /stream/x", &crate::router::headers(&headers), &id);
        }
    }

    /// Like [`Self::fatal_counts`], for requests with the fatal prompt part.
    pub fn fatal_part_counts(&self) -> (usize, usize) {
        let count = |upstream: &Upstream| {
            let requests = upstream.requests();
            requests.iter().filter(|request| request.has_shared_part(FATAL_PART)).count()
        };
        let counts: Vec<_> = self.all_instances.iter().map(count).collect();
        (counts.iter().sum(), counts.iter().filter(|count| **count > 0).count())
    }

    /// Starts all engines again.
    pub fn restart_engines(&mut self) {
        for index in PLAIN..self.upstreams.len() {
            self.start_upstream(index);
        }
    }

    /// Marks a router as unavailable; returns whether it was available.
    fn mark_unavailable(&mut self, router: usize, is_planned: bool) -> bool {
        let is_unavailable = self.unavailable.contains(&router);
        if !is_unavailable {
            self.unavailable.push(router);
            // The end is set when the router is available again.
            let now = Instant::now();
            self.outages.push(Outage { router, from: now, to: now, is_planned });
        }
        !is_unavailable
    }

    /// Marks a router as available and records the end of its unavailability.
    fn mark_available(&mut self, router: usize) {
        self.unavailable.retain(|unavailable| *unavailable != router);
        let last = self.outages.iter_mut().rev().find(|outage| outage.router == router);
        last.expect("the router was unavailable").to = Instant::now();
    }

    /// Whether a router was stopped, killed or suspended between two times.
    pub fn was_unavailable(&self, router: &str, from: Instant, to: Instant) -> bool {
        let is_of_router = |outage: &&Outage| outage.router.to_string() == router;
        self.outages.iter().filter(is_of_router).any(|outage| outage.overlaps(from, to))
    }

    /// Whether a router was killed or suspended between two times.
    pub fn was_disturbed(&self, router: usize, from: Instant, to: Instant) -> bool {
        let unplanned = |outage: &&Outage| outage.router == router && !outage.is_planned;
        self.outages.iter().filter(unplanned).any(|outage| outage.overlaps(from, to))
    }

    fn set_store_mode(&mut self, mode: Mode, until: Instant) {
        self.routers[0].store.set_mode(mode);
        self.undo.push((until, Undo::StoreUp));
    }

    /// Writes a new version of the configuration with one of two route timeouts.
    fn update_configuration(&mut self, longer: bool) {
        self.version += 1;
        self.write_configuration(if longer { 5_000 } else { 4_000 });
    }

    fn write_configuration(&self, timeout_ms: u64) {
        let keys: &[&str] = if self.revoked_at.is_some() { &[KEY] } else { &[KEY, REVOKED] };
        let mut changed = configuration_with_keys(self.version, keys);
        changed["routes"][0]["timeoutMs"] = timeout_ms.into();
        self.routers[0].store.put("op/config", &changed);
    }

    /// Restores the store's backup and writes the configuration and upstreams' entries again.
    fn restore_store(&mut self) {
        self.routers[0].store.restore_backup();
        self.write_configuration(5_000);
        for index in 0..self.upstreams.len() {
            self.write_entry(index);
        }
    }

    /// Starts the upstream at `index` again, with the same name at another address.
    fn start_upstream(&mut self, index: usize) {
        self.starts += 1;
        self.born[index] = self.starts;
        self.upstreams[index] = start_instance(&self.host, index, self.starts);
        self.all_instances.push(self.upstreams[index].clone());
        self.write_entry(index);
    }

    fn write_entry(&self, index: usize) {
        let upstream = &self.upstreams[index];
        self.routers[0].store.put(&upstream.key(), &entry(upstream, self.born[index]));
    }
}

/// Starts the upstream of this index: the first [`PLAIN`] are plain, the others engines of two versions
/// of the software. An engine may start again with the other version.
fn start_instance(host: &str, index: usize, start: u64) -> Upstream {
    let service = if index < PLAIN { "plain" } else { "engine" };
    let is_even = (index as u64 + start).is_multiple_of(2);
    let version = if is_even { "v1" } else { "v2" };
    let upstream = Upstream::start_version(host, &format!("i-{index}"), service, version);
    upstream.set_actions(&[default_action(index)]);
    if index >= PLAIN {
        upstream.set_fatal(FATAL);
        upstream.set_fatal_part(FATAL_PART);
    }
    upstream
}

/// The action of the upstream at `index` without faults.
fn default_action(index: usize) -> Action {
    if index < PLAIN { Action::Delayed(40, 200, "whole") } else { Action::Rest(1, 5, 30) }
}

fn entry(upstream: &Upstream, born: u64) -> Value {
    let mut entry = upstream.entry("ready", 1);
    entry["born"] = born.into();
    entry
}

fn configuration_with_keys(version: u64, keys: &[&str]) -> Value {
    let mut configuration = configuration(version);
    configuration["tenants"] = json!([{ "name": "workspace-one", "apiKeys": keys }]);
    configuration
}
