//! What a router believes about one upstream.

use std::sync::Arc;

use clock::Millis;
use intents::Labels;
use pace::Pace;
use placement::Pool;
use wire::Status;

use crate::beliefs::cold::Cold;
use crate::beliefs::health::{Health, Outcomes};
use crate::beliefs::outlook::{Outlook, count};
use crate::beliefs::word::Word;
use crate::selection::ranking::POOL_LABEL;
use crate::{Effect, Host, Settings};

/// The most doublings of the time that a failing upstream is left alone.
const MAX_DOUBLINGS: u32 = 16;

/// After how many failures in a row an upstream gets one request at a time until
/// it answers. One broken connection says little.
pub(crate) const FAILURES: u32 = 2;

/// From how many tokens a copy is worth asking for where the source has failed. A
/// copy from one that is gone takes 300 ms, in which engines read 14,000 to 33,000
/// tokens; most that have failed are not gone.
const WORTH_A_DOUBT: u64 = 4_000;

/// Why an upstream is passed over that failed lately.
pub(crate) const SUSPECT: &str = "suspect";

/// Why an upstream is passed over that fails more of its requests than its pool.
pub(crate) const POOR: &str = "fails more than its pool";

/// Why an upstream is passed over whose failure domain is to take nothing.
pub(crate) const EVACUATED: &str = "evacuated";

/// Why an upstream is passed over that is cold and takes no more of this router for now.
pub(crate) const COLD: &str = "cold";

/// Why an upstream is passed over that has asked this router for rest.
pub(crate) const RESTS: &str = "asked for rest";

/// Why an upstream is passed over whose room is left to other routers for now.
pub(crate) const DEALT: &str = "its room is dealt out";

/// Why an upstream is passed over whose bound leaves no room.
pub(crate) const OVER_BOUND: &str = "over the load bound";

/// A router's view of an upstream; it may be wrong, and the sidecar has the
/// last word.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub(crate) host: Host,
    pub(crate) labels: Labels,
    pub(crate) incarnation: u64,
    /// Whether the last that was heard of the connection is good.
    pub(crate) connected: bool,
    pub(crate) status: Status,
    /// This router's own load there, where it is reached directly.
    pub(crate) own: u64,
    /// The load of all other routers there, as they tell themselves.
    pub(crate) peers: u64,
    /// The part of both whose answers have not begun.
    pub(crate) own_waiting: u64,
    pub(crate) peers_waiting: u64,
    /// The load that an answer to this router told, the part of it that waits, and when,
    /// until others know.
    pub(crate) heard_load: Option<(u64, u64, Millis)>,
    /// The load of all other routers there, as an answer told last, and when.
    others: (u64, Millis),
    /// The part of it that waits.
    others_waiting: u64,
    pub(crate) heard: Option<Millis>,
    pub(crate) failures: u32,
    /// Whether the last that was tried of opening a connection succeeded.
    pub(crate) reachable: bool,
    pub(crate) suspect_until: Millis,
    /// How its latest requests ended.
    pub(crate) health: Health,
    /// Whether its failure domain is to take nothing.
    pub(crate) evacuated: bool,
    /// How cold it is.
    pub(crate) cold: Cold,
    /// What it has said of itself with its answers.
    pub(crate) word: Word,
    /// How fast it is.
    pub(crate) pace: Pace,
    /// What it told this router of that, and when, until others know.
    pub(crate) heard_pace: Option<(u32, Millis)>,
}

impl Upstream {
    pub(crate) fn new(host: Host, labels: Labels) -> Self {
        Self {
            host,
            labels,
            incarnation: 0,
            connected: false,
            status: Status::default(),
            own: 0,
            peers: 0,
            own_waiting: 0,
            peers_waiting: 0,
            heard_load: None,
            others: (0, Millis::ZERO),
            others_waiting: 0,
            heard: None,
            failures: 0,
            reachable: true,
            suspect_until: Millis::ZERO,
            health: Health::default(),
            evacuated: false,
            cold: Cold::default(),
            word: Word::default(),
            pace: Pace::default(),
            heard_pace: None,
        }
    }

    /// The upstream's name.
    pub fn name(&self) -> &Arc<str> {
        &self.host.name
    }

    /// Its line of the platform's list.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// The pool that it belongs to.
    pub(crate) fn pool(&self) -> Arc<str> {
        self.labels.get(POOL_LABEL).cloned().unwrap_or_default()
    }

    /// The load it last told of, in tokens.
    pub fn load(&self) -> u64 {
        self.status.load
    }

    /// The life of the sidecar last met; zero before the first.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether it was met and is not being left alone.
    pub fn is_up(&self, now: Millis) -> bool {
        self.incarnation > 0 && !self.is_suspect(now) && !self.is_leaving()
    }

    /// Whether it leaves, by the platform's list or its own word.
    pub fn is_leaving(&self) -> bool {
        self.host.leaving || self.status.leaving || self.word.leaves()
    }

    /// For how much longer it wants nothing of this router.
    pub fn rest(&self, now: Millis) -> Millis {
        self.word.rest(now)
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        self.suspect_until > now
    }

    /// Whether it has failed repeatedly and has a request that must show first
    /// whether it is back.
    fn is_on_trial(&self) -> bool {
        self.failures >= FAILURES && self.own > 0
    }

    /// Whether another upstream may copy `tokens` from here. One that has failed may
    /// be gone, and then the copy holds the request up: of 540 requests in the second
    /// after a crash, 10 to 20 were late for that. Few tokens are read sooner.
    pub(crate) fn may_be_copied_from(&self, tokens: u64) -> bool {
        self.reachable && (self.failures == 0 || tokens >= WORTH_A_DOUBT)
    }

