//! The checks that make a holder safe, each of which a test may take out.
//!
//! Invariant: without the feature `removable-guards` every guard is on.

/// One check of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A lease counts from the moment its nonce was issued.
    Nonce,
    /// Renewals and grants of an ended session are refused.
    Session,
    /// Lease and epoch are looked at when a request begins and again before its effect.
    EpochCheck,
    /// A cancelled request is refused from then on.
    Tombstone,
    /// A resend is refused where an earlier attempt can't be looked up.
    ResendRule,
}

/// Which guards are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    removed: Option<Guard>,
}

impl Guards {
    /// Every guard on.
    pub fn all() -> Self {
        Self { removed: None }
    }

    /// Every guard on but `guard`.
    #[cfg(feature = "removable-guards")]
    pub fn without(guard: Guard) -> Self {
        Self {
            removed: Some(guard),
        }
    }

    pub(crate) fn has(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }
}

impl Default for Guards {
    fn default() -> Self {
        Self::all()
    }
}
