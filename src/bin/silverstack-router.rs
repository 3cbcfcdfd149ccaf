//! The router.
//!
//! With `--settings FILE` it connects to upstreams through their sidecars. If the
//! environment names the settings file of a platform, it connects to upstreams directly.

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

/// The environment variable with the path of a file that selects the enabled mechanisms,
/// used on a platform.
const MECHANISMS_VARIABLE: &str = "SILVERSTACK_MECHANISMS";

#[ntex::main]
async fn main() -> ExitCode {
    match std::env::var_os(platform::SETTINGS_VARIABLE) {
        Some(path) => run_on_platform(Path::new(&path)).await,
        None => run_with_sidecars().await,
    }
}

async fn run_with_sidecars() -> ExitCode {
    let ((settings, path), _logs) = match cli::start::<settings::Router>(NAME) {
        Ok(started) => started,
        Err(code) => return code,
    };
    match Router::bind(settings) {
        Ok(router) => {
            let reload = move || settings::load(&path).map_err(|error| error.to_string());
            cli::reload_on_signal(router.reload(), reload);
            process::announce(&[("listen", router.address().to_string())]);
            serve(router).await
        }
        Err(error) => cli::fail(NAME, error, cli::EXIT_USAGE),
    }
}

async fn run_on_platform(path: &Path) -> ExitCode {
    let load_initial = |path_argument: Option<&Path>| load_settings(path_argument.unwrap_or(path));
    let (settings, _logs) = match cli::start_with(NAME, Stream::Stdout, load_initial) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let Some(direct) = settings.router.direct.clone() else {
        return cli::fail(
            NAME,
            "the settings configure no direct connection to upstreams",
            cli::EXIT_USAGE,
        );
    };
    let router_settings = settings.router.clone();
    let mechanisms = serde_json::to_string(&router_settings.routing.mechanisms).unwrap_or_default();
    info!("router starts", kv: {
        name = &*router_settings.name,
        domain = &*router_settings.domain,
        listen = &*router_settings.listen,
        mechanisms,
    });
    let connect: edge::Connect = Arc::new(move || {
        let settings = settings.clone();
        async move { settings.connect().await }.boxed_local()
    });
    match Router::bind_direct(router_settings, &direct.admin, connect) {
        Ok(router) => {
            let path = path.to_owned();
            let reload = move || load_settings(&path).map(|settings| settings.router);
            cli::reload_on_signal(router.reload(), reload);
            serve(router).await
        }
        Err(error) => cli::fail(NAME, error, cli::EXIT_USAGE),
    }
}

/// Loads the platform's settings file, and the mechanisms from their own file if there is
/// one.
fn load_settings(path: &Path) -> Result<platform::Settings, String> {
    let mut settings = platform::read(path).map_err(|error| error.to_string())?;
    if let Some(file) = std::env::var_os(MECHANISMS_VARIABLE) {
        let mechanisms = settings::load(Path::new(&file)).map_err(|error| error.to_string())?;
        settings.router.routing.mechanisms = mechanisms;
    }
    Ok(settings)
}

async fn serve(router: Router) -> ExitCode {
    cli::stop_on_signal(router.stop());
    match router.run().await {
        Ok(is_complete) => {
            info!("router stopped", kv: { whole = is_complete });
            ExitCode::from(if is_complete { cli::EXIT_OK } else { cli::EXIT_INTERRUPTED })
        }
        Err(error) => cli::fail(NAME, error, cli::EXIT_FAILED),
    }
}
