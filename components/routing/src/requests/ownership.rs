//! Calls with an idempotency key: they go to the upstream that owns the key.

use clock::Millis;
use errors::Kind;

use crate::requests::request::Phase;
use crate::state::State;
use crate::{Arrival, Effect, Owner, Upstream};

impl State {
    /// Takes the answer to who owns a key.
    pub(crate) fn handle_key_bound(
        &mut self,
        id: u64,
        owner: Option<&Owner>,
        now: Millis,
    ) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        if request.phase != Phase::Binding {
            return Vec::new();
        }
        match owner {
            Some(owner) => self.send_to_owner(id, owner, now),
            None => self.fail(id, Kind::KeyUnsettled, 0, "", now),
        }
    }

    /// A key's calls go to its owner's life or nowhere. An owner that is not
    /// listed, does not fit or lives again may have run the key before, so the
    /// answer is not that it did not run.
    pub(crate) fn send_to_owner(&mut self, id: u64, owner: &Owner, now: Millis) -> Vec<Effect> {
        if !self.may_own(id, owner) {
            return self.fail(id, Kind::KeyOwnerGone, 0, &owner.upstream, now);
        }
        if self.is_closed(&owner.upstream, now) {
            return self.fail(id, Kind::KeyUnsettled, 0, "its owner takes nothing now", now);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.candidates.clear();
        }
        self.send(id, &owner.upstream, owner.incarnation, now)
    }

    /// Whether the owner lives still, and the intents in force let the request go
    /// there.
    fn may_own(&self, id: u64, owner: &Owner) -> bool {
        let lives = |it: &Upstream| it.incarnation <= owner.incarnation;
        self.upstreams.get(&owner.upstream).is_some_and(lives)
            && self.is_allowed(id, &owner.upstream)
    }

    /// Where the calls of a fresh idempotency key would go best now.
    pub fn choose_owner(
        &mut self,
        workspace: &str,
        kind: &str,
        seed: &str,
        now: Millis,
    ) -> Option<Owner> {
        let plan = self.plan.clone()?;
        let target = plan.find(workspace, kind, None).ok()?;
        let ask = Arrival {
            id: 0,
            request: "".into(),
            workspace: workspace.into(),
            kind: kind.into(),
            model: None,
            fingerprint: 0,
            chat: seed.into(),
            idempotency_key: None,
            prefixes: Vec::new(),
            weight: 1,
            deadline: None,
        };
        let estimate = self.estimate(target.intent, now);
        let choice = self.index.choose(&self.upstreams, &target, &ask, &self.settings, &estimate);
        let upstreams = choice.candidates.iter().rev().filter_map(|name| self.upstreams.get(name));
        let best = upstreams.into_iter().find(|it| it.is_up(now))?;
        Some(Owner { upstream: best.host.name.clone(), incarnation: best.incarnation })
    }
}
