//! The open connections of a listener, and which of them is closed when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ntex::io::IoRef;
use tokio::time::Instant;

/// How long the last answer on an idle connection may take to be written when it is closed.
const FLUSH_TIME: Duration = Duration::from_secs(2);

/// The open connections of a listener, up to a limit. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    limit: usize,
    open: RefCell<HashMap<IoRef, Connection>>,
    closed: Cell<usize>,
    refused: Cell<usize>,
}

#[derive(Debug)]
struct Connection {
    /// Requests in progress.
    requests: usize,
    /// When the last request ended, or the connection was opened.
    idle_since: Instant,
}

/// What was done to keep to the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evictions {
    /// Idle connections that were closed for others.
    pub closed: usize,
    /// New connections that were closed, as no other was idle.
    pub refused: usize,
}

impl Connections {
    /// At most `limit` connections.
    pub fn new(limit: usize) -> Self {
        let (closed, refused) = (Cell::default(), Cell::default());
        Self { state: Rc::new(State { limit, open: RefCell::default(), closed, refused }) }
    }

    /// The limit.
    pub fn limit(&self) -> usize {
        self.state.limit
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.state.open.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns and resets the counts of closed and refused connections.
    pub fn take_evictions(&self) -> Evictions {
        Evictions { closed: self.state.closed.take(), refused: self.state.refused.take() }
    }

    /// Marks a connection as in use until the result is dropped; `None` if it is not open.
    pub fn start_request(&self, connection: &IoRef) -> Option<Request> {
        self.state.open.borrow_mut().get_mut(connection)?.requests += 1;
        Some(Request { connections: self.clone(), connection: connection.clone() })
    }

    pub(crate) fn is_full(&self) -> bool {
        self.len() >= self.state.limit
    }

    pub(crate) fn insert(&self, connection: IoRef) {
        let entry = Connection { requests: 0, idle_since: Instant::now() };
        self.state.open.borrow_mut().insert(connection, entry);
    }

    pub(crate) fn remove(&self, connection: &IoRef) {
        self.state.open.borrow_mut().remove(connection);
    }

    pub(crate) fn count_refused(&self) {
        self.state.refused.set(self.state.refused.get() + 1);
    }

    /// Closes the connection that has been idle for the longest; returns whether there was one.
    pub(crate) fn close_idle(&self) -> bool {
        let mut open = self.state.open.borrow_mut();
        let idle = open.iter().filter(|(_, entry)| entry.requests == 0);
        let Some((connection, entry)) = idle.min_by_key(|(_, entry)| entry.idle_since) else {
            return false;
        };
        let (connection, idle_time) = (connection.clone(), entry.idle_since.elapsed());
        open.remove(&connection);
        drop(open);
        self.state.closed.set(self.state.closed.get() + 1);
        if idle_time < FLUSH_TIME {
            connection.close();
        } else {
            connection.terminate();
        }
        true
    }
}

/// A request in progress, which keeps its connection from being closed for others.
#[derive(Debug)]
pub struct Request {
    connections: Connections,
    connection: IoRef,
}

impl Drop for Request {
    fn drop(&mut self) {
        let mut open = self.connections.state.open.borrow_mut();
        if let Some(entry) = open.get_mut(&self.connection) {
            entry.requests -= 1;
            entry.idle_since = Instant::now();
        }
    }
}
