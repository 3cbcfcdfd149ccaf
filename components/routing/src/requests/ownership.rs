//! Requests with an idempotency key are sent to the upstream that owns the key.

use clock::Millis;
use errors::Kind;

use crate::requests::request::Phase;
use crate::state::State;
use crate::{Arrival, Effect, Owner, Upstream};

impl State {
    /// Sends the request to the owner of its key.
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

    /// Sends the request to the owner's incarnation, or fails it. If the owner is gone, restarted
    /// or not eligible, the key may have run there before, so the answer does not claim that it did
    /// not run.
    pub(crate) fn send_to_owner(&mut self, id: u64, owner: &Owner, now: Millis) -> Vec<Effect> {
        if !self.is_valid_owner(id, owner) {
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

    /// Whether the owner's incarnation is still current and the configuration allows the request
    /// there.
    fn is_valid_owner(&self, id: u64, owner: &Owner) -> bool {
        let is_current = |upstream: &Upstream| upstream.incarnation <= owner.incarnation;
        self.upstreams.get(&owner.upstream).is_some_and(is_current)
            && self.is_allowed(id, &owner.upstream)
    }

    /// The best upstream for a new idempotency key.
    pub fn choose_owner(
        &mut self,
        workspace: &str,
        kind: &str,
        seed: &str,
        now: Millis,
    ) -> Option<Owner> {
        let plan = self.plan.clone()?;
        let target = plan.find(workspace, kind, None).ok()?;
        let arrival = Arrival {
            id: 0,
            request: "".into(),
            workspace: workspace.into(),
            kind: kind.into(),
            model: None,
            fingerprint: 0,
            chat: seed.into(),
            parts: Vec::new(),
            idempotency_key: None,
            prefixes: Vec::new(),
            weight: 1,
            deadline: None,
            continuation: None,
        };
        let estimate = self.estimate(target.intent, now);
        let selection =
            self.index.choose(&self.upstreams, &target, &arrival, None, &self.settings, &estimate);
        let upstreams =
            selection.candidates.iter().rev().filter_map(|name| self.upstreams.get(name));
        let best = upstreams.into_iter().find(|upstream| upstream.is_up(now))?;
        Some(Owner { upstream: best.host.name.clone(), incarnation: best.incarnation })
    }
}
