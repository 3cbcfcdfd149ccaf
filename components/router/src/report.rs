//! Log lines on requests and upstreams.

use clock::Millis;
use routing::{
    Binding, Continuation, Crash, Decision, Interruption, Part, Standing, Try, Unfinished,
};
use spdlog::{info, warn};

/// Logs the decision on a completed request.
pub(crate) fn log_request(decision: &Decision, trace: &str) {
    let error: Option<&'static str> = decision.error.map(Into::into);
    let outcome: &'static str = decision.outcome.into();
    let upstream = decision.tries.last().map_or("", |attempt| &attempt.upstream);
    info!("request ended", kv: {
        request = &*decision.request,
        trace,
        workspace = &*decision.workspace,
        kind = &*decision.kind,
        content = format!("{:016x}", decision.content),
        continues = format_continuation(decision),
        began = format_binding(decision),
        generation = decision.generation,
        proof_ms = or_none(decision.proof_ms),
        upstream,
        outcome,
        status = or_none(decision.status),
        error = error.unwrap_or(""),
        detail = &*decision.detail,
        standing = format_standing(decision),
        attempts = decision.tries.len(),
        passed = format_exclusion(decision),
        tries = format_tries(decision),
        prompt = decision.shared.map_or_else(String::new, |prefix| format!("{:x}", prefix.hash)),
        parts = format_hashes(&decision.parts),
        shared = decision.shared.map_or(0, |prefix| prefix.tokens),
        first_ms = or_none(decision.answered.map(|answered| decision.came.until(answered).0)),
        pause_ms = decision.pause.0,
        ms = decision.came.until(decision.ended).0,
    });
}

/// Logs a request that was refused before routing. `generation` is that of the configuration in
/// force, `confirmation_age_ms` the time since it was last confirmed.
pub(crate) fn log_refusal(
    request: &str,
    error: &str,
    generation: u64,
    confirmation_age_ms: Option<u64>,
) {
    info!("request refused", kv: {
        request, error, generation, proof_ms = or_none(confirmation_age_ms),
    });
}

/// Logs that a caller's connection was ended, as it had not read its answer in time.
pub(crate) fn log_unread(request: &str) {
    info!("answer not read", kv: { request });
}

/// Logs how many connections were closed since the last such line, as there were too many; `open` of
/// at most `limit` are left.
pub(crate) fn log_evictions(evictions: process::Evictions, open: usize, limit: usize) {
    let process::Evictions { closed, refused } = evictions;
    info!("connections closed for others", kv: { closed, refused, open, limit });
}

/// Logs that there is no memory for `length` bytes of a body: all bodies hold `held` bytes of
/// `limit`.
pub(crate) fn log_no_memory(request: &str, length: usize, held: usize, limit: usize) {
    info!("no memory for a body", kv: { request, length, held, limit });
}

/// Logs that a slow body was ended to make room; it held `freed` bytes of the `held` ones.
pub(crate) fn log_slow_body(request: &str, freed: usize, held: usize, limit: usize) {
    info!("slow body ended", kv: { request, freed, held, limit });
}

/// Logs that a planned stop was requested, and its time limits.
pub(crate) fn log_stop(in_flight: usize, notice: Millis, drain: Millis) {
    info!("stop requested", kv: { in_flight, notice_ms = notice.0, drain_ms = drain.0 });
}

/// Logs that the notice of a stop is over; `since` is the time since the stop was requested.
pub(crate) fn log_drain(in_flight: usize, since: Millis) {
    info!("drain started", kv: { in_flight, ms = since.0 });
}

/// Logs that a drain is over, because nothing is in flight or its time has passed.
pub(crate) fn log_drained(in_flight: usize, since: Millis) {
    info!("drain ended", kv: { in_flight, ms = since.0 });
}

/// Logs that all connections are closed; `early` of them before all was written.
pub(crate) fn log_closed(early: usize) {
    info!("connections closed", kv: { early });
}

/// Logs a request that the end of a drain interrupts.
pub(crate) fn log_unfinished(unfinished: &Unfinished) {
    info!("request unfinished at the end of the drain", kv: {
        request = &*unfinished.request,
        kind = &*unfinished.kind,
        upstream = &*unfinished.upstream,
        answering = unfinished.is_answering,
        age_ms = unfinished.age.0,
        left_ms = unfinished.remaining.0,
        idle_ms = unfinished.idle.0,
    });
}

/// Logs that an upstream is avoided for `backoff`; `reachable` is whether the last connection
/// attempt succeeded.
pub(crate) fn log_suspect(upstream: &str, failures: u32, reachable: bool, backoff: Millis) {
    info!("upstream left alone", kv: { upstream, failures, reachable, ms = backoff.0 });
}

/// Logs that an upstream answers again.
pub(crate) fn log_recovered(upstream: &str) {
    info!("upstream answers again", kv: { upstream });
}

/// Logs that an upstream asked for a backoff.
pub(crate) fn log_backoff(upstream: &str, backoff: Millis) {
    info!("upstream asked for backoff", kv: { upstream, ms = backoff.0 });
}

/// Logs that an upstream announced in an answer that it is leaving.
pub(crate) fn log_leaving(upstream: &str) {
    info!("upstream is leaving", kv: { upstream });
}

