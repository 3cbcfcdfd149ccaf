//! A process's connections to sidecars, one for each upstream, opened on first use.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use wire::{Frame, Hello, Welcome};

use crate::{Call, Connection, Error};

/// The connection to an upstream, locked while it is being opened.
type Entry = Rc<Mutex<Option<OpenLink>>>;

/// An open connection and its address.
#[derive(Debug)]
struct OpenLink {
    address: Arc<str>,
    connection: Connection,
}

/// The connections of a process, by upstream name.
#[derive(Debug)]
pub struct Links {
    hello: Hello,
    timeout: Duration,
    entries: RefCell<HashMap<Arc<str>, Entry>>,
}

impl Links {
    /// Creates links that identify themselves with `hello` and must open within `timeout`.
    pub fn new(hello: Hello, timeout: Duration) -> Self {
        Self { hello, timeout, entries: RefCell::default() }
    }

    /// Ensures that a connection to `upstream` is open. Returns the upstream's [`Welcome`]
    /// if it was opened by this call.
    ///
    /// # Errors
    ///
    /// The connection could not be opened; no request was sent.
    pub async fn connect(
        &self,
        upstream: &Arc<str>,
        address: &str,
    ) -> Result<Option<Welcome>, Error> {
        self.open(upstream, address).await.map(|(_, welcome)| welcome)
    }

    /// Sends a request of one frame. Also returns the upstream's [`Welcome`] if the
    /// connection was opened by this call.
    ///
    /// # Errors
    ///
    /// The connection failed; [`Error::is_unsent`] says whether the request may have
    /// been received.
    pub async fn call(
        &self,
        upstream: &Arc<str>,
        address: &str,
        frame: &Frame,
    ) -> Result<(Call, Option<Welcome>), Error> {
        let (connection, welcome) = self.open(upstream, address).await?;
        let call = connection.call(frame).await?;
        Ok((call, welcome))
    }

    async fn open(
        &self,
        upstream: &Arc<str>,
        address: &str,
    ) -> Result<(Connection, Option<Welcome>), Error> {
        let entry = self.entries.borrow_mut().entry(upstream.clone()).or_default().clone();
        let mut entry = entry.lock().await;
        if let Some(link) = &*entry
            && *link.address == *address
            && !link.connection.is_closed()
        {
            return Ok((link.connection.clone(), None));
        }
        *entry = None;
        let (connection, welcome) =
            Connection::open(address, self.hello.clone(), self.timeout).await?;
        if welcome.name != *upstream {
            // The address may have been reassigned before the host list was updated.
            let (expected, found) = (upstream.to_string(), welcome.name.to_string());
            return Err(Error::WrongPeer { expected, found });
        }
        *entry = Some(OpenLink { address: address.into(), connection: connection.clone() });
        Ok((connection, Some(welcome)))
    }
}
