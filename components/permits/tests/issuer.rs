//! Properties of an issuer under any sequence of messages.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use permits::{Issuer, Settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::{Claim, ClaimState, Claims, Finish, Held, Release};

const OBJECTIVE: u32 = 300;

const SEED: u64 = 11;

/// A message from a router, a change of the upstreams, or the passing of time.
#[derive(Clone, Debug)]
enum Step {
    Claim {
        router: u8,
        workspace: u8,
        priority: i32,
    },
    /// Sends an earlier claim again.
    Repeat(usize),
    Release {
        which: usize,
        end: u8,
    },
    Renew {
        router: u8,
    },
    Upstreams(u8),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        10 => (0..4_u8, 0..5_u8, 0..3_i32)
            .prop_map(|(router, workspace, priority)| Step::Claim { router, workspace, priority }),
        3 => any::<usize>().prop_map(Step::Repeat),
        8 => (any::<usize>(), 0..4_u8).prop_map(|(which, end)| Step::Release { which, end }),
        3 => (0..4_u8).prop_map(|router| Step::Renew { router }),
        1 => (0..4_u8).prop_map(Step::Upstreams),
        8 => (1..40_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..200)
}

/// An issuer with the claims that were sent and the decisions on them.
struct Fixture {
    issuer: Issuer,
    now: Millis,
    claims: Vec<(u8, Claim)>,
    decisions: BTreeMap<u64, BTreeSet<&'static str>>,
    /// The number of permits by workspace.
    granted: BTreeMap<Arc<str>, usize>,
}

impl Fixture {
    fn new() -> Self {
        let now = Millis(1_000);
        let mut issuer = Issuer::new(Settings::default(), now);
        issuer.set_upstreams(&[("up-0".into(), 6)]);
        Self {
            issuer,
            now,
            claims: Vec::new(),
            decisions: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    fn message(router: u8) -> Claims {
        let router = format!("router-{router}").into();
        Claims { pool: "plain".into(), router, ..Claims::default() }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Claim { router, workspace, priority } => {
                let number = self.claims.len() as u64 + 1;
                let claim = Claim {
                    number,
                    workspace: format!("w-{workspace}").into(),
                    // Fingerprints of different workspaces differ.
                    fingerprint: number / 2 * 8 + u64::from(*workspace),
                    priority: *priority,
                    objective_ms: OBJECTIVE,
                    ..Claim::default()
                };
                self.claims.push((*router, claim));
                self.send(self.claims.len() - 1);
            }
            Step::Repeat(which) if !self.claims.is_empty() => self.send(which % self.claims.len()),
            Step::Release { which, end } if !self.claims.is_empty() => {
                let (router, claim) = &self.claims[which % self.claims.len()];
                let ends = [Finish::Answered, Finish::Full, Finish::Failed, Finish::Unused];
                let end = ends[usize::from(*end)];
                let release =
                    Release { number: claim.number, upstream: "up-0".into(), end, elapsed_ms: 60 };
                self.receive(&Claims { releases: vec![release], ..Self::message(*router) });
            }
            Step::Renew { router } => {
                let name: Arc<str> = format!("router-{router}").into();
                let grants = self.issuer.grants().filter(|grant| *grant.0 == name);
                let held =
                    grants.map(|grant| Held { upstream: grant.2.clone(), numbers: vec![grant.1] });
                let held = held.collect();
                self.receive(&Claims { held, ..Self::message(*router) });
            }
            Step::Upstreams(count) => {
                let names = (0..*count).map(|index| (Arc::from(format!("up-{index}")), 6));
                self.issuer.set_upstreams(&names.collect::<Vec<_>>());
            }
            Step::Wait(ms) => self.now = self.now + Millis(*ms),
            Step::Repeat(_) | Step::Release { .. } => {}
        }
        self.decide();
    }

    fn send(&mut self, which: usize) {
        let (router, claim) = self.claims[which].clone();
        self.receive(&Claims { claims: vec![claim], ..Self::message(router) });
    }

    fn receive(&mut self, claims: &Claims) {
        for verdict in self.issuer.receive(claims, self.now) {
            self.record(verdict.number, &verdict.state);
        }
    }

    fn decide(&mut self) {
        let decisions = self.issuer.decide(self.now);
        let upstreams: Vec<_> = self.issuer.upstreams(self.now).collect();
        for decision in &decisions {
            if let ClaimState::Granted(name) = &decision.state {
                let upstream =
                    upstreams.iter().find(|upstream| upstream.0 == name).expect("an upstream");
                assert!(upstream.2 <= upstream.1, "{upstream:?} after a grant");
                *self.granted.entry(decision.workspace.clone()).or_default() += 1;
            }
        }
        drop(upstreams);
        for decision in &decisions {
            self.record(decision.number, &decision.state);
        }
    }

    fn record(&mut self, number: u64, state: &ClaimState) {
        let name = match state {
            ClaimState::Granted(_) => "granted",
            ClaimState::Refused(_) => "refused",
            ClaimState::Queued => return,
        };
        self.decisions.entry(number).or_default().insert(name);
        assert_eq!(self.decisions[&number].len(), 1, "{number} was granted and refused");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn claims_are_decided_once_and_in_time_and_unrenewed_permits_expire(steps in steps()) {
        let mut fixture = Fixture::new();
        for step in &steps {
            fixture.apply(step);
        }
        for _ in 0..u64::from(OBJECTIVE) / 10 {
            fixture.apply(&Step::Wait(10));
        }
        prop_assert_eq!(fixture.issuer.snapshot(fixture.now).waiting, 0);
        // No permit is renewed.
        for _ in 0..10 {
            fixture.apply(&Step::Wait(100));
        }
        prop_assert_eq!(fixture.issuer.snapshot(fixture.now).in_flight, 0);
    }

    #[test]
    fn a_workspace_with_light_use_is_served_beside_one_with_heavy_use(many in 6..40_u64) {
        let mut fixture = Fixture::new();
        let claim = |workspace| Step::Claim { router: 0, workspace, priority: 1 };
        for round in 0..200 {
            for _ in 0..many / 6 {
                fixture.apply(&claim(0));
            }
            if round % 4 == 0 {
                fixture.apply(&claim(1));
            }
            // One permit is released every 10 ms, after 60 ms at the upstream.
            fixture.apply(&Step::Wait(10));
            let held: Vec<_> = fixture.issuer.grants().map(|grant| grant.1).collect();
            for number in held.into_iter().take(1) {
                let release = Release {
                    number, upstream: "up-0".into(), end: Finish::Answered, elapsed_ms: 60,
                };
                fixture.receive(&Claims { releases: vec![release], ..Fixture::message(0) });
                fixture.decide();
            }
        }
        // The second workspace requests 50 permits, a quarter of those available.
        prop_assert!(fixture.granted["w-1"] >= 45, "{:?}", fixture.granted);
    }
}
