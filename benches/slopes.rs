//! What the reducers cost at several sizes: `cargo bench --bench slopes`.

use std::alloc::System;

use experiment::slopes::{self, Point};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn live() -> usize {
    let stats = HEAP.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

fn main() {
    section(
        "router: a request, by upstreams known",
        [50, 500, 2_000, 5_100].map(|size| slopes::router_upstreams(size, 2_000, live)),
    );
    section(
        "router: the list of hosts comes, by upstreams",
        [50, 500, 2_000, 5_100].map(|size| slopes::router_hosts(size, 20)),
    );
    section(
        "router: a generation is compiled, by workspaces",
        [10, 100, 600, 1_800].map(|size| slopes::router_workspaces(size, live)),
    );
    section(
        "router: an arrival, by requests in flight",
        [100, 1_000, 4_000, 16_000].map(|size| slopes::router_requests(size, live)),
    );
    section(
        "sidecar: a call of 256 tokens, by calls in flight",
        [16, 64, 256, 1_024].map(|size| slopes::sidecar_calls(size, live)),
    );
    section(
        "sidecar: a call with a key, by keys remembered",
        [1_000, 10_000, 50_000, 200_000].map(|size| slopes::sidecar_keys(size, live)),
    );
    section(
        "aggregator: a report, by members of its pool",
        [9, 45, 142, 425].map(|size| slopes::aggregator_members(size, 20_000, live)),
    );
    println!("### control frames\n\n| frame | bytes |\n|---|---|");
    for (name, bytes) in slopes::frames() {
        println!("| {name} | {bytes} |");
    }
}

fn section(title: &str, points: [Point; 4]) {
    println!("### {title}\n\n| size | µs | heap bytes |\n|---|---|---|");
    for point in &points {
        println!("| {} | {:.2} | {} |", point.size, point.micros, point.bytes);
    }
    let (first, last) = (points[0], points[3]);
    let (time, heap) = slope(first, last);
    println!("\nslope between the ends: {time:.4} µs and {heap:.0} bytes for each\n");
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn slope(first: Point, last: Point) -> (f64, f64) {
    let sizes = (last.size - first.size) as f64;
    let heap = last.bytes as f64 - first.bytes as f64;
    ((last.micros - first.micros) / sizes, heap / sizes)
}
