//! Costs of the state machines by size: `cargo bench --bench slopes`.

use std::alloc::System;

use experiment::slopes::{self, Point};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn allocated_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

fn main() {
    print_section(
        "router: a request, by known upstreams",
        [50, 500, 2_000, 5_100].map(|size| slopes::router_upstreams(size, 2_000, allocated_bytes)),
    );
    print_section(
        "router: an update of the list of hosts, by upstreams",
        [50, 500, 2_000, 5_100].map(|size| slopes::router_hosts(size, 20)),
    );
    print_section(
        "router: the compilation of a generation, by workspaces",
        [10, 100, 600, 1_800].map(|size| slopes::router_workspaces(size, allocated_bytes)),
    );
    print_section(
        "router: an arrival, by requests in flight",
        [100, 1_000, 4_000, 16_000].map(|size| slopes::router_requests(size, allocated_bytes)),
    );
    print_section(
        "sidecar: a call of 256 tokens, by calls in flight",
        [16, 64, 256, 1_024].map(|size| slopes::sidecar_calls(size, allocated_bytes)),
    );
    print_section(
        "sidecar: a call with a key, by stored keys",
        [1_000, 10_000, 50_000, 200_000].map(|size| slopes::sidecar_keys(size, allocated_bytes)),
    );
    print_section(
        "aggregator: a report, by members of its pool",
        [9, 45, 142, 425].map(|size| slopes::aggregator_members(size, 20_000, allocated_bytes)),
    );
    println!("### control frames\n\n| frame | bytes |\n|---|---|");
    for (name, bytes) in slopes::frames() {
        println!("| {name} | {bytes} |");
    }
}

fn print_section(title: &str, points: [Point; 4]) {
    println!("### {title}\n\n| size | µs | heap bytes |\n|---|---|---|");
    for point in &points {
        println!("| {} | {:.2} | {} |", point.size, point.micros, point.bytes);
    }
    let (first, last) = (points[0], points[3]);
    let (time, heap) = slope(first, last);
    println!(
        "\nslope between the smallest and the largest size: {time:.4} µs and {heap:.0} bytes per item\n"
    );
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn slope(first: Point, last: Point) -> (f64, f64) {
    let size_difference = (last.size - first.size) as f64;
    let heap_difference = last.bytes as f64 - first.bytes as f64;
    ((last.micros - first.micros) / size_difference, heap_difference / size_difference)
}
