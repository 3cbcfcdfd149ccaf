//! The router on an entry host.

use std::process::ExitCode;

use router::Router;
use silverstack::cli;

/// The program's name.
const NAME: &str = "silverstack-router";

#[ntex::main]
async fn main() -> ExitCode {
    let settings = match cli::begin::<settings::Router>(NAME) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let router = match Router::start(settings) {
        Ok(router) => router,
        Err(fault) => return cli::fail(NAME, fault, cli::USAGE),
    };
    process::announce(&[("listen", router.address().to_string())]);
    cli::stop_on_signal(router.stop());
    ExitCode::from(if router.run().await { cli::OK } else { cli::CUT })
}
