//! Overhead of the path through router and sidecar: `cargo bench --bench path`.

#[path = "../tests/end_to_end/fleet.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod fleet;
#[path = "../tests/end_to_end/process.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod process;

use std::time::{Duration, Instant};

use fleet::{Fleet, Layout, MODEL, chat, until};
use hdrhistogram::Histogram;
use load::Caller;
use standin::EngineSettings;
use tokio::task::JoinSet;

/// The number of concurrent streams.
const STREAMS: usize = 1_000;

/// The number of tokens of each stream.
const TOKENS: u64 = 100;

/// The duration of an engine's step.
const STEP_MS: u64 = 40;

/// The number of engines, each with a sidecar.
const ENGINES: usize = 4;

/// The time over which the starts of the streams are spread.
const START_PERIOD: Duration = Duration::from_secs(2);

/// The number of callers that do not read their answers.
const SLOW_CALLERS: usize = 100;

/// The number of tokens of the answer to a slow caller, which is megabytes long.
const SLOW_TOKENS: u64 = 20_000;

#[ntex::main]
async fn main() {
    // Test runners list the benchmarks with this argument.
    if std::env::args().any(|argument| argument == "--list") {
        return;
    }
    let fleet = Fleet::start(layout(STEP_MS, STREAMS)).await;
    let idle = Usage::read(&fleet);
    println!("### idle memory\n\n| binary | MiB |\n|---|---|");
    println!("| silverstack-router | {:.1} |", mib(idle.router.memory));
    println!("| silverstack-sidecar | {:.1} |", mib(idle.sidecars.memory) / to_f64(ENGINES));

    let urls: Vec<_> = fleet.engines.iter().map(|engine| engine.server().url()).collect();
    let direct = run(&urls, None).await;
    let routed = run(&[fleet.url(0)], Some(&fleet)).await;
    println!("\n### time to the first token, {STREAMS} streams\n");
    println!("| | direct ms | through ms | added ms | ratio |\n|---|---|---|---|---|");
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (direct_ms, routed_ms) = (direct.first_ms(quantile), routed.first_ms(quantile));
        println!(
            "| {name} | {direct_ms:.2} | {routed_ms:.2} | {:.2} | {:.3} |",
            routed_ms - direct_ms,
            routed_ms / direct_ms
        );
    }
    let (Some(before), Some(open), Some(after)) = (routed.before, routed.open, routed.after) else {
        return;
    };
    let frames = to_f64(STREAMS) * routed.frames;
    let router = before.router.micros_until(after.router) / frames;
    let sidecars = before.sidecars.micros_until(after.sidecars) / frames;
    println!("\n### processor time for a relayed token frame\n\n| process | µs |\n|---|---|");
    println!(
        "| router | {router:.1} |\n| sidecar | {sidecars:.1} |\n| both | {:.1} |",
        router + sidecars
    );
    println!("\n### memory of an open stream\n\n| process | KiB |\n|---|---|");
    println!("| router | {:.1} |", kib_each(open.router.memory, before.router.memory, STREAMS));
    println!(
        "| sidecar | {:.1} |",
        kib_each(open.sidecars.memory, before.sidecars.memory, STREAMS)
    );
    drop(fleet);
    measure_slow_callers().await;
}

/// Returns a layout of one router and the engines, with a load bound that is never reached.
fn layout(step_ms: u64, streams: usize) -> Layout {
    let engine = EngineSettings {
        model: MODEL.to_owned(),
        step_ms,
        batch: streams,
        ..EngineSettings::default()
    };
    let admission = serde_json::json!({
        "slots": streams,
        "bound": { "multiple": 1.25, "floor": 1_000_000_000 },
    });
    Layout { routers: 1, engines: ENGINES, services: 0, engine, admission, ..Layout::default() }
}

/// The measurements of a run.
struct Run {
    first_micros: Histogram<u64>,
    /// The token frames of a stream.
    frames: f64,
    before: Option<Usage>,
    open: Option<Usage>,
    after: Option<Usage>,
}

impl Run {
    fn first_ms(&self, quantile: f64) -> f64 {
        Duration::from_micros(self.first_micros.value_at_quantile(quantile)).as_secs_f64() * 1e3
    }
}

