//! The ownership at which a request was last not run, and the failure that the caller gets by default.
//!
//! Invariant: an ownership is recorded here only when it provably did not run the request.

use std::time::Duration;

use grebepin_schema::RejectKind;

use super::Target;

const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Failure returned to the caller unless a later send succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) kind: RejectKind,
    pub(super) retry_after: Duration,
}

impl Failure {
    pub(super) fn new(kind: RejectKind) -> Self {
        Self::with_retry_after(kind, DEFAULT_RETRY_AFTER)
    }

    pub(super) fn with_retry_after(kind: RejectKind, retry_after: Duration) -> Self {
        Self { kind, retry_after }
    }
}

/// An ownership at which the request was not run.
#[derive(Clone, Debug)]
pub(super) struct FailedTarget {
    pub(super) target: Target,
    pub(super) failure: Failure,
    /// Time from which the request may be sent to the same owner and epoch again; `None` for never.
    pub(super) retry_at: Option<Duration>,
}

/// Whether a request may be resent to the owner that did not run it, at the same epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SameOwnerRetry {
    Never,
    After(Duration),
}

impl FailedTarget {
    /// Whether `target` is the same owner at the same epoch.
    pub(super) fn is_ownership_of(&self, target: &Target) -> bool {
        self.target.server == target.server && self.target.epoch == target.epoch
    }
}
