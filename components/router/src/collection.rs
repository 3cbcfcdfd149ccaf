//! Limits the memory for parts of responses that can't be forwarded yet.
//!
//! An upstream may hold at most as much as is free. So one whose responses never end leaves memory
//! for those of the others, however many requests it has.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Bytes that each request may hold without a share of the limit.
const FREE_BYTES: usize = 16 * 1024;

/// The bytes held, by upstream.
#[derive(Debug)]
pub(crate) struct Collections {
    /// The most bytes held for all requests.
    limit: usize,
    held: RefCell<BTreeMap<Arc<str>, usize>>,
}

impl Collections {
    /// Creates the memory for all requests, of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, held: RefCell::default() }
    }

    /// Starts a collection of bytes from `upstream`.
    pub(crate) fn start(self: &Rc<Self>, upstream: &Arc<str>) -> Collection {
        Collection { all: self.clone(), upstream: upstream.clone(), held: 0 }
    }

    /// Takes `bytes` for `upstream`; returns whether they are available.
    fn take(&self, upstream: &Arc<str>, bytes: usize) -> bool {
        let mut held = self.held.borrow_mut();
        let all: usize = held.values().sum();
        let own = held.get(upstream).copied().unwrap_or_default();
        if own + bytes > self.limit.saturating_sub(all + bytes) {
            return false;
        }
        held.insert(upstream.clone(), own + bytes);
        true
    }

    fn release(&self, upstream: &Arc<str>, bytes: usize) {
        let mut held = self.held.borrow_mut();
        let Some(own) = held.get_mut(upstream) else { return };
        *own = own.saturating_sub(bytes);
        if *own == 0 {
            held.remove(upstream);
        }
    }
}

/// The bytes held for one request, until it is dropped.
#[derive(Debug)]
pub(crate) struct Collection {
    all: Rc<Collections>,
    upstream: Arc<str>,
    /// Bytes that count against the limit.
    held: usize,
}

impl Collection {
    /// Sets the length of the collected bytes; returns whether that much may be held.
    pub(crate) fn resize(&mut self, length: usize) -> bool {
        let counted = length.saturating_sub(FREE_BYTES);
        if counted < self.held {
            self.all.release(&self.upstream, self.held - counted);
        } else if counted > self.held && !self.all.take(&self.upstream, counted - self.held) {
            return false;
        }
        self.held = counted;
        true
    }
}

impl Drop for Collection {
    fn drop(&mut self) {
        self.all.release(&self.upstream, self.held);
    }
}
