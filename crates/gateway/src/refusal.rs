//! Reasons for refusing a request, and when its client may retry.
//!
//! Invariant: a refused request has not run and never will. The refusal gives the client a time at which a
//! retry is likely to be served and which leaves enough of its deadline.

use std::time::Duration;

/// Fraction of a client's remaining time after which it may retry. By then a shard usually has an owner again
/// or a queue has drained, and enough time remains for the retry. Clients wait for a third of it at most.
const RETRY_FRACTION: f64 = 0.33;

/// Delay before a client retries at another gateway because this one is stopping.
const STOPPING_DELAY: Duration = Duration::from_millis(20);

/// Delay before a client retries at another gateway because this one's link or memory is full or its state is outdated. The
/// links of other gateways most likely have capacity; where they don't, the requests ahead have been answered by
/// then. Other gateways most likely know the newest state.
const OTHER_GATEWAY_DELAY: Duration = Duration::from_millis(100);

/// Delay before a client retries that stated no deadline.
const DEFAULT_DELAY: Duration = Duration::from_millis(200);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The gateway has no configuration yet.
    Unconfigured,
    /// Its route may have changed, and there is no leader yet that knows.
    Undecided,
    /// It has no route here, and the state may lack routes that were added some time ago.
    StateOutdated,
    /// The gateway is stopping and would exit before the request ends.
    Stopping,
    /// The shard of its key has no owner.
    NoOwner,
    /// All servers that could run it are at their concurrency limit.
    NoRoom,
    /// The server that could run it is warming up, and this gateway has used its share of the server's rate.
    WarmingUp,
    /// The server that could run it states a rate limit, and this gateway has used its share of it.
    RateSpent {
        /// Time until the server is likely to accept another request, if known.
        capacity_after: Option<Duration>,
    },
    /// The servers that could run it are cooling down.
    CoolingDown {
        /// Time after which the client may retry: the end of the first cooldown and a random delay.
        client_retry_after: Duration,
    },
    /// It is quarantined because it crashed the servers that ran it.
    Quarantined,
    /// The estimated queue of the gateway's own link is too long.
    LinkFull,
    /// All usable servers of its service have been tried.
    NoServer,
    /// The gateway may not open another connection to the server.
    NoConnection,
    /// The servers that were tried could not be reached.
    Unreachable,
    /// Another gateway, to which the request was forwarded, refused it.
    AtPeer {
        /// Time after which the client may retry, as that gateway says.
        retry_after: Option<Duration>,
    },
    /// The server states that it did not run the request, and the request can't be retried.
    NotRun {
        /// Time until the server is likely to accept it, if known.
        capacity_after: Option<Duration>,
    },
    /// The server states that it did not run the request, and the retry budget is exhausted.
    BudgetSpent {
        /// Time until the server is likely to accept it, if known.
        capacity_after: Option<Duration>,
    },
    /// Its deadline expired before it was sent.
    DeadlineExpired,
    /// The requests that this gateway holds use all memory that they may.
    NoMemory,
}

impl Refusal {
    /// Text for logs, and label value in metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unconfigured => "no configuration",
            Self::Undecided => "route undecided",
            Self::StateOutdated => "state outdated",
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
            Self::AtPeer { .. } => "refused by another gateway",
            Self::NotRun { .. } => "server did not run it",
            Self::BudgetSpent { .. } => "server did not run it, retry budget spent",
            Self::DeadlineExpired => "no time left",
            Self::NoMemory => "no memory",
        }
    }

    /// Time after which a client may retry. `left` is the remaining time that it stated, if any. `None` for a
    /// request that should not be retried at all.
    pub fn retry_after(self, left: Option<Duration>) -> Option<Duration> {
        match self {
            Self::Quarantined => None,
            Self::AtPeer { retry_after } => retry_after,
            _ => Some(self.delay(left)),
        }
    }

    fn delay(self, left: Option<Duration>) -> Duration {
        match (self, left) {
            (Self::Stopping, _) => STOPPING_DELAY,
            (Self::LinkFull | Self::StateOutdated | Self::NoMemory, Some(left)) => {
                OTHER_GATEWAY_DELAY.min(left.mul_f64(RETRY_FRACTION))
            }
            // A client that can't wait that long may retry earlier: the key may have moved to another owner
            // by then.
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
            ) => after.min(left.mul_f64(RETRY_FRACTION)),
            (_, Some(left)) => left.mul_f64(RETRY_FRACTION),
            (_, None) => DEFAULT_DELAY,
        }
    }
}