/// Starts the streams over [`START_PERIOD`] and reads them to their end.
async fn run(urls: &[String], fleet: Option<&Fleet>) -> Run {
    let before = fleet.map(Usage::read);
    let mut streams = JoinSet::new();
    for index in 0..STREAMS {
        let url = urls[index % urls.len()].clone();
        streams.spawn_local(async move {
            tokio::time::sleep(START_PERIOD * u32::try_from(index).unwrap_or(0) / 1_000).await;
            let caller = Caller::new(&url, "mesa", "mesa-laptop-key").await.expect("a client");
            let name = format!("{index}-{}", url.len());
            caller.chat(&chat(&name, TOKENS, true)).await.expect("a complete answer")
        });
    }
    tokio::time::sleep(START_PERIOD + Duration::from_millis(200)).await;
    let open = fleet.map(Usage::read);
    let mut first_micros = Histogram::new(3).expect("three digits");
    while let Some(answer) = streams.join_next().await {
        let first = answer.expect("the stream task completes").first;
        first_micros += u64::try_from(first.as_micros()).unwrap_or(u64::MAX);
    }
    let after = fleet.map(Usage::read);
    #[expect(clippy::cast_precision_loss, reason = "a hundred")]
    let frames = TOKENS as f64;
    Run { first_micros, frames, before, open, after }
}

/// Measures the memory of the processes while callers do not read long answers.
async fn measure_slow_callers() {
    let fleet = Fleet::start(layout(1, SLOW_CALLERS)).await;
    let before = Usage::read(&fleet);
    let mut streams = Vec::new();
    for index in 0..SLOW_CALLERS {
        let caller = Caller::new(&fleet.url(0), "mesa", "mesa-laptop-key").await.expect("a client");
        let chat = chat(&format!("slow{index}"), SLOW_TOKENS, true);
        streams.push(caller.hold(&chat).await.expect("the stream starts"));
    }
    let started = Instant::now();
    println!("\n### {SLOW_CALLERS} callers that do not read\n");
    println!("| after s | router KiB each | sidecar KiB each |\n|---|---|---|");
    for seconds in [2, 5, 10, 20] {
        until(|| async { started.elapsed() >= Duration::from_secs(seconds) }).await;
        let now = Usage::read(&fleet);
        println!(
            "| {seconds} | {:.1} | {:.1} |",
            kib_each(now.router.memory, before.router.memory, SLOW_CALLERS),
            kib_each(now.sidecars.memory, before.sidecars.memory, SLOW_CALLERS)
        );
    }
    drop(streams);
}

/// The resource use of the router and of all sidecars.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    router: ProcessUsage,
    sidecars: ProcessUsage,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProcessUsage {
    /// Resident memory, in bytes.
    memory: u64,
    /// Processor time, in clock ticks.
    ticks: u64,
}

impl Usage {
    fn read(fleet: &Fleet) -> Self {
        let usages = fleet.sidecars.values().map(|sidecar| ProcessUsage::read(sidecar.id()));
        let sidecars = usages.fold(ProcessUsage::default(), |sum, usage| ProcessUsage {
            memory: sum.memory + usage.memory,
            ticks: sum.ticks + usage.ticks,
        });
        Self { router: ProcessUsage::read(fleet.routers[0].id()), sidecars }
    }
}

impl ProcessUsage {
    fn read(id: u32) -> Self {
        let id = i32::try_from(id).expect("a process id");
        let process = procfs::process::Process::new(id).expect("the process runs");
        let stat = process.stat().expect("its state can be read");
        Self { memory: stat.rss * procfs::page_size(), ticks: stat.utime + stat.stime }
    }

    #[expect(clippy::cast_precision_loss, reason = "ticks of minutes")]
    fn micros_until(self, later: Self) -> f64 {
        (later.ticks - self.ticks) as f64 * 1e6 / procfs::ticks_per_second() as f64
    }
}

#[expect(clippy::cast_precision_loss, reason = "memory of small processes")]
fn mib(bytes: u64) -> f64 {
    bytes as f64 / 1024.0 / 1024.0
}

#[expect(clippy::cast_precision_loss, reason = "memory of small processes")]
fn kib_each(now: u64, before: u64, count: usize) -> f64 {
    (now as f64 - before as f64) / 1024.0 / count as f64
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
