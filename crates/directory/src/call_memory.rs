//! How much of a replica's memory the calls of operators and servers may hold.
//!
//! Invariant: calls with large bodies leave room for heartbeats, so that nobody who sends large bodies ends the leases of
//! servers.

/// Size in bytes up to which a call is small, as heartbeats are.
const SMALL_CALL_BYTES: usize = 48 << 10;

/// Fractions of the process's memory that calls and their replies may hold: together for a large call to be read, and
/// for a small one. Reading a change takes several times its size, and the log and the state need the rest.
const LARGE_CALLS: f64 = 0.2;
const ALL_CALLS: f64 = 0.3;

/// How much memory calls may hold, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallMemoryBounds {
    large_calls: usize,
    all_calls: usize,
}

impl CallMemoryBounds {
    /// Bounds of a process that may use `memory` bytes.
    pub fn of(memory: f64) -> Self {
        let part = |fraction: f64| (memory * fraction) as usize;
        Self {
            large_calls: part(LARGE_CALLS),
            all_calls: part(ALL_CALLS),
        }
    }

    /// Whether a call that takes `bytes` fits while all calls, this one included, take `held`.
    pub fn fits(self, held: usize, bytes: usize) -> bool {
        match bytes <= SMALL_CALL_BYTES {
            true => held <= self.all_calls,
            false => held <= self.large_calls,
        }
    }
}
