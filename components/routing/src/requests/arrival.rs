//! A request comes: which intent decides, and how it begins.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use intents::{Miss, Plan, Target};

use crate::requests::request::{Permit, Phase, Request};
use crate::selection::prefixes::patience;
use crate::state::State;
use crate::{Arrival, Effect, Owner};

/// Why a request is refused before anything is decided on it: the error, and what
/// is said of it beyond its name.
type Rejection = (Kind, String);

impl Arrival {
    /// What `plan` decides for the request.
    pub(crate) fn target<'a>(&self, plan: &'a Plan) -> Result<Target<'a>, Miss> {
        plan.find(&self.workspace, &self.kind, self.model.as_deref())
    }
}

impl State {
    /// Takes a request: it is refused at once, or sent to the best upstream.
    pub(crate) fn handle_arrival(&mut self, ask: Arrival, now: Millis) -> Vec<Effect> {
        let plan = self.plan.clone();
        let target = match self.admit(plan.as_deref(), &ask, now) {
            Ok(target) => target,
            Err((kind, detail)) => return self.reject(&ask, kind, &detail, now),
        };
        let id = ask.id;
        let request = self.request(ask, &target, now);
        self.requests.insert(id, request);
        self.rank(id, now);
        self.note_asked(id, now);
        self.budget(id).earn();
        self.hop_budget.earn();
        self.start(id, now)
    }

    /// What `plan` decides for a request that may be served at all.
    fn admit<'a>(
        &self,
        plan: Option<&'a Plan>,
        ask: &Arrival,
        now: Millis,
    ) -> Result<Target<'a>, Rejection> {
        let Some(plan) = plan else {
            return Err((Kind::NoConfiguration, String::new()));
        };
        let target = ask.target(plan).map_err(rejection)?;
        if !target.repeatable && !target.kind.keyless && ask.idempotency_key.is_none() {
            return Err((Kind::KeyMissing, String::new()));
        }
        let allowed = Millis(target.intent.deadline_ms);
        if !self.has_time_for(&ask.kind, ask.deadline.map_or(allowed, |it| it.min(allowed)), now) {
            return Err((Kind::Draining, String::new()));
        }
        if !target.kind.anonymous && !self.is_confirmed_within(self.settings.current_ms, now) {
            return Err((Kind::StaleConfiguration, String::new()));
        }
        // Its caller comes again under a new id, at any router: where each decided on it as if it
        // had never come, one work ended 15 engines in 17 s.
        if self.quarantine_left(ask.fingerprint, now).is_some() {
            return Err((Kind::HeldBack, String::new()));
        }
        Ok(target)
    }

    /// The state of a request that has come and is not ranked yet.
    fn request(&self, ask: Arrival, target: &Target<'_>, now: Millis) -> Request {
        let intent = target.intent;
        let allowed = Millis(intent.deadline_ms);
        Request {
            deadline: now + ask.deadline.map_or(allowed, |it| it.min(allowed)),
            arrival: ask,
            arrived: now,
            proof_ms: self.confirmation_age_ms(now),
            status: None,
            answered_at: None,
            relayed_at: None,
            longest_gap: Millis::ZERO,
            estimate: self.estimate(intent, now),
            objective_ms: intent.objective_ms,
            wait_until: patience(intent.objective_ms, now),
            phase: Phase::Sent,
            repeatable: target.repeatable,
            resumable: target.kind.resumable,
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

    /// The first attempt: at the owner for a call with a key, else at the best
    /// candidate.
    fn start(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let Some(once) = request.arrival.idempotency_key.clone() else {
            return self.send_next(id, now);
        };
        if let Some(owner) = once.owner {
            return self.send_to_owner(id, &owner, now);
        }
        self.bind(id, once.key, now)
    }

    /// Has the best upstream that is known to live made the owner of a fresh key.
    fn bind(&mut self, id: u64, key: Arc<str>, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let met = |name: &&Arc<str>| self.upstreams.get(*name).is_some_and(|it| it.incarnation > 0);
        let Some(upstream) = request.candidates.iter().rev().find(met).cloned() else {
            return self.fail(id, Kind::KeyUnsettled, 0, "no fitting upstream is available", now);
        };
        request.phase = Phase::Binding;
        let incarnation = self.upstreams[&upstream].incarnation;
        vec![Effect::BindKey { key, owner: Owner { upstream, incarnation } }]
    }
}

/// Why a request is refused that no intent decides.
fn rejection(miss: Miss) -> Rejection {
    match miss {
        Miss::NoIntent => (Kind::NoIntent, String::new()),
        Miss::UnknownModel => (Kind::UnknownModel, String::new()),
        Miss::Ambiguous(one, other) => (Kind::AmbiguousIntent, format!("{one} and {other}")),
    }
}
