//! Planned stops.

use std::sync::{Arc, OnceLock};

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

/// The progress of a stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    #[default]
    Running,
    Requested,
    Interrupted,
    Finished,
}

/// The planned stop of a process; clones share its state.
#[derive(Clone, Debug)]
pub struct Shutdown {
    stage: Arc<watch::Sender<Stage>>,
    requested_at: Arc<OnceLock<Instant>>,
}

impl Shutdown {
    /// Creates the handle of a running process.
    pub fn new() -> Self {
        Self { stage: Arc::new(watch::Sender::new(Stage::Running)), requested_at: Arc::default() }
    }

    /// Requests that the process finishes what is in flight and stops.
    pub fn request(&self) {
        self.requested_at.get_or_init(Instant::now);
        self.advance_to(Stage::Requested);
    }

    /// Requests that what is still in flight ends now.
    pub fn interrupt(&self) {
        self.advance_to(Stage::Interrupted);
    }

    /// Marks the stop as finished: nothing is in flight.
    pub fn finish(&self) {
        self.advance_to(Stage::Finished);
    }

    /// When the stop was requested.
    pub fn requested_at(&self) -> Option<Instant> {
        self.requested_at.get().copied()
    }

    /// Whether a stop was requested.
    pub fn is_requested(&self) -> bool {
        *self.stage.borrow() >= Stage::Requested
    }

    /// Waits until a stop is requested.
    pub async fn requested(&self) {
        self.wait_until(Stage::Requested).await;
    }

    /// Waits until what is in flight must end.
    pub async fn interrupted(&self) {
        self.wait_until(Stage::Interrupted).await;
    }

    /// Waits until the stop is finished.
    pub async fn finished(&self) {
        self.wait_until(Stage::Finished).await;
    }

    fn advance_to(&self, stage: Stage) {
        self.stage.send_if_modified(|current| {
            let is_later = stage > *current;
            *current = stage.max(*current);
            is_later
        });
    }

    async fn wait_until(&self, stage: Stage) {
        let mut receiver = self.stage.subscribe();
        let _ = receiver.wait_for(|current| *current >= stage).await;
    }

    /// Waits for SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// A signal handler can't be installed.
    pub async fn wait_for_signal() -> std::io::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        Ok(())
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}
