//! The queue of waiting calls.

use std::collections::HashMap;
use std::sync::Arc;

use crate::CallId;
use crate::call::Call;

/// Fair queueing between workspaces: the least served workspace goes first, then the lowest
/// priority value, then the oldest call.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<CallId>,
    served: HashMap<Arc<str>, u64>,
    /// The service of the workspace that started a call last, before that call.
    floor: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a call. A workspace that was idle resumes at the floor.
    pub(crate) fn push(&mut self, id: CallId, call: &Call) {
        self.waiting.push(id);
        let floor = self.floor;
        let served = self.served.entry(call.workspace.clone()).or_insert(floor);
        *served = (*served).max(floor);
    }

    /// Removes a call.
    pub(crate) fn remove(&mut self, id: CallId) {
        self.waiting.retain(|waiting| *waiting != id);
    }

    /// Removes and returns the next call.
    pub(crate) fn pop(&mut self, calls: &HashMap<CallId, Call>) -> Option<CallId> {
        let next = self.waiting.iter().copied().min_by_key(|id| self.order(*id, calls))?;
        self.remove(next);
        if let Some(call) = calls.get(&next) {
            self.record_start(call);
        }
        Some(next)
    }

    /// Adds the weight of a starting call to its workspace's service.
    pub(crate) fn record_start(&mut self, call: &Call) {
        let floor = self.floor;
        let served = self.served.entry(call.workspace.clone()).or_insert(floor);
        *served = (*served).max(floor);
        self.floor = *served;
        *served += call.weight;
        if self.waiting.is_empty() {
            let floor = self.floor;
            self.served.retain(|_, served| *served > floor);
        }
    }

    fn order(&self, id: CallId, calls: &HashMap<CallId, Call>) -> (u64, i32, CallId) {
        let Some(call) = calls.get(&id) else {
            return (0, 0, id);
        };
        let served = self.served.get(&call.workspace).copied().unwrap_or(0);
        (served, call.priority, id)
    }
}
