//! How fast upstreams are, in general and at the moment.
//!
//! The load pattern: upstreams of one pool differ in speed, and each is slower for moments,
//! as others work on its host. Upstreams tell how long work takes them, as a percentage of the
//! usual time; the figure changes many times a second, and a router hears it late. So what was
//! told last counts for as long as a moment lasts and fades into what the upstream usually tells.

use clock::Millis;

/// The percentage that an upstream tells when work takes as long as usual.
pub const NOMINAL_PERCENT: u32 = 100;

/// The least and the most that is believed, as percentages: what is beyond is no pace but a
/// fault of the upstream, which the outcomes of its requests tell better.
const LEAST: u32 = 20;
const MOST: u32 = 1_000;

/// How much the latest figure counts in the usual one, if it is lower, and if it is higher: the
/// usual pace is the one between the slow moments.
const FASTER: f64 = 0.2;
const SLOWER: f64 = 0.02;

/// After how long a figure counts half beside the usual one, in milliseconds. A figure that
/// changes many times a second says little of the next second.
const HALF_LIFE_MS: f64 = 200.0;

/// The pace of one upstream, as one router knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    told: Option<Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    /// The pace between slow moments, as a multiple of the usual time.
    usual: f64,
    /// The latest figure, the same way, and when it was told.
    latest: f64,
    at: Millis,
}

impl Pace {
    /// Takes the percentage of the usual time that work took the upstream at `at`; one that was
    /// told earlier than the latest says nothing.
    pub fn record(&mut self, percent: u32, at: Millis) {
        let latest = multiple(percent);
        let Some(known) = self.told else {
            self.told = Some(Told { usual: latest, latest, at });
            return;
        };
        if at < known.at {
            return;
        }
        let part = if latest < known.usual { FASTER } else { SLOWER };
        let usual = known.usual + part * (latest - known.usual);
        self.told = Some(Told { usual, latest, at });
    }

    /// How many times the usual time work is expected to take at `now`: 1 where nothing was
    /// told.
    pub fn factor(&self, now: Millis) -> f64 {
        let Some(known) = self.told else { return 1.0 };
        #[expect(clippy::cast_precision_loss, reason = "ages stay far below 2^53")]
        let age = known.at.until(now).0 as f64;
        let fresh = 0.5_f64.powf(age / HALF_LIFE_MS);
        known.usual + fresh * (known.latest - known.usual)
    }

    /// How long an answer takes to begin that would take `base_ms` at the usual pace without a
    /// queue, and would wait for `wait_ms` beyond that: the time beyond `base_ms`.
    pub fn expected_wait_ms(&self, base_ms: f64, wait_ms: f64, now: Millis) -> f64 {
        let factor = self.factor(now);
        (factor * (base_ms + wait_ms) - base_ms).max(0.0)
    }
}

fn multiple(percent: u32) -> f64 {
    f64::from(percent.clamp(LEAST, MOST)) / f64::from(NOMINAL_PERCENT)
}
