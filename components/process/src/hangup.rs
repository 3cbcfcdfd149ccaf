//! SIGHUP: the settings have changed.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Hears SIGHUP, which would end the process otherwise.
#[derive(Debug)]
pub struct Hangup {
    signal: Signal,
}

impl Hangup {
    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// The signal can't be listened for.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self { signal: signal(SignalKind::hangup())? })
    }

    /// Waits for the next signal; `None` when there will be no more.
    pub async fn next(&mut self) -> Option<()> {
        self.signal.recv().await
    }
}
