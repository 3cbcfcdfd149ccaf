//! The sidecar in the slot on an upstream's host.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use sidecar::Sidecar;
use silverstack::cli;

/// The program's name.
const NAME: &str = "silverstack-sidecar";

/// The only way into its upstream: admits, queues, caps and runs once.
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

#[ntex::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        return cli::version(NAME);
    }
    let Some(path) = &arguments.settings else {
        return cli::fail(NAME, "--settings FILE is needed", cli::USAGE);
    };
    let settings: settings::Sidecar = match settings::load(path) {
        Ok(settings) => settings,
        Err(fault) => return cli::fail(NAME, fault, cli::USAGE),
    };
    if arguments.check {
        return ExitCode::from(cli::OK);
    }
    if let Err(fault) =
        cli::level(&arguments.log).and_then(|it| telemetry::logs(it).map_err(|it| it.to_string()))
    {
        return cli::fail(NAME, fault, cli::USAGE);
    }
    let sidecar = match Sidecar::bind(settings) {
        Ok(sidecar) => sidecar,
        Err(fault) => return cli::fail(NAME, fault, cli::USAGE),
    };
    let (listen, admin) = (sidecar.address().to_string(), sidecar.admin_address().to_string());
    process::announce(&[("listen", listen), ("admin", admin)]);
    let stop = sidecar.stop();
    ntex::rt::spawn(async move {
        if process::Stop::signalled().await.is_ok() {
            stop.ask();
        }
    })
    .detach();
    match sidecar.run().await {
        Ok(0) => ExitCode::from(cli::OK),
        Ok(_) => ExitCode::from(cli::CUT),
        Err(fault) => cli::fail(NAME, fault, cli::FAILED),
    }
}
