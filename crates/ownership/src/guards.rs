//! Protections that a simulation may take out, one at a time, to show that its checks notice.
//!
//! Invariant: without the feature `removable-guards` every protection is in force.

/// One protection of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Bundles follow their parent, and assignments name the epoch they expect.
    CompareAndSet,
    /// Shards of a silent server are taken only after the end of any lease it may hold.
    FencingBound,
}

/// Which protections are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    compare_and_set: bool,
    fencing_bound: bool,
}

impl Guards {
    /// Every protection.
    pub fn all() -> Self {
        Self {
            compare_and_set: true,
            fencing_bound: true,
        }
    }

    /// Every protection but one.
    #[cfg(feature = "removable-guards")]
    pub fn without(guard: Guard) -> Self {
        let mut guards = Self::all();
        match guard {
            Guard::CompareAndSet => guards.compare_and_set = false,
            Guard::FencingBound => guards.fencing_bound = false,
        }
        guards
    }

    /// Whether a protection is in force.
    pub(crate) fn has(self, guard: Guard) -> bool {
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
