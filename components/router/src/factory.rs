//! Creates the state shared by the two listeners of a router on a platform.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use edge::Connect;
use spdlog::error;
use tokio::sync::{OnceCell, watch};

use crate::clients::Clients;
use crate::core::Core;
use crate::{background, lateness};

/// The pause before another attempt to create the clients.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

thread_local! {
    /// The state shared by the listeners of one thread.
    static CORE: Rc<OnceCell<Rc<Core>>> = Rc::new(OnceCell::new());
}

/// The inputs to create the shared state.
#[derive(Clone)]
pub(crate) struct CoreFactory {
    pub settings: Arc<settings::Router>,
    pub connect: Connect,
    pub stop: process::Shutdown,
    pub reload: watch::Receiver<settings::Router>,
}

impl CoreFactory {
    /// The state of this thread, created by the first listener.
    pub(crate) async fn core(&self) -> Rc<Core> {
        let cell = CORE.with(Rc::clone);
        cell.get_or_init(|| self.start()).await.clone()
    }

    /// Creates the state and spawns the background tasks.
    async fn start(&self) -> Rc<Core> {
        let clients = self.clients().await;
        let (stop, reload) = (self.stop.clone(), self.reload.clone());
        let (core, directory_updates) =
            Core::new(self.settings.clone(), None, Some(clients), stop, reload).await;
        background::spawn(&core, directory_updates);
        lateness::spawn(&core);
        core
    }

    /// Creates the clients; retries until it succeeds, since nothing can be served without them.
    async fn clients(&self) -> Clients {
        loop {
            match Clients::connect(&self.connect, &self.settings).await {
                Ok(clients) => return clients,
                Err(error) => error!("clients can't be created", kv: { fault = error }),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}
