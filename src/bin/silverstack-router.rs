//! The router on an entry host.
//!
//! With `--settings FILE` it runs on its own settings and reaches upstreams
//! through their sidecars. Where the environment names the settings file of a
//! platform, it runs on that platform and reaches upstreams directly.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use futures_util::FutureExt;
use router::Router;
use silverstack::cli;
use spdlog::info;
use telemetry::Stream;

/// The program's name.
const NAME: &str = "silverstack-router";

/// The environment variable with the path of a file that switches mechanisms off, on a
/// platform.
const MECHANISMS: &str = "SILVERSTACK_MECHANISMS";

#[ntex::main]
async fn main() -> ExitCode {
    match std::env::var_os(platform::SETTINGS_VARIABLE) {
        Some(path) => on_platform(Path::new(&path)).await,
        None => on_own_settings().await,
    }
}

async fn on_own_settings() -> ExitCode {
    let ((settings, path), _logs) = match cli::start::<settings::Router>(NAME) {
        Ok(begun) => begun,
        Err(code) => return code,
    };
    match Router::start(settings) {
        Ok(router) => {
            let read = move || settings::load(&path).map_err(|fault| fault.to_string());
            cli::reload_on_signal(router.reload(), read);
            process::announce(&[("listen", router.address().to_string())]);
            serve(router).await
        }
        Err(fault) => cli::fail(NAME, fault, cli::EXIT_USAGE),
    }
}

async fn on_platform(path: &Path) -> ExitCode {
    let read_first = |named: Option<&Path>| read(named.unwrap_or(path));
    let (settings, _logs) = match cli::start_with(NAME, Stream::Stdout, read_first) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let Some(direct) = settings.router.direct.clone() else {
        return cli::fail(NAME, "the settings name no way to upstreams", cli::EXIT_USAGE);
    };
    let own = settings.router.clone();
    let mechanisms = serde_json::to_string(&own.routing.mechanisms).unwrap_or_default();
    info!("router starts", kv: {
        name = &*own.name,
        domain = &*own.domain,
        listen = &*own.listen,
        mechanisms,
    });
    let connect: edge::Connect = Arc::new(move || {
        let settings = settings.clone();
        async move { settings.connect().await }.boxed_local()
    });
    match Router::start_direct(own, &direct.admin, connect) {
        Ok(router) => {
            let path = path.to_owned();
            let read = move || read(&path).map(|it| it.router);
            cli::reload_on_signal(router.reload(), read);
            serve(router).await
        }
        Err(fault) => cli::fail(NAME, fault, cli::EXIT_USAGE),
    }
}

/// Reads the platform's settings file, and which mechanisms are in use where a file of
/// our own says so.
fn read(path: &Path) -> Result<platform::Settings, String> {
    let mut settings = platform::read(path).map_err(|fault| fault.to_string())?;
    if let Some(file) = std::env::var_os(MECHANISMS) {
        let mechanisms = settings::load(Path::new(&file)).map_err(|fault| fault.to_string())?;
        settings.router.routing.mechanisms = mechanisms;
    }
    Ok(settings)
}

async fn serve(router: Router) -> ExitCode {
    cli::stop_on_signal(router.stop());
    let whole = router.run().await;
    info!("router stopped", kv: { whole });
    ExitCode::from(if whole { cli::EXIT_OK } else { cli::EXIT_INTERRUPTED })
}
