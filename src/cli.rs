//! Command line, exit codes and signals of the binaries.

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

/// Success.
pub const EXIT_OK: u8 = 0;

/// A failure at runtime.
pub const EXIT_FAILED: u8 = 1;

/// An invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// A planned stop interrupted requests in flight.
pub const EXIT_INTERRUPTED: u8 = 3;

/// Runs a process of the fleet until SIGTERM or SIGINT.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Print the name and version.
    version: bool,
    /// The settings file.
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    /// Check the settings and exit.
    check: bool,
    /// The log level: error, warn, info or debug.
    #[options(meta = "LEVEL", default = "info")]
    log: String,
}

/// Parses the command line, loads the settings and sets up the log. Returns the settings
/// and their path.
///
/// # Errors
///
/// The exit code, if the process is to exit at once.
pub fn start<T: Check + DeserializeOwned>(
    program: &str,
) -> Result<((T, PathBuf), LogGuard), ExitCode> {
    start_with(program, Stream::Stderr, |path| {
        let Some(path) = path else {
            return Err("--settings FILE is needed".to_owned());
        };
        let settings = settings::load(path).map_err(|error| error.to_string())?;
        Ok((settings, path.to_owned()))
    })
}

/// Like [`start`], with settings loaded by `read`, which gets the path of `--settings` if
/// it was given.
///
/// # Errors
///
/// The exit code, if the process is to exit at once.
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
        read(arguments.settings.as_deref()).map_err(|error| fail(program, error, EXIT_USAGE))?;
    let level = parse_level(&arguments.log).map_err(|error| fail(program, error, EXIT_USAGE))?;
    if arguments.check {
        return Err(ExitCode::from(EXIT_OK));
    }
    let logs =
        telemetry::init_logs(level, stream).map_err(|error| fail(program, error, EXIT_FAILED))?;
    Ok((settings, logs))
}

/// Reloads the settings at each SIGHUP and sends them to `reload`. Invalid settings are
/// logged and have no effect.
pub fn reload_on_signal<T: Send + Sync + 'static>(
    reload: watch::Sender<T>,
    read: impl Fn() -> Result<T, String> + 'static,
) {
    ntex::rt::spawn(async move {
        let mut signals = match Hangup::listen() {
            Ok(signals) => signals,
            Err(error) => {
                return error!("can't listen for SIGHUP", kv: { fault = error.to_string() });
            }
        };
        while signals.next().await.is_some() {
            match read() {
                Ok(settings) => {
                    info!("settings reloaded");
                    let _ = reload.send(settings);
                }
                Err(error) => error!("settings refused", kv: { fault = error }),
            }
        }
    })
    .detach();
}

/// Requests a planned stop at the first SIGTERM or SIGINT.
pub fn stop_on_signal(shutdown: Shutdown) {
    ntex::rt::spawn(async move {
        if Shutdown::wait_for_signal().await.is_ok() {
            shutdown.request();
        }
    })
    .detach();
}

/// Prints an error to standard error and returns the exit code.
pub fn fail(program: &str, error: impl Display, code: u8) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(code)
}

/// Prints the program's name and version.
pub fn version(program: &str) -> ExitCode {
    println!("{program} {}", env!("CARGO_PKG_VERSION"));
    ExitCode::from(EXIT_OK)
}

/// Parses a log level: `error`, `warn`, `info` or `debug`.
///
/// # Errors
///
/// The word is not a level.
fn parse_level(word: &str) -> Result<Level, String> {
    match word {
        "error" => Ok(Level::Error),
        "warn" => Ok(Level::Warn),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        _ => Err(format!("invalid log level {word}, expected error, warn, info or debug")),
    }
}
