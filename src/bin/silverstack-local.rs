//! Runs a complete fleet in one process, to try silverstack on a laptop.

use std::process::ExitCode;

use gumdrop::Options;
use silverstack::cli;
use silverstack::local::{self, Fleet, Size};

/// The program's name.
const NAME: &str = "silverstack-local";

/// Runs routers, sidecars and stand-ins in one process and sends them chats
/// and calls.
#[derive(Debug, Options)]
#[expect(clippy::struct_excessive_bools, reason = "they are flags")]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Print name and version.
    version: bool,
    /// Number of routers.
    #[options(meta = "N", default = "2")]
    routers: usize,
    /// Number of model engines.
    #[options(meta = "N", default = "6")]
    engines: usize,
    /// Number of plain services.
    #[options(meta = "N", default = "3")]
    services: usize,
    /// Number of chats to send.
    #[options(meta = "N", default = "12")]
    chats: usize,
    /// Number of turns of each chat.
    #[options(meta = "N", default = "4")]
    turns: usize,
    /// Print the summary only.
    quiet: bool,
    /// Keep serving until SIGTERM or SIGINT.
    stay: bool,
}

#[ntex::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        return cli::version(NAME);
    }
    let _logs = match telemetry::init_logs(telemetry::Level::Error, telemetry::Stream::Stderr) {
        Ok(logs) => logs,
        Err(error) => return cli::fail(NAME, error, cli::EXIT_FAILED),
    };
    let size = Size {
        routers: arguments.routers.max(1),
        engines: arguments.engines.max(1),
        services: arguments.services.max(1),
    };
    let fleet = match Fleet::start(size).await {
        Ok(fleet) => fleet,
        Err(error) => return cli::fail(NAME, error, cli::EXIT_FAILED),
    };
    let summary = local::run(&fleet, arguments.chats, arguments.turns, !arguments.quiet).await;
    println!("{summary}");
    if arguments.stay {
        println!("serving; try:\n{}", example_request(&fleet.router_urls()[0]));
        if let Err(error) = process::Shutdown::wait_for_signal().await {
            return cli::fail(NAME, error, cli::EXIT_FAILED);
        }
    }
    let interrupted = fleet.stop().await;
    if interrupted > 0 {
        return cli::fail(
            NAME,
            format!("{interrupted} requests were interrupted by the stop"),
            cli::EXIT_INTERRUPTED,
        );
    }
    ExitCode::from(if summary.is_clean() { cli::EXIT_OK } else { cli::EXIT_FAILED })
}

fn example_request(url: &str) -> String {
    let body = r#"{"model":"menu-7b","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"oi"}]}"#;
    format!(
        "curl -N -H 'Authorization: Bearer mesa:mesa-laptop-key' -d '{body}' {url}/v1/chat/completions"
    )
}
