//! The log line of a request that has ended.

use clock::Millis;
use routing::{Crash, Decision, Standing, Try};
use spdlog::info;

/// Logs what was decided on a request.
pub(crate) fn ended(decision: &Decision, trace: &str) {
    let error: Option<&'static str> = decision.error.map(Into::into);
    let outcome: &'static str = decision.outcome.into();
    let upstream = decision.tries.last().map_or("", |it| &it.upstream);
    info!("request ended", kv: {
        request = &*decision.request,
        trace,
        workspace = &*decision.workspace,
        kind = &*decision.kind,
        content = format!("{:016x}", decision.content),
        generation = decision.generation,
        proof_ms = or_none(decision.proof_ms),
        upstream,
        outcome,
        status = or_none(decision.status),
        error = error.unwrap_or(""),
        detail = &*decision.detail,
        standing = standing(decision),
        attempts = decision.tries.len(),
        passed = passed(decision),
        tries = tries(decision),
        prompt = decision.shared.map_or_else(String::new, |it| format!("{:x}", it.hash)),
        shared = decision.shared.map_or(0, |it| it.tokens),
        first_ms = or_none(decision.answered.map(|it| decision.came.until(it).0)),
        pause_ms = decision.pause.0,
        ms = decision.came.until(decision.ended).0,
    });
}

/// Logs a request that was refused before it was decided on. `generation` is
/// that of the configuration in force, `proof_ms` the age of its proof.
pub(crate) fn refused(request: &str, error: &str, generation: u64, proof_ms: Option<u64>) {
    info!("request refused", kv: { request, error, generation, proof_ms = or_none(proof_ms) });
}

/// Logs that an upstream is left alone for `pause`; `reachable` says whether the last
/// connection that was tried could be opened.
pub(crate) fn suspected(upstream: &str, failures: u32, reachable: bool, pause: Millis) {
    info!("upstream left alone", kv: { upstream, failures, reachable, ms = pause.0 });
}

/// Logs that an upstream answers again.
pub(crate) fn revived(upstream: &str) {
    info!("upstream answers again", kv: { upstream });
}

/// Logs that an upstream has asked to be sent nothing for `rest`.
pub(crate) fn rests(upstream: &str, rest: Millis) {
    info!("upstream asked for rest", kv: { upstream, ms = rest.0 });
}

/// Logs that an upstream has said with an answer that it leaves.
pub(crate) fn leaves(upstream: &str) {
    info!("upstream says that it leaves", kv: { upstream });
}

/// Logs that upstreams ended while they had requests of this router.
pub(crate) fn crashed(crashes: &[Crash]) {
    let Some(first) = crashes.first() else { return };
    let contents: Vec<_> = crashes.iter().map(|it| format!("{:016x}", it.fingerprint)).collect();
    let contents = contents.join(" ");
    info!("upstream ended under work", kv: { upstream = &*first.upstream, contents });
}

/// Logs that work is held back for `lasts`.
pub(crate) fn held_back(content: u64, lasts: Millis) {
    info!("work is held back", kv: { content = format!("{content:016x}"), ms = lasts.0 });
}

/// Logs that work was answered in full and is not held back.
pub(crate) fn cleared(content: u64) {
    info!("work is cleared", kv: { content = format!("{content:016x}") });
}

/// A number for the log, or the word `none`.
fn or_none(number: Option<impl Into<u64>>) -> String {
    number.map_or_else(|| "none".to_owned(), |it| it.into().to_string())
}

/// The first upstream by rank that was passed over, and why; empty if none was.
fn passed(decision: &Decision) -> String {
    decision.passed.first().map_or_else(String::new, |it| format!("{}: {}", it.upstream, it.why))
}

/// How the workspace of a request that was turned away stood to its share of the pool; empty
/// for others.
fn standing(decision: &Decision) -> String {
    let one = |it: Standing| {
        let age = or_none(it.age_ms);
        let (rank, times) = (it.rank.name(), it.rank.excess_ratio());
        let Standing { share, demand, served, .. } = it;
        format!(
            "{rank},times={times:.1},share={share:.1},demand={demand:.1},served={served:.1},age={age}"
        )
    };
    decision.standing.map_or_else(String::new, one)
}

/// The attempts as one word each: where, when after the request came, the load
/// believed to be there, what of it waits and for how long, the shared tokens to be read and copied, where from, and why
/// it failed.
fn tries(decision: &Decision) -> String {
    let one = |it: &Try| {
        let error: &'static str = it.error.map_or("ok", Into::into);
        let warm = it.warm.as_deref().unwrap_or("-");
        let (copied, read) = (it.copied, it.read);
        let after = decision.came.until(it.sent).0;
        format!(
            "{}@{after}ms,load={},queued={},wait={},read={read},copied={copied},copy={warm},{error}",
            it.upstream, it.load, it.queued, it.wait_ms
        )
    };
    decision.tries.iter().map(one).collect::<Vec<_>>().join(" ")
}
