//! Events in the order of their times.
//!
//! Invariant: events of the same time come out in the order in which they were put in.

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

/// Events that are still to come.
pub struct EventQueue<E> {
    events: BinaryHeap<Reverse<Queued<E>>>,
    next_number: u64,
}

impl<E> EventQueue<E> {
    /// No events.
    pub fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            next_number: 0,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Instant, event: E) {
        let number = self.next_number;
        self.next_number += 1;
        self.events.push(Reverse(Queued { at, number, event }));
    }

    /// The next event and its time.
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
