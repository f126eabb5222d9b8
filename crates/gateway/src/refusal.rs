//! Why a request is refused, and when its client may come back.
//!
//! Invariant: a refusal is a promise that the request has not run and never will, and it names a time
//! at which another try is likely to be served and still leaves time for it.

use std::time::Duration;

/// Part of the time that a client has left after which it may come back: a shard has an owner or a
/// queue has drained by then, and enough time remains to be served. Clients wait for a third at most.
const RETRY_PART: f64 = 0.33;

/// Pause before a client turns to another gateway, since this one is stopping.
const STOPPING_PAUSE: Duration = Duration::from_millis(20);

/// Pause before a client turns to another gateway, since this one's link is full: others most likely have room, and
/// where they have not, those in front will have got their answers by then.
const LINK_PAUSE: Duration = Duration::from_millis(100);

/// When a client may come back that did not say how long it waits.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    Unconfigured,
    /// The gateway ends before the request might.
    Stopping,
    /// Its key's shard has no owner.
    NoOwner,
    /// No server that could run it has room.
    NoRoom,
    /// The server that could run it warms up and has had its share of requests.
    WarmingUp,
    /// The server that could run it states a rate, and this gateway has had its share of that.
    RateSpent {
        /// Mean time between two requests that the server takes, where that is known.
        capacity_after: Option<Duration>,
    },
    /// The servers that could run it asked for no requests for a time.
    CoolingDown {
        /// Time after which the client may come back to the first of them.
        client_retry_after: Duration,
    },
    /// It crashed the servers that ran it, and is kept from the others.
    Quarantined,
    /// Bytes wait too long for the gateway's own link.
    LinkFull,
    /// No server is left that was not tried.
    NoServer,
    /// No connection may be made to its server.
    NoConnection,
    /// Servers could not be reached.
    Unreachable,
    /// The server says that it did not run it, and it can't be sent again.
    NotRun {
        /// Time after which the server is likely to take it, where that is known.
        capacity_after: Option<Duration>,
    },
    /// The same, and it could be sent again if the retry budget were not spent.
    BudgetSpent {
        /// The same time.
        capacity_after: Option<Duration>,
    },
    /// Its time was up before it was sent.
    DeadlineExpired,
}

impl Refusal {
    /// The reason as logs and metrics tell it.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unconfigured => "no configuration",
            Self::Stopping => "stopping",
            Self::NoOwner => "no owner",
            Self::NoRoom => "no room",
            Self::WarmingUp => "server warms up",
            Self::RateSpent { .. } => "server's rate spent",
            Self::CoolingDown { .. } => "server asks for no requests",
            Self::Quarantined => "crashes its servers",
            Self::LinkFull => "link full",
            Self::NoServer => "no server",
            Self::NoConnection => "no connection",
            Self::Unreachable => "servers out of reach",
            Self::NotRun { .. } => "server did not run it",
            Self::BudgetSpent { .. } => "server did not run it, retry budget spent",
            Self::DeadlineExpired => "no time left",
        }
    }

    /// After which time a client may come back that waits for `left` more, where it said so; `None` for a request that
    /// has no better chance then.
    pub fn retry_after(self, left: Option<Duration>) -> Option<Duration> {
        if self == Self::Quarantined {
            return None;
        }
        Some(self.pause(left))
    }

    fn pause(self, left: Option<Duration>) -> Duration {
        match (self, left) {
            (Self::Stopping, _) => STOPPING_PAUSE,
            (Self::LinkFull, Some(left)) => LINK_PAUSE.min(left.mul_f64(RETRY_PART)),
            // A client that can't wait that long may still find the key at another owner.
            (Self::CoolingDown { client_retry_after }, Some(left)) if client_retry_after < left => {
                client_retry_after
            }
            (Self::CoolingDown { client_retry_after }, None) => client_retry_after,
            (
                Self::RateSpent {
                    capacity_after: Some(after),
                }
                | Self::NotRun {
                    capacity_after: Some(after),
                }
                | Self::BudgetSpent {
                    capacity_after: Some(after),
                },
                Some(left),
            ) => after.min(left.mul_f64(RETRY_PART)),
            (_, Some(left)) => left.mul_f64(RETRY_PART),
            (_, None) => DEFAULT_PAUSE,
        }
    }
}
