//! A binary that runs as a child process.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

/// The time a process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready: Value,
    log: PathBuf,
}

impl Process {
    /// Starts `binary` with `settings` and waits for its ready line.
    pub fn start(binary: &str, settings: &Value) -> Self {
        let path = write_json(settings);
        let log = path.with_extension("log");
        let stderr = std::fs::File::create(&log).expect("the file is writable");
        let mut child = Command::new(binary)
            .args(["--log", "info", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("standard output is a pipe");
        BufReader::new(stdout).read_line(&mut line).expect("the process prints its ready line");
        let ready: Value = serde_json::from_str(&line).expect("one JSON line");
        Self { child, ready: ready["ready"].clone(), log }
    }

    /// Returns the lines of the log, parsed as JSON.
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).expect("the log can be read");
        text.lines().map(|line| serde_json::from_str(line).expect("a JSON line")).collect()
    }

    /// Returns the address of a listener: `listen` or `admin`.
    pub fn address(&self, name: &str) -> String {
        self.ready[name].as_str().expect("the ready line has the address").to_owned()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(id), signal).expect("the signal is sent");
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit, without blocking other tasks.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status;
            }
            assert!(started.elapsed() < EXIT_TIMEOUT, "the process does not exit");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes a document to a new file and returns its path.
pub fn write_json(document: &Value) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("silverstack-test-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, document.to_string()).expect("the file is writable");
    path
}
