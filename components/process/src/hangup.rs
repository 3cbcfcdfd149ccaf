//! SIGHUP, which requests that the settings are reloaded.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A listener for SIGHUP, which replaces the default action of ending the process.
#[derive(Debug)]
pub struct Hangup {
    signal: Signal,
}

impl Hangup {
    /// Installs the signal handler.
    ///
    /// # Errors
    ///
    /// The handler can't be installed.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self { signal: signal(SignalKind::hangup())? })
    }

    /// Waits for the next signal; `None` if no more can be received.
    pub async fn next(&mut self) -> Option<()> {
        self.signal.recv().await
    }
}
