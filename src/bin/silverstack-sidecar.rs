//! The sidecar, which runs on an upstream's host.

use std::process::ExitCode;

use sidecar::Sidecar;
use silverstack::cli;
use tokio::sync::watch;

/// The program's name.
const NAME: &str = "silverstack-sidecar";

#[ntex::main]
async fn main() -> ExitCode {
    let ((settings, path), _logs) = match cli::start::<settings::Sidecar>(NAME) {
        Ok(begun) => begun,
        Err(code) => return code,
    };
    let sidecar = match Sidecar::bind(settings) {
        Ok(sidecar) => sidecar,
        Err(error) => return cli::fail(NAME, error, cli::EXIT_USAGE),
    };
    let (listen, admin) = (sidecar.address().to_string(), sidecar.admin_address().to_string());
    process::announce(&[("listen", listen), ("admin", admin)]);
    cli::stop_on_signal(sidecar.stop());
    // Reloaded settings are only checked; they apply at the next start.
    let (reload, _) = watch::channel(sidecar.settings().clone());
    cli::reload_on_signal(reload, move || settings::load(&path).map_err(|error| error.to_string()));
    match sidecar.run().await {
        0 => ExitCode::from(cli::EXIT_OK),
        _ => ExitCode::from(cli::EXIT_INTERRUPTED),
    }
}
