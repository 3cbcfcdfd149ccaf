//! The one state behind the two listeners of a router on a platform.

use std::rc::Rc;
use std::sync::Arc;

use edge::Connect;
use spdlog::error;
use tokio::sync::{OnceCell, watch};

use crate::core::Core;

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
        let edges = match (self.connect)().await {
            Ok(edges) => Some(edges),
            Err(fault) => {
                error!("the platform's edges can't be made", kv: { fault });
                None
            }
        };
        let cell = CORE.with(Rc::clone);
        let (settings, stop, reload) =
            (self.settings.clone(), self.stop.clone(), self.reload.clone());
        let start = || Core::start(settings, None, edges, stop, reload);
        cell.get_or_init(start).await.clone()
    }
}
