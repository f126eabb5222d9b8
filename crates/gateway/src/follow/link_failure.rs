//! Why a link to a replica or relay was given up.

/// Reason for closing a link that was wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkFailure {
    /// It was not established in time.
    NotEstablished,
    /// Nothing was received for too long.
    Silent,
    /// The other side closed it, or it failed.
    Closed,
    /// It leads to a relay without contact to a leader.
    RelayNotFed,
}

impl LinkFailure {
    /// Text for logs.
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::NotEstablished => "not established",
            Self::Silent => "silent",
            Self::Closed => "closed",
            Self::RelayNotFed => "relay without a leader",
        }
    }
}
