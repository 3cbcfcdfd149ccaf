//! A queue of events by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use clock::Millis;

/// An event queue; events with the same time keep the order of their insertion.
#[derive(Debug)]
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    last_order: u64,
}

#[derive(Debug)]
struct Entry<T> {
    at: Millis,
    order: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), last_order: 0 }
    }

    /// Schedules an event at the time `at`.
    pub fn add(&mut self, at: Millis, event: T) {
        self.last_order += 1;
        self.heap.push(Reverse(Entry { at, order: self.last_order, event }));
    }

    /// Removes and returns the next event and its time.
    pub fn pop(&mut self) -> Option<(Millis, T)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
