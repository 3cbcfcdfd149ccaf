//! Recent routing decisions, kept for `/v1/explain`.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use routing::Decision;

/// A bounded ring buffer of decisions.
#[derive(Debug)]
pub(crate) struct Decisions {
    capacity: usize,
    order: VecDeque<Arc<str>>,
    by_request: HashMap<Arc<str>, Arc<Decision>>,
}

impl Decisions {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, order: VecDeque::new(), by_request: HashMap::new() }
    }

    /// Adds a decision; drops the oldest one if there are too many.
    pub(crate) fn insert(&mut self, decision: Arc<Decision>) {
        self.order.push_back(decision.request.clone());
        self.by_request.insert(decision.request.clone(), decision);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
    }

    pub(crate) fn find(&self, request: &str) -> Option<Arc<Decision>> {
        self.by_request.get(request).cloned()
    }
}
