//! A server that follows the protocol: it holds what the last response listed, for the duration of the
//! lease counted from sending its heartbeat, by a clock that may run slow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::{InstanceId, KEYS_PER_SHARD};
use grebepin_grants::{Grant, Heartbeat, HeldRange, ReleasedRange};

use crate::support::{self, timing};

/// Time for which requests for a released shard keep running.
const REQUEST_TIME: Duration = Duration::from_millis(250);

/// Time between heartbeats while shards are being released.
const RELEASE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a server waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which a draining server keeps running.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// A server of the model.
#[derive(Debug)]
pub struct ModelServer {
    pub id: InstanceId,
    pub number: u64,
    /// Number of its starts under this name.
    starts: u64,
    /// Rate of its clock, 1 at most.
    rate: f64,
    sequence: u64,
    sent: BTreeMap<u64, Duration>,
    next_heartbeat: Duration,
    draining: bool,
    leaves_at: Option<Duration>,
    /// Shards held, with their fences.
    held: BTreeMap<usize, u64>,
    lease_end: Duration,
    /// Shards that were taken away while requests for them are running, with the end of these.
    releasing: BTreeMap<usize, (u64, Duration)>,
    freed: BTreeSet<usize>,
    highest_fence: BTreeMap<usize, u64>,
    /// When the heartbeat was sent whose response it waits for.
    awaits_response: Option<Duration>,
    /// Until when its heartbeats are lost.
    pub cut_until: Duration,
}

impl ModelServer {
    pub fn new(number: u64, rate: f64, now: Duration) -> Self {
        Self::with_starts(1, number, rate, now)
    }

    /// The server after a crash: it keeps its name and has lost its state.
    pub fn restarted(&self, now: Duration) -> Self {
        Self::with_starts(self.starts + 1, self.number, self.rate, now)
    }

    fn with_starts(starts: u64, number: u64, rate: f64, now: Duration) -> Self {
        Self {
            id: InstanceId::started_at(&format!("i-{number}"), starts),
            number,
            starts,
            rate,
            sequence: 0,
            sent: BTreeMap::new(),
            next_heartbeat: now + Duration::from_millis(number * 210 % 1_300),
            draining: false,
            leaves_at: None,
            held: BTreeMap::new(),
            lease_end: Duration::ZERO,
            releasing: BTreeMap::new(),
            freed: BTreeSet::new(),
            highest_fence: BTreeMap::new(),
            awaits_response: None,
            cut_until: Duration::ZERO,
        }
    }

    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Leaves without reporting that it drains.
    pub fn leave(&mut self, now: Duration) {
        self.leaves_at = Some(now + DRAIN_TIME);
    }

    pub fn has_left(&self, now: Duration) -> bool {
        self.leaves_at.is_some_and(|at| now >= at)
    }

    pub fn sent_at(&self, sequence: u64) -> Option<Duration> {
        self.sent.get(&sequence).copied()
    }

    /// Shards that it holds or still processes requests for.
    pub fn held(&self, now: Duration) -> impl Iterator<Item = usize> + '_ {
        let is_leased = now < self.lease_end;
        let leased = self.held.keys().copied().filter(move |_| is_leased);
        leased.chain(self.releasing.keys().copied())
    }

    pub fn advance(&mut self, now: Duration) {
        if now >= self.lease_end {
            // Shards of an expired lease aren't reported as released; requests still running for them
            // fail.
            self.held.clear();
            self.releasing.clear();
        }
        let done: Vec<usize> = self
            .releasing
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in done {
            self.releasing.remove(&shard);
            self.freed.insert(shard);
            self.next_heartbeat = self.next_heartbeat.min(now);
        }
    }

    pub fn heartbeat(&mut self, now: Duration) -> Option<Heartbeat> {
        let awaits_response = self
            .awaits_response
            .is_some_and(|sent| now <= sent + RESPONSE_TIMEOUT);
        if now < self.next_heartbeat || awaits_response {
            return None;
        }
        if self.draining && self.leaves_at.is_none() {
            self.leaves_at = Some(now + DRAIN_TIME);
        }
        let pause = match self.releasing.is_empty() {
            true => timing().heartbeat_interval,
            false => RELEASE_HEARTBEAT_INTERVAL,
        };
        self.next_heartbeat = now + pause;
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        self.awaits_response = Some(now);
        let held = self.held.iter().map(|(shard, fence)| (*shard, *fence));
        let releasing = self
            .releasing
            .iter()
            .map(|(shard, (fence, _))| (*shard, *fence));
        Some(Heartbeat {
            draining: self.draining,
            holds: Some(held.chain(releasing).map(held_range).collect()),
            freed: self
                .freed
                .iter()
                .map(|shard| released_range(*shard))
                .collect(),
            ..support::heartbeat(&self.id, self.number, self.sequence)
        })
    }

    pub fn receive_response(&mut self, now: Duration, sent: Duration, grant: Option<Grant>) {
        if now > sent + RESPONSE_TIMEOUT || self.awaits_response != Some(sent) {
            return;
        }
        self.awaits_response = None;
        self.freed.clear();
        let Some(grant) = grant else {
            return;
        };
        // A slow clock measures the lease as longer than it is.
        let end = sent + grant.lease.div_f64(self.rate);
        if now >= end {
            return;
        }
        let wanted = wanted(&grant);
        let omitted: Vec<(usize, u64)> = self
            .held
            .iter()
            .filter(|(shard, _)| !wanted.contains_key(shard))
            .map(|(shard, fence)| (*shard, *fence))
            .collect();
        for (shard, fence) in omitted {
            self.held.remove(&shard);
            self.releasing.insert(shard, (fence, now + REQUEST_TIME));
            self.next_heartbeat = self.next_heartbeat.min(now + RELEASE_HEARTBEAT_INTERVAL);
        }
        for (shard, fence) in wanted {
            let highest = self.highest_fence.entry(shard).or_default();
            if fence >= *highest && !self.releasing.contains_key(&shard) {
                *highest = fence;
                self.held.insert(shard, fence);
            }
        }
        self.lease_end = end;
    }
}

fn wanted(grant: &Grant) -> BTreeMap<usize, u64> {
    let mut wanted = BTreeMap::new();
    for row in &grant.rows {
        let first = (row.from / KEYS_PER_SHARD) as usize;
        let last = (row.to / KEYS_PER_SHARD) as usize;
        for shard in first..=last {
            wanted.insert(shard, row.fence);
        }
    }
    wanted
}

fn held_range((shard, fence): (usize, u64)) -> HeldRange {
    let from = shard as u32 * KEYS_PER_SHARD;
    let to = from + KEYS_PER_SHARD - 1;
    HeldRange { from, to, fence }
}

fn released_range(shard: usize) -> ReleasedRange {
    let from = shard as u32 * KEYS_PER_SHARD;
    let to = from + KEYS_PER_SHARD - 1;
    let handover = "warm".to_owned();
    ReleasedRange { from, to, handover }
}
