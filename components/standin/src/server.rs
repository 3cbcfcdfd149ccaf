//! The HTTP server of a stand-in.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};

use ntex::web;

/// A running HTTP server; it stops when [`Server::stop`] is awaited.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    server: ntex::server::Server,
}

impl Server {
    /// Serves the routes of `configure` on one thread.
    pub(crate) fn start<F>(address: &str, configure: F) -> std::io::Result<Self>
    where
        F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let factory = async move || web::App::new().configure(configure.clone());
        let server = web::HttpServer::new(factory)
            .workers(1)
            .disable_signals()
            .shutdown_timeout(ntex::time::Seconds(1))
            .listen(listener)?
            .run();
        Ok(Self { address, server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops the server without waiting for open requests.
    pub fn stop(&self) -> impl Future<Output = ()> + use<> {
        self.server.stop(false)
    }
}