/// Logs that a request was interrupted at an upstream that has crashed.
pub(crate) fn log_interruption(interruption: &Interruption) {
    let Interruption { sent, began, at, .. } = interruption;
    info!("request interrupted by a crash", kv: {
        request = &*interruption.request,
        upstream = &*interruption.upstream,
        content = format!("{:016x}", interruption.fingerprint),
        parts = format_hashes(&interruption.parts),
        ran_ms = sent.until(*at).0,
        began_ms = or_none(began.map(|began| sent.until(began).0)),
    });
}

/// Logs that an upstream crashed under requests of this router.
pub(crate) fn log_crashes(crashes: &[Crash]) {
    let Some(first) = crashes.first() else { return };
    let (parts, contents): (Vec<_>, Vec<_>) = crashes.iter().partition(|crash| crash.is_of_part());
    let format = |crashes: &[&Crash]| {
        format_hashes(&crashes.iter().map(|crash| crash.fingerprint).collect::<Vec<_>>())
    };
    info!("upstream crashed under requests", kv: {
        upstream = &*first.upstream, contents = format(&contents), parts = format(&parts),
    });
}

/// Logs that work is quarantined for `duration`.
pub(crate) fn log_quarantine(fingerprint: u64, duration: Millis) {
    info!("work is quarantined", kv: { content = format!("{fingerprint:016x}"), ms = duration.0 });
}

/// Logs that requests whose prompts have all of these parts are quarantined for `duration`.
pub(crate) fn log_part_quarantine(parts: &[u64], duration: Millis) {
    info!("prompt parts are quarantined", kv: { parts = format_hashes(parts), ms = duration.0 });
}

/// Logs that a set of prompt parts is no longer quarantined.
pub(crate) fn log_part_release(parts: &[u64]) {
    info!("prompt parts are no longer quarantined", kv: { parts = format_hashes(parts) });
}

/// Logs that work or a prompt part was answered in full, and so is not the cause of crashes.
pub(crate) fn log_cleared(clearing: &Crash) {
    let hash = format!("{:016x}", clearing.fingerprint);
    if clearing.is_of_part() {
        info!("prompt part is cleared", kv: { part = hash });
    } else {
        info!("work is cleared", kv: { content = hash });
    }
}

/// Hashes in hexadecimal, separated by spaces.
fn format_hashes(hashes: &[u64]) -> String {
    hashes.iter().map(|hash| format!("{hash:016x}")).collect::<Vec<_>>().join(" ")
}

/// A number for the log, or the word `none`.
fn or_none(number: Option<impl Into<u64>>) -> String {
    number.map_or_else(|| "none".to_owned(), |number| number.into().to_string())
}

/// The first excluded upstream by rank, with the reason; empty if there is none.
fn format_exclusion(decision: &Decision) -> String {
    decision
        .passed
        .first()
        .map_or_else(String::new, |exclusion| format!("{}: {}", exclusion.upstream, exclusion.why))
}

/// How the workspace of a refused request compares to its share of the pool; empty for other
/// requests.
fn format_standing(decision: &Decision) -> String {
    let format = |standing: Standing| {
        let age = or_none(standing.age_ms);
        let (rank, times) = (standing.rank.name(), standing.rank.excess_ratio());
        let Standing { share, demand, served, .. } = standing;
        format!(
            "{rank},times={times:.1},share={share:.1},demand={demand:.1},served={served:.1},age={age}"
        )
    };
    decision.standing.map_or_else(String::new, format)
}

/// The request that began the stream which the caller continues, and the caller's last event;
/// empty for other requests.
fn format_continuation(decision: &Decision) -> String {
    let format = |continuation: &Continuation| {
        let stream = continuation.stream.as_deref().unwrap_or("unnamed");
        format!("{stream},after={}", or_none(continuation.last_event))
    };
    decision.continuation.as_ref().map_or_else(String::new, format)
}

/// The version that began the answer and how it was found; empty if it is not known or needed.
fn format_binding(decision: &Decision) -> String {
    let format = |binding: &Binding| {
        let source: &'static str = binding.source.into();
        format!("{},{source}", binding.build.version)
    };
    decision.binding.as_ref().map_or_else(String::new, format)
}

/// One word per attempt: upstream, time since arrival, `rest` if it continues an answer, the
/// upstream's version, estimated load, queued requests and their
/// wait, tokens to read and to copy, the upstream to copy from, and the error.
fn format_tries(decision: &Decision) -> String {
    let format = |attempt: &Try| {
        let error: &'static str = attempt.error.map_or("ok", Into::into);
        let warm = attempt.warm.as_deref().unwrap_or("-");
        let (copied, read) = (attempt.copied, attempt.read);
        let after = decision.came.until(attempt.sent).0;
        let part = if attempt.part == Part::Rest { "rest," } else { "" };
        format!(
            "{}@{after}ms,{part}version={},load={},queued={},wait={},read={read},copied={copied},copy={warm},{error}",
            attempt.upstream, attempt.version, attempt.load, attempt.queued, attempt.wait_ms
        )
    };
    decision.tries.iter().map(format).collect::<Vec<_>>().join(" ")
}

/// Logs that a response is refused since too much of it would have to be held.
pub(crate) fn log_long_response(request: &str, upstream: &str, held: usize) {
    warn!("response too long to be held", kv: { request, upstream, held });
}
