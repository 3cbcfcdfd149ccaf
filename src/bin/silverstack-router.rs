//! The router on an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use router::Router;
use silverstack::cli;

/// The program's name.
const NAME: &str = "silverstack-router";

/// Takes callers' requests and relays them to upstreams.
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
    let settings: settings::Router = match settings::load(path) {
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
    let router = match Router::start(settings) {
        Ok(router) => router,
        Err(fault) => return cli::fail(NAME, fault, cli::USAGE),
    };
    process::announce(&[("listen", router.address().to_string())]);
    let stop = router.stop();
    ntex::rt::spawn(async move {
        if process::Stop::signalled().await.is_ok() {
            stop.ask();
        }
    })
    .detach();
    if router.run().await { ExitCode::from(cli::OK) } else { ExitCode::from(cli::CUT) }
}
