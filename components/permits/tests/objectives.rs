//! Claims of different objectives on one pool.

use std::sync::Arc;

use clock::Millis;
use permits::{Decision, Issuer, Settings};
use wire::{Claim, ClaimState, Claims, Finish, Release};

/// When the issuer has issued half of the permits for long enough.
const NOW: Millis = Millis(2_000);

/// The slots of the upstream. Its rate is 1.7 requests per millisecond.
const SLOTS: u64 = 100;

/// A short objective, by which 109 permits may be in use.
const SHORT: u32 = 14;

/// A long objective, by which 110 permits may be in use.
const LONG: u32 = 300;

/// No numbers of claims.
const NONE: [u64; 0] = [];

/// An issuer with `in_use` permits in use, numbered from 0, of requests with a long objective.
fn issuer(in_use: u64) -> Issuer {
    let mut issuer = Issuer::new(Settings::default(), Millis(1_000));
    issuer.set_upstreams(&[("up-0".into(), SLOTS)]);
    let claims = (0..in_use).map(|number| claim(number, LONG, 0)).collect();
    let granted = decide(&mut issuer, claims);
    assert_eq!(granted.len() as u64, in_use);
    issuer
}

fn claim(number: u64, objective_ms: u32, priority: i32) -> Claim {
    let workspace: Arc<str> = "w".into();
    Claim { number, workspace, fingerprint: number, priority, objective_ms, ..Claim::default() }
}

/// Receives claims in their order and decides; returns the numbers of those that are granted.
fn decide(issuer: &mut Issuer, claims: Vec<Claim>) -> Vec<u64> {
    receive(issuer, &Claims { claims, ..message() });
    granted(&issuer.decide(NOW))
}

fn message() -> Claims {
    Claims { pool: "plain".into(), router: "router".into(), ..Claims::default() }
}

fn receive(issuer: &mut Issuer, claims: &Claims) {
    assert_eq!(issuer.receive(claims, NOW), []);
}

fn granted(decisions: &[Decision]) -> Vec<u64> {
    let is_granted = |decision: &&Decision| matches!(decision.state, ClaimState::Granted(_));
    decisions.iter().filter(is_granted).map(|decision| decision.number).collect()
}

#[test]
fn a_later_claim_of_a_long_objective_adds_no_permits_for_a_short_one() {
    let mut issuer = issuer(109);
    assert_eq!(decide(&mut issuer, vec![claim(200, SHORT, 0), claim(201, LONG, 1)]), NONE);
}

#[test]
fn a_later_claim_of_a_short_objective_takes_no_permits_from_a_long_one() {
    let mut issuer = issuer(109);
    assert_eq!(decide(&mut issuer, vec![claim(200, LONG, 0), claim(201, SHORT, 1)]), [200]);
}

#[test]
fn claims_of_a_long_objective_do_not_pass_a_short_one_that_comes_first() {
    let mut issuer = issuer(109);
    assert_eq!(decide(&mut issuer, vec![claim(200, SHORT, 0), claim(201, LONG, 1)]), NONE);
    let end = Finish::Answered;
    let release = Release { number: 0, upstream: "up-0".into(), end, elapsed_ms: 60 };
    receive(&mut issuer, &Claims { releases: vec![release], ..message() });
    assert_eq!(granted(&issuer.decide(NOW)), [200, 201]);
}
