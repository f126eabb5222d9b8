//! Concurrency limit of a server with a bounded queue.
//!
//! Invariant: no more requests run than there are slots, and no more wait than the queue allows.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::lock;

/// Number of past load samples that are kept for delayed load reports.
const MAX_SAMPLES: usize = 4096;

/// Reason why no slot was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotRefusal {
    /// The queue is full.
    Full,
    /// The deadline passed while the request was waiting.
    Deadline,
}

/// Numbers of running and waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

#[derive(Debug, Default)]
struct State {
    load: Load,
    samples: VecDeque<(Instant, Load)>,
}

impl State {
    fn sample(&mut self) {
        self.samples.push_back((Instant::now(), self.load));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }
}

/// Concurrency limiter of a server.
#[derive(Debug)]
pub(crate) struct Slots {
    slots: usize,
    maximum_waiting: usize,
    state: Mutex<State>,
    freed: Condvar,
}

/// An acquired slot, which is freed on drop.
pub(crate) struct Slot<'a> {
    slots: &'a Slots,
}

impl Slots {
    pub(crate) fn new(slots: usize, maximum_waiting: usize) -> Self {
        Self {
            slots,
            maximum_waiting,
            state: Mutex::default(),
            freed: Condvar::new(),
        }
    }

    /// Acquires a slot, waiting for it until `deadline`.
    pub(crate) fn acquire(&self, deadline: Instant) -> Result<Slot<'_>, SlotRefusal> {
        let mut state = lock(&self.state);
        if state.load.running >= self.slots && state.load.waiting >= self.maximum_waiting {
            return Err(SlotRefusal::Full);
        }
        state.load.waiting += 1;
        while state.load.running >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.load.waiting -= 1;
                return Err(SlotRefusal::Deadline);
            }
            let wait_result = self.freed.wait_timeout(state, left);
            state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.load.waiting -= 1;
        state.load.running += 1;
        state.sample();
        Ok(Slot { slots: self })
    }

    /// Returns the load as of `age` ago; no load if there is no sample that old.
    pub(crate) fn load(&self, age: Duration) -> Load {
        let state = lock(&self.state);
        if age.is_zero() {
            return state.load;
        }
        let mut past = state.samples.iter().rev();
        let sample = past.find(|(at, _)| at.elapsed() >= age);
        sample.map_or(Load::default(), |(_, load)| *load)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.slots.state);
        state.load.running -= 1;
        state.sample();
        drop(state);
        self.slots.freed.notify_one();
    }
}
