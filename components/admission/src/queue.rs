//! Which waiting call runs next.

use std::collections::HashMap;
use std::sync::Arc;

use crate::CallId;
use crate::call::Call;

/// Fair queueing between workspaces: the workspace that has been served least
/// goes first, within it the lowest priority value, then the oldest.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<CallId>,
    served: HashMap<Arc<str>, u64>,
    /// The service that the last workspace to start had had.
    floor: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a call; a workspace that was idle starts level with the others.
    pub(crate) fn push(&mut self, id: CallId, call: &Call) {
        self.waiting.push(id);
        let floor = self.floor;
        let served = self.served.entry(call.workspace.clone()).or_insert(floor);
        *served = (*served).max(floor);
    }

    /// Takes a call out.
    pub(crate) fn remove(&mut self, id: CallId) {
        self.waiting.retain(|it| *it != id);
    }

    /// Takes the next call out.
    pub(crate) fn pop(&mut self, calls: &HashMap<CallId, Call>) -> Option<CallId> {
        let next = self.waiting.iter().copied().min_by_key(|id| self.order(*id, calls))?;
        self.remove(next);
        if let Some(call) = calls.get(&next) {
            self.serve(call);
        }
        Some(next)
    }

    /// Counts a call that starts as service to its workspace.
    pub(crate) fn serve(&mut self, call: &Call) {
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
