//! Deadlines in the order in which they fall due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A queue of deadlines; one that no longer matters is recognised by its key when it falls due.
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
    /// Adds a deadline.
    pub fn add(&mut self, at: Duration, key: K) {
        self.heap.push(Reverse((at, key)));
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the earliest deadline that is due at `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<K> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}
