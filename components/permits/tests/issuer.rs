//! What holds of an owner's ledger whatever routers tell it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use clock::Millis;
use permits::{Issuer, Settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::{Claim, Claims, Finish, Held, Release, Turn};

const OBJECTIVE: u32 = 300;

/// Decides which cases are played.
const SEED: u64 = 11;

/// Something that a router tells, or time.
#[derive(Clone, Debug)]
enum Step {
    Ask {
        router: u8,
        workspace: u8,
        urgency: i32,
    },
    /// An ask that came before comes once more.
    Again(usize),
    Release {
        which: usize,
        end: u8,
    },
    Names {
        router: u8,
    },
    Upstreams(u8),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        10 => (0..4_u8, 0..5_u8, 0..3_i32)
            .prop_map(|(router, workspace, urgency)| Step::Ask { router, workspace, urgency }),
        3 => any::<usize>().prop_map(Step::Again),
        8 => (any::<usize>(), 0..4_u8).prop_map(|(which, end)| Step::Release { which, end }),
        3 => (0..4_u8).prop_map(|router| Step::Names { router }),
        1 => (0..4_u8).prop_map(Step::Upstreams),
        8 => (1..40_u64).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..200)
}

/// The owner, and what routers were told.
struct Play {
    ledger: Issuer,
    now: Millis,
    asks: Vec<(u8, Claim)>,
    told: BTreeMap<u64, BTreeSet<&'static str>>,
    /// The places that workspaces got.
    got: BTreeMap<Arc<str>, usize>,
}

impl Play {
    fn new() -> Self {
        let now = Millis(1_000);
        let mut ledger = Issuer::new(Settings::default(), now);
        ledger.set_upstreams(&[("up-0".into(), 6)]);
        Self { ledger, now, asks: Vec::new(), told: BTreeMap::new(), got: BTreeMap::new() }
    }

    fn message(router: u8) -> Claims {
        let router = format!("router-{router}").into();
        Claims { pool: "plain".into(), router, ..Claims::default() }
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Ask { router, workspace, urgency } => {
                let number = self.asks.len() as u64 + 1;
                let claim = Claim {
                    number,
                    workspace: format!("w-{workspace}").into(),
                    // The hash of a work has its workspace in it.
                    content: number / 2 * 8 + u64::from(*workspace),
                    urgency: *urgency,
                    objective_ms: OBJECTIVE,
                    ..Claim::default()
                };
                self.asks.push((*router, claim));
                self.ask(self.asks.len() - 1);
            }
            Step::Again(which) if !self.asks.is_empty() => self.ask(which % self.asks.len()),
            Step::Release { which, end } if !self.asks.is_empty() => {
                let (router, claim) = &self.asks[which % self.asks.len()];
                let ends = [Finish::Answered, Finish::Full, Finish::Failed, Finish::Unused];
                let end = ends[usize::from(*end)];
                let release =
                    Release { number: claim.number, upstream: "up-0".into(), end, took_ms: 60 };
                self.hear(&Claims { releases: vec![release], ..Self::message(*router) });
            }
            Step::Names { router } => {
                let name: Arc<str> = format!("router-{router}").into();
                let grants = self.ledger.grants().filter(|it| *it.0 == name);
                let held = grants.map(|it| Held { upstream: it.2.clone(), numbers: vec![it.1] });
                let held = held.collect();
                self.hear(&Claims { held, ..Self::message(*router) });
            }
            Step::Upstreams(count) => {
                let names = (0..*count).map(|it| (Arc::from(format!("up-{it}")), 6));
                self.ledger.set_upstreams(&names.collect::<Vec<_>>());
            }
            Step::Pass(ms) => self.now = self.now + Millis(*ms),
            Step::Again(_) | Step::Release { .. } => {}
        }
        self.decide();
    }

    fn ask(&mut self, which: usize) {
        let (router, claim) = self.asks[which].clone();
        self.hear(&Claims { asks: vec![claim], ..Self::message(router) });
    }

    fn hear(&mut self, claims: &Claims) {
        for verdict in self.ledger.receive(claims, self.now) {
            self.note(verdict.number, &verdict.turn);
        }
    }

    fn decide(&mut self) {
        let lines = self.ledger.decide(self.now);
        let places: Vec<_> = self.ledger.upstreams(self.now).collect();
        for line in &lines {
            if let Turn::Granted(upstream) = &line.turn {
                let place = places.iter().find(|it| it.0 == upstream).expect("a place");
                assert!(place.2 <= place.1, "{place:?} after a grant");
                *self.got.entry(line.workspace.clone()).or_default() += 1;
            }
        }
        drop(places);
        for line in &lines {
            self.note(line.number, &line.turn);
        }
    }

    fn note(&mut self, number: u64, turn: &Turn) {
        let word = match turn {
            Turn::Granted(_) => "granted",
            Turn::Refused(_) => "refused",
            Turn::Waits => return,
        };
        self.told.entry(number).or_default().insert(word);
        assert_eq!(self.told[&number].len(), 1, "{number} was granted and refused");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn nothing_is_granted_and_refused_and_all_is_decided_and_freed_in_time(steps in steps()) {
        let mut play = Play::new();
        for step in &steps {
            play.take(step);
        }
        for _ in 0..u64::from(OBJECTIVE) / 10 {
            play.take(&Step::Pass(10));
        }
        prop_assert_eq!(play.ledger.snapshot(play.now).waiting, 0);
        // Nobody names any permit.
        for _ in 0..10 {
            play.take(&Step::Pass(100));
        }
        prop_assert_eq!(play.ledger.snapshot(play.now).in_flight, 0);
    }

    #[test]
    fn no_workspace_within_its_share_is_refused_while_another_one_gets_more(many in 6..40_u64) {
        let mut play = Play::new();
        let ask = |workspace| Step::Ask { router: 0, workspace, urgency: 1 };
        for round in 0..200 {
            for _ in 0..many / 6 {
                play.take(&ask(0));
            }
            if round % 4 == 0 {
                play.take(&ask(1));
            }
            // Each permit comes back after 60 ms.
            play.take(&Step::Pass(10));
            let out: Vec<_> = play.ledger.grants().map(|it| it.1).collect();
            for number in out.into_iter().take(1) {
                let release = Release {
                    number, upstream: "up-0".into(), end: Finish::Answered, took_ms: 60,
                };
                play.hear(&Claims { releases: vec![release], ..Play::message(0) });
                play.decide();
            }
        }
        // The second asks for 50, a quarter of what is served.
        prop_assert!(play.got["w-1"] >= 45, "{:?}", play.got);
    }
}
