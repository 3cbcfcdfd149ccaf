//! A request comes: which intent decides, and how it begins.

use std::sync::Arc;

use clock::Millis;
use errors::Kind;
use intents::Miss;

use crate::request::{Phase, Request};
use crate::share::patience;
use crate::state::State;
use crate::{Ask, Effect, Owner};

impl State {
    pub(crate) fn ask(&mut self, ask: Ask, now: Millis) -> Vec<Effect> {
        if self.draining {
            return self.refuse(&ask, Kind::Draining, "", now);
        }
        let Some(plan) = self.plan.clone() else {
            return self.refuse(&ask, Kind::NoConfiguration, "", now);
        };
        let target = match plan.find(&ask.workspace, &ask.kind, ask.model.as_deref()) {
            Ok(target) => target,
            Err(Miss::NoIntent) => return self.refuse(&ask, Kind::NoIntent, "", now),
            Err(Miss::UnknownModel) => return self.refuse(&ask, Kind::UnknownModel, "", now),
            Err(Miss::Ambiguous(one, other)) => {
                let detail = format!("{one} and {other}");
                return self.refuse(&ask, Kind::AmbiguousIntent, &detail, now);
            }
        };
        if !target.repeatable && !target.kind.keyless && ask.once.is_none() {
            return self.refuse(&ask, Kind::KeyMissing, "", now);
        }
        if !target.kind.anonymous && !self.is_proved(self.settings.current_ms, now) {
            return self.refuse(&ask, Kind::StaleConfiguration, "", now);
        }
        let allowed = Millis(target.intent.deadline_ms);
        let id = ask.id;
        self.requests.insert(
            id,
            Request {
                deadline: now + ask.deadline.map_or(allowed, |it| it.min(allowed)),
                ask,
                came: now,
                proof_ms: self.proof_ms(now),
                status: None,
                outlook: self.outlook(target.intent, now),
                objective_ms: target.intent.objective_ms,
                patience: patience(target.intent.objective_ms, now),
                phase: Phase::Sent,
                repeatable: target.repeatable,
                resumable: target.kind.resumable,
                attempts: target.intent.attempts.unwrap_or(self.settings.max_attempts),
                pool: "".into(),
                priority: target.priority,
                intent: target.intent.name.clone(),
                generation: plan.generation(),
                candidates: Vec::new(),
                passed: Vec::new(),
                home: None,
                first: None,
                hints: Vec::new(),
                tries: Vec::new(),
            },
        );
        self.rank(id, now);
        self.budget(id).earn();
        self.hops.earn();
        self.start(id, now)
    }

    /// The first attempt: at the owner for a call with a key, else at the best
    /// candidate.
    fn start(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let Some(once) = request.ask.once.clone() else {
            return self.attempt(id, now);
        };
        if let Some(owner) = once.owner {
            return self.send_to_owner(id, &owner, now);
        }
        let met = |name: &&Arc<str>| self.upstreams.get(*name).is_some_and(|it| it.incarnation > 0);
        let Some(upstream) = request.candidates.iter().rev().find(met).cloned() else {
            return self.fail(id, Kind::KeyUnsettled, 0, "no fitting upstream is available", now);
        };
        request.phase = Phase::Binding;
        let incarnation = self.upstreams[&upstream].incarnation;
        vec![Effect::Bind { key: once.key, owner: Owner { upstream, incarnation } }]
    }
}
