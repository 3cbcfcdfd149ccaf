//! What a router reckons with that reaches its upstreams directly: the load that
//! other routers bring, of which it hears only with its own answers.

use clock::Millis;

use crate::{Path, Settings};

/// After how long what an answer told of other routers' requests counts half, in
/// milliseconds. Streams of the sites take 0.5 to 1 s.
const HALF_LIFE_MS: f64 = 700.0;

/// How long what was told of a load stands in the mean of a pool. Routers hand on what
/// answers told each 400 ms, and an upstream with any load is heard of at least that often.
const STANDS: Millis = Millis(1_000);

/// How much the latest answer counts in the mean that answers tell of. At ten
/// answers a second the mean is about a second old.
const NEWEST: f64 = 0.1;

/// How alike upstreams are taken to be before anything is heard of one: the
/// shape of a gamma distribution of what comes to them. One is a wide spread, as
/// some prompts are asked for far more than others.
const SHAPE: f64 = 0.4;

/// The point of view of a router at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub path: Path,
    pub now: Millis,
    /// How many routers share the upstreams.
    pub routers: f64,
    /// What tells this router from the others, once it is known.
    pub router_key: Option<u64>,
    /// The load of an upstream of the pool on the mean, as answers tell it.
    pub mean_load: f64,
    /// Whether other routers tell their loads.
    pub loads_known: bool,
    /// Whether other routers tell what answers tell them of loads.
    pub observations_shared: bool,
    /// Whether this router's part of what cold upstreams bear counts.
    pub quota_valid: bool,
}

impl Estimate {
    /// Whether what was heard of the room of upstreams is dealt out among the routers: all
    /// hear of it alike, and none of what the others send.
    pub(crate) fn is_allocating(&self, settings: &Settings) -> bool {
        let counts = self.observations_shared && !self.loads_known && !self.path.has_sidecars();
        settings.mechanisms.dealt_room && counts && self.router_key.is_some()
    }

    /// How many routers share the upstreams.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a whole number of routers"
    )]
    pub(crate) fn router_count(&self) -> u64 {
        self.routers.max(1.0) as u64
    }

    /// The load that other routers have at an upstream, where this router has
    /// `own`, and `told` at `then` is the latest that was heard.
    ///
    /// What was heard fades into what is to be expected: the more of this
    /// router's requests go there, the more of the others' do.
    pub(crate) fn other_load(&self, own: f64, told: f64, then: Millis) -> f64 {
        let fresh = self.fresh(then);
        fresh * told + (1.0 - fresh) * self.expected(own)
    }

    /// What is left of the waiting that an answer told of at `then`, where all routers tell
    /// what they hear: an upstream of which nothing is heard has little.
    pub(crate) fn remaining(&self, told: f64, then: Millis) -> f64 {
        self.fresh(then) * told
    }

    /// The load of others that counts in the mean of a pool: what was told at `then`, which
    /// stands for a while and then fades to nothing.
    ///
    /// With the others' expected load in its place, upstreams that are new or back and have
    /// nothing yet raise the mean and with it the load bound: after 45 in 100 had come back,
    /// 282 of 6,732 requests within 5 s went beyond the rule.
    pub(crate) fn load_for_mean(&self, told: f64, then: Millis) -> f64 {
        self.fresh(then + STANDS) * told
    }

    /// How much of what was heard at `then` still counts.
    fn fresh(&self, then: Millis) -> f64 {
        0.5_f64.powf(millis_to_f64(then.until(self.now)) / HALF_LIFE_MS)
    }

    fn expected(&self, own: f64) -> f64 {
        if self.mean_load <= 0.0 {
            return 0.0;
        }
        let rate = (SHAPE + own) / (SHAPE * self.routers / self.mean_load + 1.0);
        (self.routers - 1.0) * rate
    }
}

/// The mean that answers tell of, after one more tells of `load`. The request
/// that was answered is left out: it would not be there without the answer.
pub(crate) fn update_mean(mean: f64, load: u64) -> f64 {
    mean + NEWEST * (to_f64(load.saturating_sub(1)) - mean)
}

#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^53")]
pub(crate) fn to_f64(load: u64) -> f64 {
    load as f64
}

#[expect(clippy::cast_precision_loss, reason = "ages stay far below 2^53")]
pub(crate) fn millis_to_f64(age: Millis) -> f64 {
    age.0 as f64
}
