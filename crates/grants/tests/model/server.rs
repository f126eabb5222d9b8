//! A server as its interface describes it: holds what the last answer listed, counted from the
//! sending of its heartbeat, by a clock that may be slow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::{InstanceId, KEYS_PER_SHARD};
use grebepin_grants::{Grant, Heartbeat, HeldRange, ReleasedRange};

use crate::support::{self, timing};

/// How long work on a shard that is released goes on.
const WORK: Duration = Duration::from_millis(250);

/// Time between heartbeats while something is being released.
const HURRY: Duration = Duration::from_millis(100);

/// How long a server waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);

/// How long a draining server stays.
const DRAIN: Duration = Duration::from_secs(5);

/// One server.
#[derive(Debug)]
pub struct ModelServer {
    pub id: InstanceId,
    number: u64,
    /// How often it started.
    starts: u64,
    /// Rate of its clock, 1 at most.
    rate: f64,
    sequence: u64,
    sent: BTreeMap<u64, Duration>,
    next_beat: Duration,
    draining: bool,
    leaves_at: Option<Duration>,
    /// Shards held with their fences.
    held: BTreeMap<usize, u64>,
    lease_end: Duration,
    /// Shards on which work goes on after they were taken away, each with its end.
    releasing: BTreeMap<usize, (u64, Duration)>,
    freed: BTreeSet<usize>,
    highest_fence: BTreeMap<usize, u64>,
    last_answered: Duration,
}

impl ModelServer {
    pub fn new(number: u64, rate: f64, now: Duration) -> Self {
        Self::in_life(1, number, rate, now)
    }

    /// The server after a crash: it goes by the same name and holds and remembers nothing.
    pub fn restarted(&self, now: Duration) -> Self {
        Self::in_life(self.starts + 1, self.number, self.rate, now)
    }

    fn in_life(starts: u64, number: u64, rate: f64, now: Duration) -> Self {
        Self {
            id: InstanceId::started_at(&format!("i-{number}"), starts),
            number,
            starts,
            rate,
            sequence: 0,
            sent: BTreeMap::new(),
            next_beat: now + Duration::from_millis(number * 210 % 1_300),
            draining: false,
            leaves_at: None,
            held: BTreeMap::new(),
            lease_end: Duration::ZERO,
            releasing: BTreeMap::new(),
            freed: BTreeSet::new(),
            highest_fence: BTreeMap::new(),
            last_answered: Duration::ZERO,
        }
    }

    pub fn drain(&mut self) {
        self.draining = true;
    }

    pub fn has_left(&self, now: Duration) -> bool {
        self.leaves_at.is_some_and(|at| now >= at)
    }

    pub fn sent_at(&self, sequence: u64) -> Option<Duration> {
        self.sent.get(&sequence).copied()
    }

    /// Shards that it holds or still works on.
    pub fn held(&self, now: Duration) -> impl Iterator<Item = usize> + '_ {
        let is_leased = now < self.lease_end;
        let leased = self.held.keys().copied().filter(move |_| is_leased);
        leased.chain(self.releasing.keys().copied())
    }

    pub fn let_time_pass(&mut self, now: Duration) {
        if now >= self.lease_end {
            // A lease that ran out is not told as released; work that outlasts it fails.
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
            self.next_beat = self.next_beat.min(now);
        }
    }

    pub fn heartbeat(&mut self, now: Duration) -> Option<Heartbeat> {
        if now < self.next_beat {
            return None;
        }
        if self.draining && self.leaves_at.is_none() {
            self.leaves_at = Some(now + DRAIN);
        }
        let pause = match self.releasing.is_empty() {
            true => timing().heartbeat_interval,
            false => HURRY,
        };
        self.next_beat = now + pause;
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        let held = self.held.iter().map(|(shard, fence)| (*shard, *fence));
        let releasing = self
            .releasing
            .iter()
            .map(|(shard, (fence, _))| (*shard, *fence));
        Some(Heartbeat {
            draining: self.draining,
            holds: held.chain(releasing).map(held_row).collect(),
            freed: self.freed.iter().map(|shard| freed_row(*shard)).collect(),
            ..support::beat(&self.id, self.number, self.sequence)
        })
    }

    pub fn take_answer(&mut self, now: Duration, sent: Duration, grant: Option<Grant>) {
        if now > sent + ANSWER_LIMIT || sent < self.last_answered {
            return;
        }
        self.last_answered = sent;
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
            self.releasing.insert(shard, (fence, now + WORK));
            self.next_beat = self.next_beat.min(now + HURRY);
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

fn held_row((shard, fence): (usize, u64)) -> HeldRange {
    let from = shard as u32 * KEYS_PER_SHARD;
    let to = from + KEYS_PER_SHARD - 1;
    HeldRange { from, to, fence }
}

fn freed_row(shard: usize) -> ReleasedRange {
    let from = shard as u32 * KEYS_PER_SHARD;
    let to = from + KEYS_PER_SHARD - 1;
    let handover = "warm".to_owned();
    ReleasedRange { from, to, handover }
}
