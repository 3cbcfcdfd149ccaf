//! One binary as a process.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

/// How long a process may take to end after it was asked to.
const END_TIMEOUT: Duration = Duration::from_secs(30);

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready: Value,
    log: PathBuf,
}

impl Process {
    /// Starts `binary` with `settings` and waits until it listens.
    pub fn start(binary: &str, settings: &Value) -> Self {
        let path = write(settings);
        let log = path.with_extension("log");
        let errors = std::fs::File::create(&log).expect("the test can write");
        let mut child = Command::new(binary)
            .args(["--log", "info", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("standard output is a pipe");
        BufReader::new(out).read_line(&mut line).expect("the process says where it listens");
        let ready: Value = serde_json::from_str(&line).expect("one JSON line");
        Self { child, ready: ready["ready"].clone(), log }
    }

    /// Every line that it has logged, each a JSON document.
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).expect("the log can be read");
        text.lines().map(|line| serde_json::from_str(line).expect("a JSON line")).collect()
    }

    /// Where it listens: `listen` or `admin`.
    pub fn address(&self, name: &str) -> String {
        self.ready[name].as_str().expect("the process listens there").to_owned()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the process takes the signal");
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until it has ended, without holding up other tasks.
    pub async fn ended(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status;
            }
            assert!(started.elapsed() < END_TIMEOUT, "the process does not end");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes a document to a file of its own.
pub fn write(document: &Value) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("silverstack-test-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, document.to_string()).expect("the test can write");
    path
}
