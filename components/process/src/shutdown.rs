//! Stopping in an orderly way.

use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    #[default]
    Running,
    Requested,
    Done,
}

/// The stop of one process, shared by its threads.
#[derive(Clone, Debug)]
pub struct Shutdown {
    stage: Arc<watch::Sender<Stage>>,
}

impl Shutdown {
    /// A process that runs.
    pub fn new() -> Self {
        Self { stage: Arc::new(watch::Sender::new(Stage::Running)) }
    }

    /// Asks the process to finish what is in flight and stop.
    pub fn request(&self) {
        self.raise(Stage::Requested);
    }

    /// Says that nothing is in flight any more.
    pub fn finish(&self) {
        self.raise(Stage::Done);
    }

    /// Whether a stop was asked for.
    pub fn is_requested(&self) -> bool {
        *self.stage.borrow() >= Stage::Requested
    }

    /// Waits until a stop is asked for.
    pub async fn requested(&self) {
        self.reached(Stage::Requested).await;
    }

    /// Waits until nothing is in flight any more.
    pub async fn finished(&self) {
        self.reached(Stage::Done).await;
    }

    fn raise(&self, stage: Stage) {
        self.stage.send_if_modified(|current| {
            let raised = stage > *current;
            *current = stage.max(*current);
            raised
        });
    }

    async fn reached(&self, stage: Stage) {
        let mut receiver = self.stage.subscribe();
        let _ = receiver.wait_for(|current| *current >= stage).await;
    }

    /// Waits for SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// The signals can't be listened for.
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
