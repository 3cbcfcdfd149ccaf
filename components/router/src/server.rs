//! The router as a whole: start, serve, stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::{SharedCfg, web};
use snafu::ResultExt;

use crate::core::Core;
use crate::error::{BindSnafu, Error, SocketSnafu};
use crate::{background, http};

/// How long a caller may take to send the headers.
const HEADERS_TIMEOUT: Seconds = Seconds(5);

/// The most headers of a request.
const MAX_HEADERS: usize = 64;

/// How long a stop waits for the last bytes to be written.
const LAST_BYTES: Seconds = Seconds(2);

/// A router that serves.
#[derive(Debug)]
pub struct Router {
    settings: Arc<settings::Router>,
    address: SocketAddr,
    server: ntex::server::Server,
    stop: process::Stop,
}

impl Router {
    /// Reads the intents, binds the socket and starts to serve.
    ///
    /// # Errors
    ///
    /// The intents are wrong, or the address can't be listened on.
    pub fn start(settings: settings::Router) -> Result<Self, Error> {
        let plan = background::read_plan(&settings.intents)?;
        let settings = Arc::new(settings);
        let (listener, address) = process::bind(&settings.listen).context(BindSnafu)?;
        let stop = process::Stop::new();
        let (shared, asked) = (settings.clone(), stop.clone());
        let factory = async move || {
            let core = Core::start(shared.clone(), plan.clone(), asked.clone()).await;
            web::App::new().state(core).configure(http::routes)
        };
        let service = HttpServiceConfig::new()
            .set_max_headers(MAX_HEADERS)
            .set_client_timeout(HEADERS_TIMEOUT);
        let server = web::HttpServer::new(factory)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(LAST_BYTES)
            .config(SharedCfg::new("router").add(service))
            .listen(listener)
            .context(SocketSnafu)?
            .run();
        Ok(Self { settings, address, server, stop })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The handle that asks for a planned stop.
    pub fn stop(&self) -> process::Stop {
        self.stop.clone()
    }

    /// Serves until a stop was asked for and nothing is in flight, or the
    /// drain's time is over. Returns whether everything was finished.
    pub async fn run(self) -> bool {
        self.stop.asked().await;
        let timeout = self.settings.drain_notice_ms + self.settings.drain_ms;
        let timeout = Duration::from_millis(timeout);
        let finished = tokio::time::timeout(timeout, self.stop.finished()).await.is_ok();
        self.server.stop(true).await;
        finished
    }
}
