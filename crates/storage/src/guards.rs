//! Guards of storage that a test may take out to show that the checks notice.
//!
//! Invariant: without the feature `removable-guards` every guard is on.

/// A guard of storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// Syncs the log before `persist` returns.
    Sync,
}

/// The guards in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    sync: bool,
}

impl Guards {
    /// Every guard on.
    pub fn all() -> Self {
        Self { sync: true }
    }

    /// Every guard on except one.
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