    /// Takes what a sidecar says of itself; the word of an earlier life than
    /// known is ignored.
    pub(crate) fn hear(&mut self, status: Status, now: Millis) {
        if status.incarnation < self.incarnation {
            return;
        }
        self.incarnation = status.incarnation;
        self.status = status;
        self.heard = Some(now);
        self.revive();
    }

    /// The load to reckon with. A sidecar's word stands until the next one. A
    /// router that reaches the upstream directly counts its own requests.
    pub(crate) fn load_at(&self, outlook: &Outlook) -> u64 {
        let (others, told) = self.others;
        if outlook.path.has_sidecars() {
            return self.status.load;
        }
        if outlook.known {
            return self.own + self.peers;
        }
        self.own + whole(outlook.others(count(self.own), count(others), told))
    }

    /// When an answer last told its load.
    pub(crate) fn heard_at(&self) -> Millis {
        self.others.1
    }

    /// Whether it has just started.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        self.cold.is_cold(now)
    }

    /// The load that counts in the mean of its pool.
    pub(crate) fn load_in_mean(&self, outlook: &Outlook) -> u64 {
        let (others, told) = self.others;
        if !outlook.path.has_sidecars() && outlook.told && !outlook.known {
            return self.own + whole(outlook.stands(count(others), told));
        }
        self.load_at(outlook)
    }

    /// Takes the load that an answer told at `at`, unless a later one is known.
    /// Returns whether it was new.
    pub(crate) fn tell(&mut self, requests: u64, waiting: u64, at: Millis) -> bool {
        let new = at >= self.others.1;
        if new {
            self.others = (requests.saturating_sub(self.own), at);
            self.others_waiting = waiting.saturating_sub(self.own_waiting);
        }
        new
    }

    /// Whether an answer, or a router that got one, has told of its load.
    pub(crate) fn tells_load(&self) -> bool {
        self.others.1 > Millis::ZERO || self.heard_load.is_some()
    }

    /// The requests there whose answers have not begun: what a further one waits for. None
    /// where neither the other routers nor answers tell of theirs: a router's own requests
    /// say little then, and calls to plain services were refused by them that had room.
    pub(crate) fn waiting_at(&self, outlook: &Outlook) -> Option<u64> {
        let (_, told) = self.others;
        if outlook.known {
            return Some(self.own_waiting + self.peers_waiting);
        }
        let others = whole(outlook.left(count(self.others_waiting), told));
        (told > Millis::ZERO).then_some(self.own_waiting + others)
    }

    /// The answer of a request there has begun, or will not.
    pub(crate) fn begin_answer(&mut self, weight: u64) {
        self.own_waiting = self.own_waiting.saturating_sub(weight);
    }

    /// Counts a request that is sent there.
    pub(crate) fn take(&mut self, weight: u64) {
        self.own += weight;
        self.own_waiting += weight;
        self.status.load += weight;
        self.status.pool.load += weight;
    }

    /// Counts a request that has ended there.
    pub(crate) fn release(&mut self, weight: u64) {
        self.own = self.own.saturating_sub(weight);
    }

    /// The connection is good.
    pub(crate) fn revive(&mut self) {
        self.connected = true;
        self.failures = 0;
        self.reachable = true;
        self.suspect_until = Millis::ZERO;
    }

    /// Takes a line of the platform's list; a new address is a new process.
    pub(crate) fn list(&mut self, host: Host, labels: Labels) {
        if host.address != self.host.address {
            self.connected = false;
        }
        self.host = host;
        self.labels = labels;
    }

    /// The line for the log once it is left alone.
    pub(crate) fn suspicion(&self) -> Effect {
        Effect::Suspect {
            upstream: self.host.name.clone(),
            failures: self.failures,
            reachable: self.reachable,
            until: self.suspect_until,
        }
    }

    pub(crate) fn miss(&mut self, settings: &Settings, jitter: f64, now: Millis) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let base = settings.suspect_ms.saturating_mul(1 << doublings).min(settings.suspect_max_ms);
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a back-off is a few seconds"
        )]
        let pause = (base as f64 * (0.5 + jitter / 2.0)) as u64;
        self.connected = false;
        self.failures = self.failures.saturating_add(1);
        self.suspect_until = now + Millis(pause);
    }

    /// Why a request of `weight` should not be tried here now, if so. `outcomes` are
    /// those of the pool, where upstreams are compared by them.
    pub(crate) fn objection(
        &self,
        weight: u64,
        pool: Option<Pool>,
        outcomes: Option<Outcomes>,
        settings: &Settings,
        outlook: &Outlook,
    ) -> Option<&'static str> {
        let now = outlook.now;
        if self.is_leaving() {
            return Some("leaving");
        }
        if self.evacuated {
            return Some(EVACUATED);
        }
        if self.word.rests(now) {
            return Some(RESTS);
        }
        if self.cold.is_cold(now) && (!outlook.takes_part || self.cold.is_used_up(now)) {
            return Some(COLD);
        }
        if self.is_suspect(now) || self.is_on_trial() {
            return Some(SUSPECT);
        }
        let told = self.heard.is_some_and(|heard| heard.until(now).0 <= settings.fresh_ms);
        let fresh = pool.is_some() || told;
        let pool = pool.unwrap_or(self.status.pool);
        let load = self.load_at(outlook);
        let bound = if outlook.known { settings.known_bound } else { settings.bound };
        let over = !bound.admits(load, weight, pool);
        if fresh && over {
            return Some(OVER_BOUND);
        }
        if outcomes.is_some_and(|pool| self.health.outcomes(now).are_poor(pool)) {
            return Some(POOR);
        }
        None
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "loads are small and not negative"
)]
fn whole(load: f64) -> u64 {
    load.round() as u64
}
