//! Runs a stand-in as a process, for tests and measurements.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use silverstack::cli;
use standin::{Engine, EngineSettings, Hosts, PlainService, Server, Store};

/// The program's name.
const NAME: &str = "silverstack-standin";

/// Runs a stand-in for an engine, a plain service, the host list or the key-value store.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Print name and version.
    version: bool,
    /// The kind of stand-in: engine, plain, hosts or store.
    #[options(free, required)]
    part: String,
    /// The address to listen on.
    #[options(meta = "ADDRESS", default = "127.0.0.1:0")]
    listen: String,
    /// The name of a plain service.
    #[options(meta = "NAME", default = "plain")]
    name: String,
    /// The model of an engine.
    #[options(meta = "MODEL", default = "menu-7b")]
    model: String,
    /// The duration of an engine's step or a plain service's call, in milliseconds.
    #[options(meta = "MS", default = "4")]
    step: u64,
    /// Maximum number of requests in an engine's batch.
    #[options(meta = "N", default = "64")]
    batch: usize,
    /// The delay of changes in the host list, in milliseconds.
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
    let started = match arguments.part.as_str() {
        "engine" => {
            let settings = EngineSettings {
                model: arguments.model.clone(),
                step_ms: arguments.step,
                batch: arguments.batch,
                ..EngineSettings::default()
            };
            Engine::start(listen, settings).map(|standin| announce(standin.server()))
        }
        "plain" => PlainService::start(listen, &arguments.name, step)
            .map(|standin| announce(standin.server())),
        "hosts" => Hosts::start(listen, Duration::from_millis(arguments.lag))
            .map(|standin| announce(standin.server())),
        "store" => Store::start(listen).map(|standin| announce(standin.server())),
        other => {
            return cli::fail(
                NAME,
                format!("unknown stand-in {other}, expected engine, plain, hosts or store"),
                cli::EXIT_USAGE,
            );
        }
    };
    if let Err(error) = started {
        return cli::fail(NAME, error, cli::EXIT_USAGE);
    }
    if let Err(error) = process::Shutdown::wait_for_signal().await {
        return cli::fail(NAME, error, cli::EXIT_FAILED);
    }
    ExitCode::from(cli::EXIT_OK)
}

fn announce(server: &Server) {
    process::announce(&[("listen", server.address().to_string())]);
}
