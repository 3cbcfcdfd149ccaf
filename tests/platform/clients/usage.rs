//! Measures the memory and the descriptors of a process while a test runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use procfs::net::TcpState;
use procfs::process::Process;

/// Time between two samples.
const INTERVAL: Duration = Duration::from_millis(5);

/// For how long the descriptors of a settled process don't change.
const SETTLED: Duration = Duration::from_millis(500);

/// The longest wait until they don't.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Waits until the number of a process's descriptors does not change any more.
pub fn settle(id: u32) {
    let started = Instant::now();
    let (mut last, mut changed) = (descriptors(id), Instant::now());
    while changed.elapsed() < SETTLED && started.elapsed() < MAX_WAIT {
        std::thread::sleep(INTERVAL);
        let now = descriptors(id);
        if now != last {
            (last, changed) = (now, Instant::now());
        }
    }
}

/// Waits until `condition` is true.
pub fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < MAX_WAIT, "the condition did not become true");
        std::thread::sleep(INTERVAL);
    }
}

/// The number of a process's descriptors.
pub fn descriptors(id: u32) -> usize {
    let count = Process::new(id.cast_signed()).and_then(|process| process.fd_count());
    count.unwrap_or_default()
}

/// The most that a process used at any one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory, and bytes that arrived at its sockets and were not read.
    pub bytes: u64,
    /// The unread bytes at that moment.
    pub unread_bytes: u64,
    pub descriptors: usize,
}

/// Samples a process until it is finished.
#[derive(Debug)]
pub struct Usage {
    is_finished: Arc<AtomicBool>,
    sampler: JoinHandle<Peak>,
}

impl Usage {
    /// Begins to sample the process `id`, which listens on `sockets`.
    pub fn start(id: u32, sockets: Vec<SocketAddr>) -> Self {
        let is_finished = Arc::new(AtomicBool::new(false));
        let finished = is_finished.clone();
        let sampler = std::thread::spawn(move || {
            let mut peak = Peak::default();
            while !finished.load(Ordering::Relaxed) {
                sample(id, &sockets, &mut peak);
                std::thread::sleep(INTERVAL);
            }
            peak
        });
        Self { is_finished, sampler }
    }

    /// Ends the samples and returns the peak.
    pub fn finish(self) -> Peak {
        self.is_finished.store(true, Ordering::Relaxed);
        self.sampler.join().expect("the samples end")
    }
}

/// Takes one sample. A process that has ended adds nothing.
fn sample(id: u32, sockets: &[SocketAddr], peak: &mut Peak) {
    let process = Process::new(id.cast_signed());
    let Ok(memory) = process.and_then(|process| process.statm()) else { return };
    let unread_bytes = unread(sockets);
    let bytes = memory.resident * procfs::page_size() + unread_bytes;
    if bytes > peak.bytes {
        (peak.bytes, peak.unread_bytes) = (bytes, unread_bytes);
    }
    peak.descriptors = peak.descriptors.max(descriptors(id));
}

/// Bytes that arrived on connections to `sockets` and were not read.
fn unread(sockets: &[SocketAddr]) -> u64 {
    let connections = procfs::net::tcp().unwrap_or_default().into_iter();
    connections
        .filter(|entry| entry.state != TcpState::Listen && sockets.contains(&entry.local_address))
        .map(|entry| u64::from(entry.rx_queue))
        .sum()
}
