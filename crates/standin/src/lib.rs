//! Simulated back ends, callers and platform machine list for tests and benchmarks, and a check that
//! any back end keeps the contract of `docs/INTERFACES.md`.
//!
//! Invariant: a stall is never hidden. Latencies count from the intended start of a request.

pub mod back_end;
pub mod caller;
pub mod contract;
pub mod history;
pub mod platform;

pub use grebepin_http as http;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Locks `mutex` and ignores poisoning.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts a flag in ms to a duration. NaN and negative values become zero.
fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1000.0).unwrap_or_default()
}
