//! One stand-in as a process of its own, for tests and measurements.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use silverstack::cli;
use standin::{Engine, EngineSettings, Hosts, PlainService, Server, Store};

/// The program's name.
const NAME: &str = "silverstack-standin";

/// Stands in for an engine, a plain service, the host list or the key-value
/// service.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Print name and version.
    version: bool,
    /// What to stand in for: engine, plain, hosts or store.
    #[options(free, required)]
    part: String,
    /// Where to listen.
    #[options(meta = "ADDRESS", default = "127.0.0.1:0")]
    listen: String,
    /// The name of a plain service.
    #[options(meta = "NAME", default = "plain")]
    name: String,
    /// The model of an engine.
    #[options(meta = "MODEL", default = "menu-7b")]
    model: String,
    /// The time of an engine's step or a plain service's call, in milliseconds.
    #[options(meta = "MS", default = "4")]
    step: u64,
    /// The requests in an engine's batch.
    #[options(meta = "N", default = "64")]
    batch: usize,
    /// By how much the list of hosts lags, in milliseconds.
    #[options(meta = "MS", default = "200")]
    lag: u64,
}

#[ntex::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        return cli::version(NAME);
    }
    let listen = arguments.listen.as_str();
    let step = Duration::from_millis(arguments.step);
    let served = match arguments.part.as_str() {
        "engine" => {
            let settings = EngineSettings {
                model: arguments.model.clone(),
                step_ms: arguments.step,
                batch: arguments.batch,
                ..EngineSettings::default()
            };
            Engine::start(listen, settings).map(|it| serve(it.server()))
        }
        "plain" => PlainService::start(listen, &arguments.name, step).map(|it| serve(it.server())),
        "hosts" => {
            Hosts::start(listen, Duration::from_millis(arguments.lag)).map(|it| serve(it.server()))
        }
        "store" => Store::start(listen).map(|it| serve(it.server())),
        other => return cli::fail(NAME, format!("{other} is not a stand-in"), cli::EXIT_USAGE),
    };
    if let Err(fault) = served {
        return cli::fail(NAME, fault, cli::EXIT_USAGE);
    }
    if let Err(fault) = process::Shutdown::wait_for_signal().await {
        return cli::fail(NAME, fault, cli::EXIT_FAILED);
    }
    ExitCode::from(cli::EXIT_OK)
}

fn serve(server: &Server) {
    process::announce(&[("listen", server.address().to_string())]);
}
