//! Guards that a test may disable one at a time to verify that the checkers detect their absence.
//!
//! Invariant: without the feature `removable-guards` all guards are enabled.

/// A safety check that a test may disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The routing table never moves back to a lower log index.
    MonotonicTable,
}

/// Set of enabled guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    monotonic_table: bool,
}

impl Guards {
    /// All guards enabled.
    pub fn all() -> Self {
        Self {
            monotonic_table: true,
        }
    }

    /// All guards enabled except one.
    #[cfg(feature = "removable-guards")]
    pub fn without(guard: Guard) -> Self {
        match guard {
            Guard::MonotonicTable => Self {
                monotonic_table: false,
            },
        }
    }

    /// Whether a guard is enabled.
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
