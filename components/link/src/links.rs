//! The links of a process to the sidecars, one an upstream, opened when first
//! needed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use wire::{Frame, Hello, Welcome};

use crate::{Call, Connection, Error};

/// One upstream's link; the lock is held while it is being opened.
type Slot = Rc<Mutex<Option<Standing>>>;

/// A connection and where it leads.
#[derive(Debug)]
struct Standing {
    address: Arc<str>,
    connection: Connection,
}

/// All links of a process.
#[derive(Debug)]
pub struct Links {
    hello: Hello,
    timeout: Duration,
    slots: RefCell<HashMap<Arc<str>, Slot>>,
}

impl Links {
    /// A process that shows `hello` and waits `timeout` for a link to stand.
    pub fn new(hello: Hello, timeout: Duration) -> Self {
        Self { hello, timeout, slots: RefCell::default() }
    }

    /// Makes sure that a link to `upstream` stands. Returns the greeting if it
    /// was opened now.
    ///
    /// # Errors
    ///
    /// There is no link; no request was sent.
    pub async fn connect(
        &self,
        upstream: &Arc<str>,
        address: &str,
    ) -> Result<Option<Welcome>, Error> {
        self.open(upstream, address).await.map(|(_, welcome)| welcome)
    }

    /// Sends the only frame of a request. The greeting comes with it if the
    /// link was opened now.
    ///
    /// # Errors
    ///
    /// [`Error::is_unsent`] tells whether the request may have arrived.
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
        let slot = self.slots.borrow_mut().entry(upstream.clone()).or_default().clone();
        let mut slot = slot.lock().await;
        if let Some(standing) = &*slot
            && *standing.address == *address
            && !standing.connection.is_closed()
        {
            return Ok((standing.connection.clone(), None));
        }
        *slot = None;
        let (connection, welcome) =
            Connection::open(address, self.hello.clone(), self.timeout).await?;
        if welcome.name != *upstream {
            // An address can be given to another host before the list shows it.
            let (expected, found) = (upstream.to_string(), welcome.name.to_string());
            return Err(Error::WrongPeer { expected, found });
        }
        *slot = Some(Standing { address: address.into(), connection: connection.clone() });
        Ok((connection, Some(welcome)))
    }
}
