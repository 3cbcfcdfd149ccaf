//! What a router reckons with that reaches its upstreams directly: the load that
//! other routers bring, of which it hears only with its own answers.

use clock::Millis;

use crate::Path;

/// After how long what an answer told of other routers' requests counts half, in
/// milliseconds. Streams of the sites take 0.5 to 1 s.
const HALF_LIFE_MS: f64 = 700.0;

/// How much the latest answer counts in the mean that answers tell of. At ten
/// answers a second the mean is about a second old.
const NEWEST: f64 = 0.1;

/// How alike upstreams are taken to be before anything is heard of one: the
/// shape of a gamma distribution of what comes to them. One is a wide spread, as
/// some prompts are asked for far more than others.
const SHAPE: f64 = 0.4;

/// The point of view of a router at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outlook {
    pub path: Path,
    pub now: Millis,
    /// How many routers share the upstreams.
    pub routers: f64,
    /// The load of an upstream of the pool on the mean, as answers tell it.
    pub mean: f64,
    /// Whether other routers tell their loads.
    pub known: bool,
}

impl Outlook {
    /// The load that other routers have at an upstream, where this router has
    /// `own`, and `told` at `then` is the latest that was heard.
    ///
    /// What was heard fades into what is to be expected: the more of this
    /// router's requests go there, the more of the others' do.
    pub(crate) fn others(&self, own: f64, told: f64, then: Millis) -> f64 {
        let fresh = 0.5_f64.powf(ms(then.until(self.now)) / HALF_LIFE_MS);
        fresh * told + (1.0 - fresh) * self.expected(own)
    }

    fn expected(&self, own: f64) -> f64 {
        if self.mean <= 0.0 {
            return 0.0;
        }
        let rate = (SHAPE + own) / (SHAPE * self.routers / self.mean + 1.0);
        (self.routers - 1.0) * rate
    }
}

/// The mean that answers tell of, after one more tells of `load`. The request
/// that was answered is left out: it would not be there without the answer.
pub(crate) fn average(mean: f64, load: u64) -> f64 {
    mean + NEWEST * (count(load.saturating_sub(1)) - mean)
}

#[expect(clippy::cast_precision_loss, reason = "loads stay far below 2^53")]
pub(crate) fn count(load: u64) -> f64 {
    load as f64
}

#[expect(clippy::cast_precision_loss, reason = "ages stay far below 2^53")]
fn ms(age: Millis) -> f64 {
    age.0 as f64
}
