//! A request comes: which intent decides, and which upstream is tried.

use std::sync::Arc;

use clock::Millis;
use errors::{Kind, Outcome};
use intents::Miss;
use placement::key;

use crate::choice::{Choice, Upstreams};
use crate::outlook::Outlook;
use crate::request::{Phase, Request};
use crate::share::patience;
use crate::state::State;
use crate::upstream::OVER_BOUND;
use crate::warmth::Warmth;
use crate::{Ask, Attempt, Budget, Decision, Effect, Owner, Path, Policy, Try, Upstream};

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

    /// Ranks the upstreams that a request may go to, as they are now.
    pub(crate) fn rank(&mut self, id: u64, now: Millis) {
        let (Some(plan), Some(request)) = (self.plan.clone(), self.requests.get(&id)) else {
            return;
        };
        let ask = &request.ask;
        let Ok(target) = plan.find(&ask.workspace, &ask.kind, ask.model.as_deref()) else {
            return;
        };
        let outlook = self.outlook(target.intent, now);
        let Choice { candidates, passed, home, first } =
            self.index.choose(&self.upstreams, target.intent, ask, &self.settings, &outlook);
        let pool = self.pool(candidates.last());
        if let Some(request) = self.requests.get_mut(&id) {
            request.pool = pool;
            request.outlook = outlook;
            request.candidates = candidates;
            request.passed = passed;
            request.home = home.filter(|_| self.settings.policy == Policy::Directory);
            request.first = first;
        }
    }

    /// Ranks anew the upstreams that a request may go to after one failed: some may
    /// have come to leave since it came. It stays in the pool where it began.
    pub(crate) fn rank_again(&mut self, id: u64, now: Millis) {
        let Some(pool) = self.requests.get(&id).map(|it| it.pool.clone()) else { return };
        let direct = self.settings.path == Path::Direct;
        if direct {
            self.rank(id, now);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let tried = |name: &Arc<str>| request.tries.iter().any(|it| it.upstream == *name);
        let fits = |it: &Upstream| !it.is_leaving() && it.pool() == pool && !tried(it.name());
        // Where there are sidecars, they say themselves who leaves, and send a chat
        // back to where it has been.
        let open = |name: &Arc<str>| self.upstreams.get(name).is_some_and(|it| !direct || fits(it));
        request.candidates.retain(open);
        request.pool = pool;
    }

    /// The pool of an upstream: the retry budget is kept for each.
    fn pool(&self, upstream: Option<&Arc<str>>) -> Arc<str> {
        upstream.and_then(|it| self.upstreams.get(it)).map(Upstream::pool).unwrap_or_default()
    }

    /// The retry budget of a request's pool.
    pub(crate) fn budget(&mut self, id: u64) -> &mut Budget {
        let pool = self.requests.get(&id).map(|it| it.pool.clone()).unwrap_or_default();
        let (share, burst) = (self.settings.retry_share, self.burst());
        self.budgets.entry(pool).or_insert_with(|| Budget::new(share, burst))
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

    pub(crate) fn bound(&mut self, id: u64, owner: Option<&Owner>, now: Millis) -> Vec<Effect> {
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
    fn send_to_owner(&mut self, id: u64, owner: &Owner, now: Millis) -> Vec<Effect> {
        if !self.may_own(id, owner) {
            return self.fail(id, Kind::KeyOwnerGone, 0, &owner.upstream, now);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.candidates.clear();
        }
        self.send(id, &owner.upstream, owner.incarnation, now)
    }

    fn may_own(&self, id: u64, owner: &Owner) -> bool {
        let lives = |it: &Upstream| it.incarnation <= owner.incarnation;
        self.upstreams.get(&owner.upstream).is_some_and(lives) && self.may_go(id, &owner.upstream)
    }

    /// Whether the intents in force let a request go to a listed upstream that
    /// its candidates may not name.
    pub(crate) fn may_go(&self, id: u64, upstream: &str) -> bool {
        let (Some(plan), Some(request)) = (&self.plan, self.requests.get(&id)) else {
            return false;
        };
        let ask = &request.ask;
        let Ok(target) = plan.find(&ask.workspace, &ask.kind, ask.model.as_deref()) else {
            return false;
        };
        let fits =
            |it: &Upstream| target.intent.fits(&it.labels, &it.host.domain, ask.model.as_deref());
        self.upstreams.get(upstream).is_some_and(fits)
    }

    /// Sends to the next candidate, or gives up.
    pub(crate) fn attempt(&mut self, id: u64, now: Millis) -> Vec<Effect> {
        let Some(upstream) = self.next_candidate(id) else {
            let passed = self.requests.get(&id).and_then(|it| it.passed.first());
            let detail = passed.map_or("", |it| it.why);
            let kind = if detail == OVER_BOUND { Kind::OverBound } else { Kind::NoUpstream };
            return self.fail(id, kind, 0, detail, now);
        };
        if self.should_wait(id, &upstream, now) {
            return self.wait(id);
        }
        self.send(id, &upstream, 0, now)
    }

    /// The next candidate by rank. After a refusal over load it is the one that
    /// is known to carry least: the chat's context is elsewhere in any case.
    fn next_candidate(&mut self, id: u64) -> Option<Arc<str>> {
        let request = self.requests.get_mut(&id)?;
        let error = request.tries.last().and_then(|it| it.error);
        let crowded = matches!(error, Some(Kind::OverBound | Kind::QueueFull | Kind::WouldMiss));
        let hinted = request.candidates.last().is_some_and(|it| request.hints.contains(it));
        if !crowded || hinted {
            return request.candidates.pop();
        }
        let load = |name: &Arc<str>| self.upstreams.get(name).map_or(u64::MAX, |it| it.status.load);
        let place =
            (0..request.candidates.len()).min_by_key(|it| load(&request.candidates[*it]))?;
        Some(request.candidates.remove(place))
    }

    fn send(&mut self, id: u64, name: &Arc<str>, incarnation: u64, now: Millis) -> Vec<Effect> {
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return Vec::new();
        };
        let resume = request.is_answering();
        if !resume {
            request.phase = Phase::Sent;
        }
        let load = upstream.load_at(&Outlook { now, ..request.outlook });
        upstream.take(request.ask.weight);
        let warm = source(&self.warmth, &self.upstreams, request, name);
        let reading = self.begin_reading(id, name, now);
        let upstream = &self.upstreams[name];
        let Some(request) = self.requests.get_mut(&id) else {
            return Vec::new();
        };
        request.tries.push(Try {
            upstream: name.clone(),
            sent: now,
            heard: now,
            load,
            warm: warm.clone(),
            error: None,
            over: false,
        });
        let timeout = match self.settings.path {
            Path::Sidecar => Millis(self.settings.admit_ms).min(now.until(request.deadline)),
            Path::Direct => request.silence(),
        };
        let mut effects = vec![Effect::Send(Attempt {
            number: request.attempt(),
            upstream: name.clone(),
            address: upstream.host.address.clone(),
            incarnation,
            weight: request.ask.weight,
            priority: request.priority,
            remaining: now.until(request.deadline),
            timeout,
            generation: request.generation,
            chat: key(&request.ask.workspace, &request.ask.chat),
            home: request.hints.is_empty() && request.home.as_ref() == Some(name),
            warm,
            resume,
        })];
        effects.extend(reading);
        effects
    }

    /// Where the calls of a fresh idempotency key would go best now.
    pub fn owner(&mut self, workspace: &str, kind: &str, seed: &str, now: Millis) -> Option<Owner> {
        let plan = self.plan.clone()?;
        let intent = plan.find(workspace, kind, None).ok()?.intent;
        let ask = Ask {
            id: 0,
            request: "".into(),
            workspace: workspace.into(),
            kind: kind.into(),
            model: None,
            chat: seed.into(),
            once: None,
            shared: Vec::new(),
            weight: 1,
            deadline: None,
        };
        let outlook = self.outlook(intent, now);
        let choice = self.index.choose(&self.upstreams, intent, &ask, &self.settings, &outlook);
        let upstreams = choice.candidates.iter().rev().filter_map(|name| self.upstreams.get(name));
        let best = upstreams.into_iter().find(|it| it.is_up(now))?;
        Some(Owner { upstream: best.host.name.clone(), incarnation: best.incarnation })
    }

    fn refuse(&self, ask: &Ask, kind: Kind, detail: &str, now: Millis) -> Vec<Effect> {
        let after = self.retry_after_ms(kind, now);
        let decision = Decision {
            request: ask.request.clone(),
            workspace: ask.workspace.clone(),
            kind: ask.kind.clone(),
            model: ask.model.clone(),
            intent: None,
            generation: self.plan.as_ref().map_or(0, |it| it.generation()),
            proof_ms: self.proof_ms(now),
            status: None,
            came: now,
            ended: now,
            passed: Vec::new(),
            tries: Vec::new(),
            outcome: Outcome::NotRun,
            error: Some(kind),
            detail: detail.into(),
        };
        let answer = Effect::answer(kind, &ask.request, after, detail);
        vec![Effect::Fail(answer), Effect::Record(Arc::new(decision))]
    }
}

/// The address of an upstream from which `name` may copy what it lacks of the
/// prompt; none where `name` has read all of it before.
///
/// The longest part counts that is known to be warm anywhere. A chat that is
/// sent past its first upstream in rank finds its context there, even if other
/// routers sent all its earlier requests.
fn source(
    warmth: &Warmth,
    upstreams: &Upstreams,
    request: &Request,
    name: &Arc<str>,
) -> Option<Arc<str>> {
    let address = |it: &Arc<str>| upstreams.get(it).map(|it| it.host.address.clone());
    let first = request.first.as_ref().filter(|it| *it != name);
    for (depth, part) in request.ask.shared.iter().rev().enumerate() {
        if warmth.holds(*part, name) {
            return None;
        }
        let known = warmth.places(*part).find_map(address);
        let source = known.or_else(|| first.filter(|_| depth == 0).and_then(address));
        if source.is_some() {
            return source;
        }
    }
    None
}
