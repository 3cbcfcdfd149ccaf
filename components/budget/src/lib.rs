//! A limit on the memory that many holders share, such as the bodies of all requests.
//!
//! A holder may grow only while a quarter of what it then holds would stay free. So holders of little
//! find room beside those of much, however many of the latter there are.

use std::cell::Cell;
use std::rc::Rc;

/// The part of what a holder has that must stay free for others, as a divisor.
const FREE_DIVISOR: usize = 4;

/// A limit in bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    limit: usize,
    held: Cell<usize>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { state: Rc::new(State { limit, held: Cell::new(0) }) }
    }

    /// The limit, in bytes.
    pub fn limit(&self) -> usize {
        self.state.limit
    }

    /// The bytes that all shares hold together.
    pub fn held(&self) -> usize {
        self.state.held.get()
    }

    /// Whether a share that holds `own` bytes may hold `bytes`.
    pub fn allows(&self, own: usize, bytes: usize) -> bool {
        let others = self.held().saturating_sub(own);
        let free = bytes / FREE_DIVISOR;
        bytes <= own || bytes.saturating_add(free).saturating_add(others) <= self.limit()
    }

    /// A share of nothing.
    pub fn share(&self) -> Share {
        Share { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes that one holder takes from a budget, until it is dropped.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    bytes: usize,
}

impl Share {
    /// Sets the bytes that the share holds; returns whether that much may be held. If not, it stays
    /// as it was. Shrinking is always allowed.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if !self.budget.allows(self.bytes, bytes) {
            return false;
        }
        self.set(bytes);
        true
    }

    /// The bytes that the share holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn set(&mut self, bytes: usize) {
        let held = &self.budget.state.held;
        held.set(held.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0);
    }
}
