//! Transfer of shards from one server to another.
//!
//! A shard that is released has no owner until another server sends a heartbeat. Shards are therefore
//! released shortly before a heartbeat of the server that is to take them over, and are reserved for it.
//!
//! Invariant: a reservation decides which server takes a shard that is free; it never makes a shard
//! free.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;

/// Shortest time from withholding a shard to the heartbeat of its receiver. The release takes another
/// heartbeat of the previous owner, which follows within 100 ms, after running requests have ended.
pub(crate) const MIN_LEAD: Duration = Duration::from_millis(110);

/// Number of receivers that are considered however late their heartbeats are due, and the time within which
/// the heartbeats of further ones must be due.
const MIN_RECEIVERS: usize = 4;
const PREFERRED_LEAD: Duration = Duration::from_millis(300);

/// Limit on the number of receivers, however many heartbeats are due soon.
const MAX_RECEIVERS: usize = 24;

/// Time past its receiver's expected heartbeat for which a shard stays reserved.
const RESERVATION_GRACE: Duration = Duration::from_millis(300);

/// Server whose heartbeat is due, and the load that it can take over.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Receiver {
    pub id: InstanceId,
    /// When its heartbeat is expected.
    pub expected: Duration,
    /// Load that it can still take over, in the unit of the weights.
    pub headroom: f64,
    /// Answers a second that it can give.
    pub capacity: f64,
    /// Number of rows that its responses have room for.
    pub rows_left: usize,
}

/// Servers whose next heartbeats are due at a suitable time to take over shards that are withheld now:
/// all that are due soon, and at least the next few. `expected` yields servers in the order of their
/// heartbeats and is consumed only as far as needed.
pub(crate) fn next_to_report<'a>(
    now: Duration,
    expected: impl Iterator<Item = (&'a InstanceId, Duration)>,
) -> Vec<(&'a InstanceId, Duration)> {
    let mut servers = Vec::new();
    for (id, expected) in expected.filter(|(_, expected)| *expected >= now + MIN_LEAD) {
        let is_soon = expected <= now + PREFERRED_LEAD;
        if servers.len() >= MAX_RECEIVERS || (servers.len() >= MIN_RECEIVERS && !is_soon) {
            break;
        }
        servers.push((id, expected));
    }
    servers
}

impl Receiver {
    /// When reservations for this server end.
    pub(crate) fn reserved_until(&self) -> Duration {
        self.expected + RESERVATION_GRACE
    }
}

/// Whether shards may stay with their owner when no receiver has headroom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// Shards may stay with their owner.
    Optional,
    /// Shards must move, since their owner is leaving.
    Required,
}

/// Distributes runs of shards among receivers, each to the one with the most headroom. Returns the index
/// of the receiver with each run; runs that no receiver can take are left out.
pub(crate) fn distribute(
    runs: Vec<Vec<usize>>,
    receivers: &mut [Receiver],
    urgency: Urgency,
    weight: impl Fn(&[usize]) -> f64,
) -> Vec<(usize, Vec<usize>)> {
    let mut taken = Vec::new();
    for run in runs {
        let candidates = receivers.iter_mut().enumerate();
        let able = candidates.filter(|(_, one)| one.rows_left > 0);
        let best = able.max_by(|(_, one), (_, other)| one.headroom.total_cmp(&other.headroom));
        let Some((number, receiver)) = best else {
            break;
        };
        let load = weight(&run);
        // The last run may exceed the headroom by half of its load; otherwise the result would never be
        // even.
        if urgency == Urgency::Optional && receiver.headroom < load / 2.0 {
            continue;
        }
        receiver.headroom -= load;
        receiver.rows_left -= 1;
        taken.push((number, run));
    }
    taken
}

/// Server for which a shard is reserved.
#[derive(Clone, Debug, PartialEq)]
struct Reservation {
    receiver: InstanceId,
    until: Duration,
}

/// Reservations of the shards of one service.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    shards: HashMap<usize, Reservation>,
    /// Lower bound of all expiry times.
    earliest_expiry: Option<Duration>,
}

impl Reservations {
    pub(crate) fn reserve(&mut self, shards: &[usize], receiver: &InstanceId, until: Duration) {
        for shard in shards {
            let reservation = Reservation {
                receiver: receiver.clone(),
                until,
            };
            self.shards.insert(*shard, reservation);
        }
        self.earliest_expiry = Some(self.earliest_expiry.map_or(until, |first| first.min(until)));
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        if self.earliest_expiry.is_none_or(|first| now < first) {
            return;
        }
        self.shards.retain(|_, reservation| now < reservation.until);
        self.earliest_expiry = self.shards.values().map(|one| one.until).min();
    }

    /// Server for which a shard is reserved; `None` when any server may take it.
    pub(crate) fn receiver(&self, shard: usize) -> Option<&InstanceId> {
        if self.shards.is_empty() {
            return None;
        }
        let reservation = self.shards.get(&shard)?;
        Some(&reservation.receiver)
    }
}
