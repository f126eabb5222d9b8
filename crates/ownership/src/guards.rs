//! Guards that a simulation can disable, one at a time, to show that its checks detect the violation.
//!
//! Invariant: without the feature `removable-guards` every guard is enabled.

/// One safety check of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A bundle is accepted only if its parent is the bundle in force, and an assignment only at the
    /// epoch that it expects.
    CompareAndSet,
    /// Shards of an unresponsive server are reassigned only after any lease it may hold has ended.
    FencingBound,
}

/// Set of enabled guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    compare_and_set: bool,
    fencing_bound: bool,
}

impl Guards {
    /// All guards enabled.
    pub fn all() -> Self {
        Self {
            compare_and_set: true,
            fencing_bound: true,
        }
    }

    /// All guards enabled except `guard`.
    #[cfg(feature = "removable-guards")]
    pub fn without(guard: Guard) -> Self {
        let mut guards = Self::all();
        match guard {
            Guard::CompareAndSet => guards.compare_and_set = false,
            Guard::FencingBound => guards.fencing_bound = false,
        }
        guards
    }

    pub(crate) fn is_enabled(self, guard: Guard) -> bool {
        match guard {
            Guard::CompareAndSet => self.compare_and_set,
            Guard::FencingBound => self.fencing_bound,
        }
    }
}

impl Default for Guards {
    fn default() -> Self {
        Self::all()
    }
}
