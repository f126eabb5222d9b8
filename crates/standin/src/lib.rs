//! Stand-ins of the systems served: back end, caller, platform list; and the contract check that
//! any back end can be put through.
//!
//! Invariant: a stand-in never hides a stall: times count from when something should have happened.

pub mod back_end;
pub mod caller;
pub mod contract;
pub mod history;
pub mod platform;

pub use grebepin_http as http;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Locks, also when another thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A time from a flag in ms; not a number or below zero counts as zero.
fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1000.0).unwrap_or_default()
}
