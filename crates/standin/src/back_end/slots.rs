//! Slots of a server and the bounded wait for one.
//!
//! Invariant: never more running than slots, never more waiting than the bound.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::lock;

/// Samples of past load that are kept for lagging reports.
const KEPT_SAMPLES: usize = 4096;

/// Why no slot was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotRefusal {
    /// Too many wait.
    Full,
    /// The deadline came first.
    Deadline,
}

/// Running and waiting requests.
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
        if self.samples.len() > KEPT_SAMPLES {
            self.samples.pop_front();
        }
    }
}

/// Slots of a server.
#[derive(Debug)]
pub(crate) struct Slots {
    slots: usize,
    waiting_bound: usize,
    state: Mutex<State>,
    freed: Condvar,
}

/// A taken slot; free again when dropped.
pub(crate) struct Slot<'a> {
    slots: &'a Slots,
}

impl Slots {
    pub(crate) fn new(slots: usize, waiting_bound: usize) -> Self {
        Self {
            slots,
            waiting_bound,
            state: Mutex::default(),
            freed: Condvar::new(),
        }
    }

    /// Waits for a slot until `deadline`.
    pub(crate) fn take(&self, deadline: Instant) -> Result<Slot<'_>, SlotRefusal> {
        let mut state = lock(&self.state);
        if state.load.running >= self.slots && state.load.waiting >= self.waiting_bound {
            return Err(SlotRefusal::Full);
        }
        state.load.waiting += 1;
        while state.load.running >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.load.waiting -= 1;
                return Err(SlotRefusal::Deadline);
            }
            let waited = self.freed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.load.waiting -= 1;
        state.load.running += 1;
        state.sample();
        Ok(Slot { slots: self })
    }

    /// Load as it was `age` ago.
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
