//! Event queue ordered by time.
//!
//! Invariant: events with equal times are popped in the order in which they were pushed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::clock::Instant;

struct Queued<E> {
    at: Instant,
    number: u64,
    event: E,
}

impl<E> PartialEq for Queued<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for Queued<E> {}

impl<E> PartialOrd for Queued<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Queued<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Pending events.
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<Queued<E>>>,
    next_number: u64,
}

impl<E> EventQueue<E> {
    /// An empty queue.
    pub fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            next_number: 0,
        }
    }

    /// Schedules an event at `at`.
    pub fn push(&mut self, at: Instant, event: E) {
        let number = self.next_number;
        self.next_number += 1;
        self.events.push(Reverse(Queued { at, number, event }));
    }

    /// Removes the earliest event and returns it with its time; `None` when the queue is empty.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        let Reverse(queued) = self.events.pop()?;
        Some((queued.at, queued.event))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self::new()
    }
}
