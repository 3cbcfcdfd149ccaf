//! The one state behind the two listeners of a router on a platform.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use edge::Connect;
use spdlog::error;
use tokio::sync::{OnceCell, watch};

use crate::background;
use crate::core::Core;
use crate::reach::Direct;

/// The pause before clients are made once more.
const AGAIN: Duration = Duration::from_secs(1);

thread_local! {
    /// The state that the two listeners of one thread share.
    static CORE: Rc<OnceCell<Rc<Core>>> = Rc::new(OnceCell::new());
}

/// What both listeners need to make the shared state.
#[derive(Clone)]
pub(crate) struct Shared {
    pub settings: Arc<settings::Router>,
    pub connect: Connect,
    pub stop: process::Stop,
    pub reload: watch::Receiver<settings::Router>,
}

impl Shared {
    /// The state of this thread, made by the listener that comes first.
    pub(crate) async fn core(&self) -> Rc<Core> {
        let cell = CORE.with(Rc::clone);
        cell.get_or_init(|| self.start()).await.clone()
    }

    /// Makes the state and starts the tasks that keep it up to date.
    async fn start(&self) -> Rc<Core> {
        let direct = self.direct().await;
        let (stop, reload) = (self.stop.clone(), self.reload.clone());
        let (core, outbox) =
            Core::new(self.settings.clone(), None, Some(direct), stop, reload).await;
        background::spawn(&core, outbox);
        core
    }

    /// What reaches the platform and upstreams; it is tried until it can be made,
    /// since nothing can be served without it.
    async fn direct(&self) -> Direct {
        loop {
            match Direct::connect(&self.connect, &self.settings).await {
                Ok(direct) => return direct,
                Err(fault) => error!("no clients can be made", kv: { fault }),
            }
            tokio::time::sleep(AGAIN).await;
        }
    }
}
