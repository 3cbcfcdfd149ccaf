//! Command lines and exit codes.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gumdrop::Options;
use process::{Hangup, Shutdown};
use serde::de::DeserializeOwned;
use settings::Check;
use spdlog::{error, info};
use telemetry::{Level, LogGuard, Stream};
use tokio::sync::watch;

/// Everything went well.
pub const EXIT_OK: u8 = 0;

/// Something failed while running.
pub const EXIT_FAILED: u8 = 1;

/// The command line or the settings are wrong.
pub const EXIT_USAGE: u8 = 2;

/// A planned stop cut requests that were still in flight.
pub const EXIT_INTERRUPTED: u8 = 3;

/// A process of the fleet; it serves until SIGTERM or SIGINT asks it to stop.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Print name and version.
    version: bool,
    /// The settings file.
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    /// Check the settings and stop.
    check: bool,
    /// What to log: error, warn, info or debug.
    #[options(meta = "LEVEL", default = "info")]
    log: String,
}

/// Reads the command line and the settings of a process of the fleet, and
/// starts its log. Returns the settings and where they were read.
///
/// # Errors
///
/// The exit code, where the process has nothing more to do.
pub fn start<T: Check + DeserializeOwned>(
    program: &str,
) -> Result<((T, PathBuf), LogGuard), ExitCode> {
    start_with(program, Stream::Stderr, |path| {
        let Some(path) = path else {
            return Err("--settings FILE is needed".to_owned());
        };
        let settings = settings::load(path).map_err(|fault| fault.to_string())?;
        Ok((settings, path.to_owned()))
    })
}

/// The same, with another way to read the settings; `read` gets the path that
/// the command line names, if it names one.
///
/// # Errors
///
/// The exit code, where the process has nothing more to do.
pub fn start_with<T>(
    program: &str,
    stream: Stream,
    read: impl FnOnce(Option<&Path>) -> Result<T, String>,
) -> Result<(T, LogGuard), ExitCode> {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        return Err(version(program));
    }
    let settings =
        read(arguments.settings.as_deref()).map_err(|fault| fail(program, fault, EXIT_USAGE))?;
    let level = level(&arguments.log).map_err(|fault| fail(program, fault, EXIT_USAGE))?;
    if arguments.check {
        return Err(ExitCode::from(EXIT_OK));
    }
    let logs =
        telemetry::init_logs(level, stream).map_err(|fault| fail(program, fault, EXIT_FAILED))?;
    Ok((settings, logs))
}

/// Reads the settings again at each SIGHUP and hands them to `reload`; settings
/// with a fault are logged and change nothing.
pub fn reload_on_signal<T: Send + Sync + 'static>(
    reload: watch::Sender<T>,
    read: impl Fn() -> Result<T, String> + 'static,
) {
    ntex::rt::spawn(async move {
        let mut signals = match Hangup::listen() {
            Ok(signals) => signals,
            Err(fault) => return error!("SIGHUP can't be heard", kv: { fault = fault.to_string() }),
        };
        while signals.next().await.is_some() {
            match read() {
                Ok(settings) => {
                    info!("settings read again");
                    let _ = reload.send(settings);
                }
                Err(fault) => error!("settings refused", kv: { fault }),
            }
        }
    })
    .detach();
}

/// Asks for a planned stop at the first SIGTERM or SIGINT.
pub fn stop_on_signal(shutdown: Shutdown) {
    ntex::rt::spawn(async move {
        if Shutdown::wait_for_signal().await.is_ok() {
            shutdown.request();
        }
    })
    .detach();
}

/// Prints the fault on standard error and returns the exit code for it.
pub fn fail(program: &str, fault: impl Display, code: u8) -> ExitCode {
    eprintln!("{program}: {fault}");
    ExitCode::from(code)
}

/// Prints name and version.
pub fn version(program: &str) -> ExitCode {
    println!("{program} {}", env!("CARGO_PKG_VERSION"));
    ExitCode::from(EXIT_OK)
}

/// Reads a log level: `error`, `warn`, `info` or `debug`.
///
/// # Errors
///
/// Another word.
fn level(word: &str) -> Result<Level, String> {
    match word {
        "error" => Ok(Level::Error),
        "warn" => Ok(Level::Warn),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        _ => Err(format!("{word} is not allowed: error, warn, info or debug")),
    }
}
