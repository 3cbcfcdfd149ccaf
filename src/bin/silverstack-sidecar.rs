//! The sidecar in the slot on an upstream's host.

use std::process::ExitCode;

use sidecar::Sidecar;
use silverstack::cli;

/// The program's name.
const NAME: &str = "silverstack-sidecar";

#[ntex::main]
async fn main() -> ExitCode {
    let settings = match cli::begin::<settings::Sidecar>(NAME) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let sidecar = match Sidecar::bind(settings) {
        Ok(sidecar) => sidecar,
        Err(fault) => return cli::fail(NAME, fault, cli::USAGE),
    };
    let (listen, admin) = (sidecar.address().to_string(), sidecar.admin_address().to_string());
    process::announce(&[("listen", listen), ("admin", admin)]);
    cli::stop_on_signal(sidecar.stop());
    match sidecar.run().await {
        Ok(0) => ExitCode::from(cli::OK),
        Ok(_) => ExitCode::from(cli::CUT),
        Err(fault) => cli::fail(NAME, fault, cli::FAILED),
    }
}
