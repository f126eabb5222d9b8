//! When a change that this gateway has read can have been acknowledged, and how long servers that it stops may still be
//! used.

use std::time::Duration;

/// Fraction of the allowed time, from the moment at which a change is read, in which servers are still used. The rest
/// is for requests that are held or in flight, and for the delay until the change is read.
const FRACTION_AFTER_READING: f64 = 0.7;

/// Fraction of the allowed time, from the earliest moment at which the change can have been acknowledged, in which
/// servers are still used. The rest is for requests in flight.
const FRACTION_AFTER_ACKNOWLEDGEMENT: f64 = 0.9;

/// When a change was read, and when it can have been acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeTime {
    /// When this gateway read the change.
    pub read_at: Duration,
    /// Time until which the state is known not to have lacked the change; `None` if that is not known, and the change
    /// may be of any age.
    pub acknowledged_after: Option<Duration>,
}

impl ChangeTime {
    /// A change that is acknowledged at the moment at which it is read.
    pub fn immediate(now: Duration) -> Self {
        Self {
            read_at: now,
            acknowledged_after: Some(now),
        }
    }

    /// Time after which the servers that the change stops get no requests, if it must be in force everywhere within
    /// `allowed` after its acknowledgement. Entries may be read long after that, so the time of reading alone does not
    /// bound it.
    pub fn end_of_use(self, allowed: Duration) -> Duration {
        let Some(acknowledged_after) = self.acknowledged_after else {
            return self.read_at;
        };
        let after_reading = self.read_at + allowed.mul_f64(FRACTION_AFTER_READING);
        after_reading.min(acknowledged_after + allowed.mul_f64(FRACTION_AFTER_ACKNOWLEDGEMENT))
    }
}
