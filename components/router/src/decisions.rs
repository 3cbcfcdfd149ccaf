//! The latest decisions, for explaining.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use routing::Decision;

/// A bounded ring of decisions.
#[derive(Debug)]
pub(crate) struct Decisions {
    most: usize,
    order: VecDeque<Arc<str>>,
    by_request: HashMap<Arc<str>, Arc<Decision>>,
}

impl Decisions {
    pub(crate) fn new(most: usize) -> Self {
        Self { most, order: VecDeque::new(), by_request: HashMap::new() }
    }

    /// Keeps a decision; the oldest goes when there are too many.
    pub(crate) fn keep(&mut self, decision: Arc<Decision>) {
        self.order.push_back(decision.request.clone());
        self.by_request.insert(decision.request.clone(), decision);
        if self.order.len() > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
    }

    pub(crate) fn find(&self, request: &str) -> Option<Arc<Decision>> {
        self.by_request.get(request).cloned()
    }
}
