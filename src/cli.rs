//! Command lines and exit codes.

use std::fmt::Display;
use std::process::ExitCode;

use telemetry::Level;

/// Everything went well.
pub const OK: u8 = 0;

/// Something failed while running.
pub const FAILED: u8 = 1;

/// The command line or the settings are wrong.
pub const USAGE: u8 = 2;

/// A planned stop cut requests that were still in flight.
pub const CUT: u8 = 3;

/// Prints the fault on standard error and returns the exit code for it.
pub fn fail(program: &str, fault: impl Display, code: u8) -> ExitCode {
    eprintln!("{program}: {fault}");
    ExitCode::from(code)
}

/// Prints name and version.
pub fn version(program: &str) -> ExitCode {
    println!("{program} {}", env!("CARGO_PKG_VERSION"));
    ExitCode::from(OK)
}

/// Reads a log level: `error`, `warn`, `info` or `debug`.
///
/// # Errors
///
/// Another word.
pub fn level(word: &str) -> Result<Level, String> {
    match word {
        "error" => Ok(Level::Error),
        "warn" => Ok(Level::Warn),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        _ => Err(format!("{word} is not allowed: error, warn, info or debug")),
    }
}
