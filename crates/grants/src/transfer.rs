//! Shards on their way from one server to another.
//!
//! A shard that its server lets go has no owner until another server sends a heartbeat. So it is let
//! go shortly before a heartbeat of the server that is to take it, and kept for that one.
//!
//! Invariant: a reservation decides who takes a shard that is free; it never says that one is free.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;

/// How soon after a shard is let go its receiver's heartbeat may come: releasing takes a heartbeat
/// of the giver, which follows within 100 ms, and what runs there ends first.
pub(crate) const NEAREST: Duration = Duration::from_millis(110);

/// Servers among which there is a choice of receivers, and how late after a shard is let go the
/// heartbeat of any of them may be expected as long as there are fewer.
const CHOICE: usize = 4;
const SOON: Duration = Duration::from_millis(300);

/// Servers among which receivers are chosen at most, however many beat soon.
const MOST_RECEIVERS: usize = 24;

/// Time beyond its receiver's expected heartbeat for which a shard is kept for it.
const PATIENCE: Duration = Duration::from_millis(300);

/// A server that is about to send a heartbeat, and what it may take.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Receiver {
    pub id: InstanceId,
    /// When its heartbeat is expected.
    pub expected: Duration,
    /// Load that it should still take, in the unit of the weights.
    pub room: f64,
    /// Answers a second that it can give.
    pub capacity: f64,
    /// Rows that its answers have room for.
    pub rows_left: usize,
}

/// Servers whose next heartbeat suits shards that are let go now: those that beat soon, and in any case
/// the next few. `expected` gives servers in the order of their heartbeats; no more of them are asked for
/// than are needed.
pub(crate) fn soonest<'a>(
    now: Duration,
    expected: impl Iterator<Item = (&'a InstanceId, Duration)>,
) -> Vec<(&'a InstanceId, Duration)> {
    let mut servers = Vec::new();
    for (id, expected) in expected.filter(|(_, expected)| *expected >= now + NEAREST) {
        let is_soon = expected <= now + SOON;
        if servers.len() >= MOST_RECEIVERS || (servers.len() >= CHOICE && !is_soon) {
            break;
        }
        servers.push((id, expected));
    }
    servers
}

impl Receiver {
    /// Until when shards are kept for it.
    pub(crate) fn kept_until(&self) -> Duration {
        self.expected + PATIENCE
    }
}

/// Whether shards go only to those with room, or to somebody in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// They may stay where they are.
    Optional,
    /// Their server leaves.
    Required,
}

/// Divides runs of shards among receivers: each goes to the one with the most room. Those that
/// nobody takes are left out. Returns the receiver's place in the list with each run.
pub(crate) fn share_out(
    runs: Vec<Vec<usize>>,
    receivers: &mut [Receiver],
    urgency: Urgency,
    weight: impl Fn(&[usize]) -> f64,
) -> Vec<(usize, Vec<usize>)> {
    let mut taken = Vec::new();
    for run in runs {
        let candidates = receivers.iter_mut().enumerate();
        let able = candidates.filter(|(_, one)| one.rows_left > 0);
        let roomiest = able.max_by(|(_, one), (_, other)| one.room.total_cmp(&other.room));
        let Some((number, receiver)) = roomiest else {
            break;
        };
        let load = weight(&run);
        // The last run may go over by half of itself; without that nothing would end even.
        if urgency == Urgency::Optional && receiver.room < load / 2.0 {
            continue;
        }
        receiver.room -= load;
        receiver.rows_left -= 1;
        taken.push((number, run));
    }
    taken
}

/// For whom a shard is kept.
#[derive(Clone, Debug, PartialEq)]
struct Reservation {
    receiver: InstanceId,
    until: Duration,
}

/// The reservations of one service.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    shards: HashMap<usize, Reservation>,
    /// No reservation ends before this.
    first_end: Option<Duration>,
}

impl Reservations {
    /// Keeps shards for a receiver.
    pub(crate) fn reserve(&mut self, shards: &[usize], receiver: &InstanceId, until: Duration) {
        for shard in shards {
            let reservation = Reservation {
                receiver: receiver.clone(),
                until,
            };
            self.shards.insert(*shard, reservation);
        }
        self.first_end = Some(self.first_end.map_or(until, |first| first.min(until)));
    }

    /// Forgets reservations whose time is over.
    pub(crate) fn expire(&mut self, now: Duration) {
        if self.first_end.is_none_or(|first| now < first) {
            return;
        }
        self.shards.retain(|_, reservation| now < reservation.until);
        self.first_end = self.shards.values().map(|one| one.until).min();
    }

    /// For whom a shard is kept; `None` when anybody may take it.
    pub(crate) fn receiver(&self, shard: usize) -> Option<&InstanceId> {
        if self.shards.is_empty() {
            return None;
        }
        let reservation = self.shards.get(&shard)?;
        Some(&reservation.receiver)
    }
}
