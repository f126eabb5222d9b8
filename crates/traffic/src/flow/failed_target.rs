//! What was tried already for a request, and what it is told if nothing better comes.
//!
//! Invariant: an ownership is held to have refused a request only when it did not run it.

use std::time::Duration;

use grebepin_schema::RejectKind;

use super::Target;

const RETRY_AFTER_OWNER: Duration = Duration::from_millis(500);

/// What the caller is told if nothing better comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) kind: RejectKind,
    pub(super) retry_after: Duration,
}

impl Failure {
    pub(super) fn of(kind: RejectKind) -> Self {
        Self::after(kind, RETRY_AFTER_OWNER)
    }

    pub(super) fn after(kind: RejectKind, retry_after: Duration) -> Self {
        Self { kind, retry_after }
    }
}

/// An ownership at which the request was not run.
#[derive(Clone, Debug)]
pub(super) struct Tried {
    pub(super) target: Target,
    pub(super) failure: Failure,
    /// When it may be sent to the same owner and epoch again; `None` for never.
    pub(super) again_at: Option<Duration>,
}

/// Whether an owner that did not run a request may be asked again at the same epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Again {
    Never,
    After(Duration),
}

impl Tried {
    /// Whether it is the ownership of `target`.
    pub(super) fn is(&self, target: &Target) -> bool {
        self.target.server == target.server && self.target.epoch == target.epoch
    }
}
