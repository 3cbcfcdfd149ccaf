//! The links that other processes open to this one, up to a limit.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet, yield_now};
use wire::Welcome;

use crate::listener::{self, Exchange, Identity};

/// The part of the connections that may be without a greeting, as a divisor.
const UNGREETED_DIVISOR: usize = 4;

/// The open connections and the tasks that serve them.
#[derive(Debug)]
pub struct Server {
    identity: Identity,
    limit: usize,
    tasks: JoinSet<()>,
    /// The connections without a greeting, the oldest first.
    ungreeted: VecDeque<Ungreeted>,
}

#[derive(Debug)]
struct Ungreeted {
    task: AbortHandle,
    is_greeted: Rc<Cell<bool>>,
}

impl Server {
    /// Serves at most `limit` connections.
    pub fn new(identity: Identity, limit: usize) -> Self {
        Self { identity, limit, tasks: JoinSet::new(), ungreeted: VecDeque::new() }
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Waits until a connection ends; `None` if none is open.
    pub async fn join_next(&mut self) -> Option<()> {
        self.tasks.join_next().await.map(drop)
    }

    /// Serves a connection as [`crate::accept`] does. If there are too many without a greeting, the
    /// oldest of them is closed; if there are too many in all, the new one.
    pub async fn serve<H, F>(
        &mut self,
        socket: TcpStream,
        welcome: impl Fn() -> Welcome + 'static,
        handle: H,
    ) where
        H: Fn(Exchange) -> F + 'static,
        F: Future<Output = ()> + 'static,
    {
        while self.tasks.try_join_next().is_some() {}
        self.ungreeted.retain(|other| !other.is_greeted.get() && !other.task.is_finished());
        let is_full = self.tasks.len() >= self.limit;
        if is_full || self.ungreeted.len() >= self.limit.div_ceil(UNGREETED_DIVISOR) {
            let oldest = self.ungreeted.pop_front();
            if let Some(oldest) = &oldest {
                oldest.task.abort();
            }
            // The aborted task closes its socket.
            yield_now().await;
            if is_full && oldest.is_none() {
                return;
            }
        }
        let is_greeted = Rc::new(Cell::new(false));
        let greeted = is_greeted.clone();
        let identity = self.identity.clone();
        let task = self.tasks.spawn_local(async move {
            // Errors of a connection concern the process that opened it.
            let _ = listener::serve(socket, identity, welcome, handle, greeted).await;
        });
        self.ungreeted.push_back(Ungreeted { task, is_greeted });
    }
}
