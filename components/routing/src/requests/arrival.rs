//! Arrival of a request: which intent applies, and its first attempt.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use intents::{Miss, Plan, Target};

use crate::requests::request::{Permit, Phase, Request};
use crate::selection::prefixes::prefill_deadline;
use crate::state::State;
use crate::{Arrival, Effect, Owner};

/// Error kind and detail of a request that is rejected on arrival.
type Rejection = (Kind, String);

impl Arrival {
    /// Target of the request in `plan`.
    pub(crate) fn target<'a>(&self, plan: &'a Plan) -> Result<Target<'a>, Miss> {
        plan.find(&self.workspace, &self.kind, self.model.as_deref())
    }
}

impl State {
    /// Rejects a new request, or sends it to the best upstream.
    pub(crate) fn handle_arrival(&mut self, arrival: Arrival, now: Millis) -> Vec<Effect> {
        let plan = self.plan.clone();
        let target = match self.admit(plan.as_deref(), &arrival, now) {
            Ok(target) => target,
            Err((kind, detail)) => return self.reject(&arrival, kind, &detail, now),
        };
        let id = arrival.id;
        let request = self.new_request(arrival, &target, now);
        self.requests.insert(id, request);
        self.rank(id, now);
        self.record_demand(id, now);
        self.budget(id).earn();
        self.hop_budget.earn();
        self.start(id, now)
    }

    /// Finds the target of a request that may be served.
    fn admit<'a>(
        &self,
        plan: Option<&'a Plan>,
        arrival: &Arrival,
        now: Millis,
    ) -> Result<Target<'a>, Rejection> {
        let Some(plan) = plan else {
            return Err((Kind::NoConfiguration, String::new()));
        };
        let target = arrival.target(plan).map_err(rejection)?;
        if !target.repeatable && !target.kind.keyless && arrival.idempotency_key.is_none() {
            return Err((Kind::KeyMissing, String::new()));
        }
        let max_duration = Millis(target.intent.deadline_ms);
        let duration = arrival.deadline.map_or(max_duration, |deadline| deadline.min(max_duration));
        if !self.has_time_for(duration, now) {
            return Err((Kind::Draining, String::new()));
        }
        // A key may have been revoked, also where none is needed.
        let is_anonymous =
            target.kind.anonymous && plan.anonymous_workspace() == Some(&arrival.workspace);
        if !is_anonymous && !self.is_confirmed_within(self.settings.current_ms, now) {
            return Err((Kind::StaleConfiguration, String::new()));
        }
        // Callers resend quarantined work under new ids and to any router, or with other work.
        if self.held_back_for(arrival, now).is_some() {
            return Err((Kind::HeldBack, String::new()));
        }
        Ok(target)
    }

    /// State of a new request, before ranking.
    fn new_request(&self, arrival: Arrival, target: &Target<'_>, now: Millis) -> Request {
        let intent = target.intent;
        let max_duration = Millis(intent.deadline_ms);
        Request {
            deadline: now
                + arrival.deadline.map_or(max_duration, |deadline| deadline.min(max_duration)),
            arrival,
            arrived: now,
            proof_ms: self.confirmation_age_ms(now),
            status: None,
            answered_at: None,
            relayed_at: None,
            longest_gap: Millis::ZERO,
            estimate: self.estimate(intent, now),
            objective_ms: intent.objective_ms,
            postpone_until: prefill_deadline(intent.objective_ms, now),
            phase: Phase::Sent,
            repeatable: target.repeatable,
            resumable: target.kind.resumable,
            binding: None,
            max_attempts: intent.attempts.unwrap_or(self.settings.max_attempts),
            pool: "".into(),
            priority: target.priority,
            intent: intent.name.clone(),
            generation: self.generation(),
            candidates: Vec::new(),
            exclusions: Vec::new(),
            home: None,
            first_ranked: None,
            hints: Vec::new(),
            tries: Vec::new(),
            standing: None,
            permit: Permit::None,
            unusable: Vec::new(),
        }
    }

    /// Starts the first attempt: at the build of the stream if the caller continues one, at the
    /// owner if the request has a key, otherwise at the best candidate.
    fn start(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        if request.arrival.continuation.is_some() {
            return self.start_continuation(id, now);
        }
        let Some(key) = request.arrival.idempotency_key.clone() else {
            return self.send_next(id, now);
        };
        if let Some(owner) = key.owner {
            return self.send_to_owner(id, &owner, now);
        }
        self.bind_key(id, key.key, now)
    }

    /// Proposes the best connected candidate as the owner of a new key.
    fn bind_key(&mut self, id: u64, key: Arc<str>, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let is_connected = |name: &&Arc<str>| {
            self.upstreams.get(*name).is_some_and(|upstream| upstream.incarnation > 0)
        };
        let Some(upstream) = request.candidates.iter().rev().find(is_connected).cloned() else {
            return self.fail(id, Kind::KeyUnsettled, 0, "no fitting upstream is available", now);
        };
        request.phase = Phase::Binding;
        let incarnation = self.upstreams[&upstream].incarnation;
        vec![Effect::BindKey { key, owner: Owner { upstream, incarnation } }]
    }
}

fn rejection(miss: Miss) -> Rejection {
    match miss {
        Miss::NoIntent => (Kind::NoIntent, String::new()),
        Miss::UnknownModel => (Kind::UnknownModel, String::new()),
        Miss::Ambiguous(one, other) => (Kind::AmbiguousIntent, format!("{one} and {other}")),
    }
}
