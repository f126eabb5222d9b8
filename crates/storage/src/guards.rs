//! Safety measures of storage that tests can disable, to verify that the checks detect their absence.
//!
//! Invariant: without the feature `removable-guards` every guard is enabled.

/// A safety measure that can be disabled in tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Syncs the log before [`crate::ReplicaStorage::persist`] returns.
    Sync,
}

/// The set of enabled guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    sync: bool,
}

impl Guards {
    /// Enables every guard.
    pub fn all() -> Self {
        Self { sync: true }
    }

    /// Enables every guard except one.
    #[cfg(feature = "removable-guards")]
    pub fn without(guard: Guard) -> Self {
        match guard {
            Guard::Sync => Self { sync: false },
        }
    }

    pub(crate) fn has(self, guard: Guard) -> bool {
        match guard {
            Guard::Sync => self.sync,
        }
    }
}

impl Default for Guards {
    fn default() -> Self {
        Self::all()
    }
}
