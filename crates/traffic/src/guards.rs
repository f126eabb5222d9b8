//! Guards that a test may take out one at a time, to show that the checkers notice.
//!
//! Invariant: without the feature `removable-guards` every guard is on.

/// A protection of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The routing table never moves back to a lower log index.
    MonotonicTable,
}

/// Which guards are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    monotonic_table: bool,
}

impl Guards {
    /// Every guard on.
    pub fn all() -> Self {
        Self {
            monotonic_table: true,
        }
    }

    /// Every guard on but one.
    #[cfg(feature = "removable-guards")]
    pub fn without(guard: Guard) -> Self {
        match guard {
            Guard::MonotonicTable => Self {
                monotonic_table: false,
            },
        }
    }

    /// Whether a guard is on.
    pub fn has(self, guard: Guard) -> bool {
        match guard {
            Guard::MonotonicTable => self.monotonic_table,
        }
    }
}

impl Default for Guards {
    fn default() -> Self {
        Self::all()
    }
}
