//! Safety checks of a holder, each of which a test can disable.
//!
//! Invariant: without the feature `removable-guards` every guard is enabled.

/// One safety check of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The duration of a lease counts from the time at which its nonce was issued.
    Nonce,
    /// Renewals and grants for an ended session are refused.
    Session,
    /// Lease and epoch are checked when a request begins and again before its effect.
    EpochCheck,
    /// Later attempts of a cancelled request are refused.
    Tombstone,
    /// A resend is refused if the record can't tell whether an earlier attempt ran.
    ResendRule,
}

/// Set of enabled guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    removed: Option<Guard>,
}

impl Guards {
    /// All guards enabled.
    pub fn all() -> Self {
        Self { removed: None }
    }

    /// All guards enabled except `guard`.
    #[cfg(feature = "removable-guards")]
    pub fn without(guard: Guard) -> Self {
        Self {
            removed: Some(guard),
        }
    }

    pub(crate) fn is_enabled(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }
}

impl Default for Guards {
    fn default() -> Self {
        Self::all()
    }
}
