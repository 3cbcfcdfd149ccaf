//! Costs of an idle fleet: `cargo bench --bench control`.
//!
//! Traffic is that of the loopback device, with TCP and IP headers, so no other
//! process may use the device during a run.

#[path = "../tests/end_to_end/fleet.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod fleet;
#[path = "../tests/end_to_end/process.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod process;

use std::net::IpAddr;
use std::time::Duration;

use budget::Budget;
use fleet::{Fleet, LINK_KEY, Layout, until};
use link::{Connection, Identity};
use serde_json::json;
use tokio::net::TcpListener;
use wire::{Hello, Status, Welcome};

/// The duration of a measurement.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(6);

/// The delay before a measurement.
const SETTLE_DELAY: Duration = Duration::from_secs(4);

#[ntex::main]
async fn main() {
    if std::env::args().any(|argument| argument == "--list") {
        return;
    }
    measure_router_links().await;
    measure_sidecar_links().await;
    measure_reports().await;
}

/// Measures a router that is connected to many upstreams.
async fn measure_router_links() {
    println!("### links of an idle router\n");
    println!("| upstreams | resident KiB | % of a core | loopback bytes/s |\n|---|---|---|---|");
    let port = start_fake_sidecars().await;
    for upstreams in [100, 500, 1_000, 2_000] {
        let mut fleet = start_empty_fleet(json!({ "hosts_every_ms": 500 })).await;
        for index in 0..upstreams {
            fleet.hosts.put(json!({
                "name": format!("engine-{index}"),
                "address": format!("127.1.{}.{}:{port}", index >> 8, index & 255),
                "domain": format!("domain-{}", index % 17),
                "labels": { "model": format!("model-{}", index % 6) },
            }));
        }
        fleet.start_router();
        let caller = fleet.chat_caller(0).await;
        until(|| async {
            let status = caller.page("/status").await.unwrap_or_default();
            let known = status["upstreams"].as_array().cloned().unwrap_or_default();
            known.iter().filter(|upstream| upstream["up"] == true).count() == upstreams
        })
        .await;
        let usage = Usage::measure(fleet.routers[0].id()).await;
        println!(
            "| {upstreams} | {} | {:.2} | {:.0} |",
            usage.memory_kib, usage.cpu_percent, usage.bytes_per_second
        );
    }
}

/// Measures a sidecar that many routers are connected to.
async fn measure_sidecar_links() {
    println!("\n### links of an idle sidecar\n");
    println!("| routers | resident KiB | % of a core | loopback bytes/s |\n|---|---|---|---|");
    for routers in [50, 100, 200, 400] {
        let layout = Layout { routers: 0, engines: 1, services: 0, ..Layout::default() };
        let fleet = Fleet::start(layout).await;
        let sidecar = &fleet.sidecars["engine-1"];
        let address = sidecar.address("listen");
        let mut connections = Vec::new();
        for index in 0..routers {
            let hello = Hello { key: LINK_KEY.into(), name: format!("entry-{index}").into() };
            let opened = Connection::open(&address, hello, Duration::from_secs(5)).await;
            connections.push(opened.expect("the link opens").0);
        }
        let usage = Usage::measure(sidecar.id()).await;
        println!(
            "| {routers} | {} | {:.2} | {:.0} |",
            usage.memory_kib, usage.cpu_percent, usage.bytes_per_second
        );
        drop(connections);
    }
}

/// Measures the load reports within a pool, at two intervals.
async fn measure_reports() {
    println!("\n### load reports of a pool\n");
    println!("| sidecars | reports/s of each | loopback bytes/s | of which reports |");
    println!("|---|---|---|---|");
    for sidecars in [3, 6, 9, 12] {
        let mut bytes = Vec::new();
        for report_interval_ms in [3_000, 300] {
            let layout = Layout {
                routers: 0,
                engines: sidecars,
                services: 0,
                admission: json!({ "report_keep_ms": report_interval_ms, "report_soon_ms": 20 }),
                ..Layout::default()
            };
            let fleet = Fleet::start(layout).await;
            let usage = Usage::measure(fleet.sidecars["engine-1"].id()).await;
            bytes.push(usage.bytes_per_second);
        }
        println!("| {sidecars} | 1 | {:.0} | - |", bytes[0]);
        println!("| {sidecars} | 10 | {:.0} | {:.0} |", bytes[1], bytes[1] - bytes[0]);
    }
}

async fn start_empty_fleet(router: serde_json::Value) -> Fleet {
    let layout = Layout { routers: 0, engines: 0, services: 0, router, ..Layout::default() };
    Fleet::start(layout).await
}

/// Starts a listener that acts as the sidecars of all upstreams and returns its
/// port. The number of the upstream is taken from the local address of the
/// connection.
async fn start_fake_sidecars() -> u16 {
    let listener = TcpListener::bind("0.0.0.0:0").await.expect("a free port");
    let port = listener.local_addr().expect("the listener has an address").port();
    ntex::rt::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let local = socket.local_addr().expect("the socket has an address");
            let IpAddr::V4(ip) = local.ip() else { continue };
            let [_, _, high, low] = ip.octets();
            let number = usize::from(high) << 8 | usize::from(low);
            let welcome = move || Welcome {
                name: format!("engine-{number}").into(),
                status: Status { incarnation: 1, ..Status::default() },
            };
            let identity = Identity { key: LINK_KEY.into(), requests: Budget::new(usize::MAX) };
            ntex::rt::spawn(async move {
                let _ = link::accept(socket, identity, welcome, async |_| {}).await;
            })
            .detach();
        }
    })
    .detach();
    port
}

/// The resource use of a process, and the traffic of the loopback device.
struct Usage {
    memory_kib: u64,
    cpu_percent: f64,
    bytes_per_second: f64,
}

impl Usage {
    async fn measure(id: u32) -> Self {
        tokio::time::sleep(SETTLE_DELAY).await;
        let (ticks, bytes) = (ticks_and_memory(id).0, loopback_bytes());
        tokio::time::sleep(MEASUREMENT_PERIOD).await;
        let (later, memory) = ticks_and_memory(id);
        let seconds = MEASUREMENT_PERIOD.as_secs_f64();
        Self {
            memory_kib: memory / 1024,
            cpu_percent: 100.0 * to_f64(later - ticks)
                / to_f64(procfs::ticks_per_second())
                / seconds,
            bytes_per_second: to_f64(loopback_bytes() - bytes) / seconds,
        }
    }
}

/// Returns the processor time so far, in clock ticks, and the resident memory in bytes.
fn ticks_and_memory(id: u32) -> (u64, u64) {
    let id = i32::try_from(id).expect("a process id");
    let process = procfs::process::Process::new(id).expect("the process runs");
    let stat = process.stat().expect("its state can be read");
    (stat.utime + stat.stime, stat.rss * procfs::page_size())
}

fn loopback_bytes() -> u64 {
    procfs::net::dev_status().expect("devices can be read")["lo"].recv_bytes
}

#[expect(clippy::cast_precision_loss, reason = "counts of seconds")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
