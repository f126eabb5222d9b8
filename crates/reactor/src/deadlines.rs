//! A priority queue of deadlines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Deadlines in order of time. They can't be cancelled: the caller recognises an obsolete one by its key when
/// it is due.
#[derive(Debug)]
pub struct Deadlines<K: Ord> {
    heap: BinaryHeap<Reverse<(Duration, K)>>,
}

impl<K: Ord> Default for Deadlines<K> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
        }
    }
}

impl<K: Ord> Deadlines<K> {
    /// Adds a deadline at the time `at`.
    pub fn add(&mut self, at: Duration, key: K) {
        self.heap.push(Reverse((at, key)));
    }

    /// Time of the earliest deadline; `None` when there is none.
    pub fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the earliest deadline and returns its key, if it is due at `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<K> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}
