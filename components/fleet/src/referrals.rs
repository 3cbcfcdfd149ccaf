//! The routers to which one was referred by those that have enough others to answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Millis;
use edge::Peer;

/// How long a router is not asked again that has enough others to answer.
const FULL: Millis = Millis(5_000);

/// How many of those to which a router was referred may tell it nothing until it asks anew those
/// that referred it.
const VAIN: usize = 2;

/// By how much longer it waits with that each time until somebody tells it something.
const FURTHER: Millis = Millis(300);

/// Who referred a router, and to whom.
#[derive(Debug, Default)]
pub(crate) struct Referrals {
    /// Until when routers are not asked that referred this one to others.
    full: BTreeMap<Arc<str>, Millis>,
    /// Those to which it was referred last, in the order in which they are asked.
    named: Vec<Peer>,
    /// How many of them told it nothing.
    vain: usize,
    /// How often it has been referred in vain since anybody told it something.
    rounds: u64,
}

impl Referrals {
    /// Takes that `name` refers to `others`.
    pub(crate) fn take(&mut self, name: &Arc<str>, others: Vec<Peer>, now: Millis) {
        self.full.insert(name.clone(), now + FULL);
        self.named = others;
        self.vain = 0;
    }

    /// Those to which this router was referred.
    pub(crate) fn named(&self) -> impl Iterator<Item = &Peer> {
        self.named.iter()
    }

    /// Whether a router has lately referred this one to others.
    pub(crate) fn is_full(&self, name: &str) -> bool {
        self.full.contains_key(name)
    }

    /// Forgets what no longer counts.
    pub(crate) fn forget(&mut self, now: Millis) {
        self.full.retain(|_, until| *until > now);
    }

    /// Somebody told something.
    pub(crate) fn served(&mut self) {
        (self.vain, self.rounds) = (0, 0);
    }

    /// A router tells nothing that is of use. Where this one was referred to it and to others like
    /// it, those that referred it are asked anew: the first time at once, later less and less
    /// often.
    pub(crate) fn leave(&mut self, name: &str, now: Millis) {
        let before = self.named.len();
        self.named.retain(|it| *it.name != *name);
        if self.named.len() == before {
            return;
        }
        self.vain += 1;
        if self.vain < VAIN && !self.named.is_empty() {
            return;
        }
        let again = now + Millis(FURTHER.0 * self.rounds);
        for until in self.full.values_mut() {
            *until = again.min(*until);
        }
        self.named.clear();
        self.vain = 0;
        self.rounds += 1;
    }
}
