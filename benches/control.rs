//! What the fleet costs while nobody calls: `cargo bench --bench control`.
//!
//! Bytes are those of the loopback device, with the headers of TCP and IP, so
//! nothing else may run beside it.

#[path = "../tests/end_to_end/fleet.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod fleet;
#[path = "../tests/end_to_end/process.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod process;

use std::net::IpAddr;
use std::time::Duration;

use fleet::{Fleet, LINK_KEY, Layout, until};
use link::{Connection, Identity};
use serde_json::json;
use tokio::net::TcpListener;
use wire::{Hello, Status, Welcome};

/// How long each point is measured.
const LENGTH: Duration = Duration::from_secs(6);

/// How long a point settles first.
const SETTLE: Duration = Duration::from_secs(4);

#[ntex::main]
async fn main() {
    if std::env::args().any(|it| it == "--list") {
        return;
    }
    router_links().await;
    sidecar_links().await;
    reports().await;
}

/// One router that has met many upstreams.
async fn router_links() {
    println!("### a router's links, nobody calling\n");
    println!("| upstreams | resident KiB | % of a core | loopback bytes/s |\n|---|---|---|---|");
    let port = pretend_sidecars().await;
    for upstreams in [100, 500, 1_000, 2_000] {
        let mut fleet = empty(json!({ "hosts_every_ms": 500 })).await;
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
            known.iter().filter(|it| it["up"] == true).count() == upstreams
        })
        .await;
        let point = Point::measure(fleet.routers[0].id()).await;
        println!("| {upstreams} | {} | {:.2} | {:.0} |", point.kib, point.core, point.bytes);
    }
}

/// One sidecar that many routers have met.
async fn sidecar_links() {
    println!("\n### a sidecar's links, nobody calling\n");
    println!("| routers | resident KiB | % of a core | loopback bytes/s |\n|---|---|---|---|");
    for routers in [50, 100, 200, 400] {
        let layout = Layout { routers: 0, engines: 1, services: 0, ..Layout::default() };
        let fleet = Fleet::start(layout).await;
        let sidecar = &fleet.sidecars["engine-1"];
        let address = sidecar.address("listen");
        let mut held = Vec::new();
        for index in 0..routers {
            let hello = Hello { key: LINK_KEY.into(), name: format!("entry-{index}").into() };
            let opened = Connection::open(&address, hello, Duration::from_secs(5)).await;
            held.push(opened.expect("the link opens").0);
        }
        let point = Point::measure(sidecar.id()).await;
        println!("| {routers} | {} | {:.2} | {:.0} |", point.kib, point.core, point.bytes);
        drop(held);
    }
}

/// Sidecars of one pool that report their loads, at two paces.
async fn reports() {
    println!("\n### a pool's load reports\n");
    println!("| sidecars | reports/s of each | loopback bytes/s | of which reports |");
    println!("|---|---|---|---|");
    for sidecars in [3, 6, 9, 12] {
        let mut bytes = Vec::new();
        for keep in [3_000, 300] {
            let layout = Layout {
                routers: 0,
                engines: sidecars,
                services: 0,
                admission: json!({ "report_keep_ms": keep, "report_soon_ms": 20 }),
                ..Layout::default()
            };
            let fleet = Fleet::start(layout).await;
            let point = Point::measure(fleet.sidecars["engine-1"].id()).await;
            bytes.push(point.bytes);
        }
        println!("| {sidecars} | 1 | {:.0} | - |", bytes[0]);
        println!("| {sidecars} | 10 | {:.0} | {:.0} |", bytes[1], bytes[1] - bytes[0]);
    }
}

async fn empty(router: serde_json::Value) -> Fleet {
    let layout = Layout { routers: 0, engines: 0, services: 0, router, ..Layout::default() };
    Fleet::start(layout).await
}

/// One listener that greets as the sidecar of every upstream: the one whose
/// number is in the address that was connected to.
async fn pretend_sidecars() -> u16 {
    let listener = TcpListener::bind("0.0.0.0:0").await.expect("a free port");
    let port = listener.local_addr().expect("it is bound").port();
    ntex::rt::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let local = socket.local_addr().expect("it is connected");
            let IpAddr::V4(ip) = local.ip() else { continue };
            let [_, _, high, low] = ip.octets();
            let name = usize::from(high) << 8 | usize::from(low);
            let welcome = move || Welcome {
                name: format!("engine-{name}").into(),
                status: Status { incarnation: 1, ..Status::default() },
            };
            let identity = Identity { key: LINK_KEY.into() };
            ntex::rt::spawn(async move {
                let _ = link::accept(socket, identity, welcome, async |_| {}).await;
            })
            .detach();
        }
    })
    .detach();
    port
}

/// What a process and the loopback device did for a while.
struct Point {
    kib: u64,
    core: f64,
    bytes: f64,
}

impl Point {
    async fn measure(id: u32) -> Self {
        tokio::time::sleep(SETTLE).await;
        let (ticks, bytes) = (ticks_of(id).0, loopback());
        tokio::time::sleep(LENGTH).await;
        let (later, memory) = ticks_of(id);
        let seconds = LENGTH.as_secs_f64();
        Self {
            kib: memory / 1024,
            core: 100.0 * number(later - ticks) / number(procfs::ticks_per_second()) / seconds,
            bytes: number(loopback() - bytes) / seconds,
        }
    }
}

/// Processor time so far, in clock ticks, and resident bytes.
fn ticks_of(id: u32) -> (u64, u64) {
    let id = i32::try_from(id).expect("a process id");
    let process = procfs::process::Process::new(id).expect("the process runs");
    let stat = process.stat().expect("its state can be read");
    (stat.utime + stat.stime, stat.rss * procfs::page_size())
}

fn loopback() -> u64 {
    procfs::net::dev_status().expect("devices can be read")["lo"].recv_bytes
}

#[expect(clippy::cast_precision_loss, reason = "counts of seconds")]
fn number(count: u64) -> f64 {
    count as f64
}
