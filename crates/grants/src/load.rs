//! What the gateways tell about load: requests for each shard, and what each server makes of them.
//!
//! A server's capacity is estimated in two regimes: while hardly anything waits there, from the time
//! that answers take; while much waits, from the answers that it gives. In between it is left as it is.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use grebepin_catalog::{InstanceId, SHARDS};
use serde::{Deserialize, Serialize};

/// Time in which an old rate loses most of its weight.
pub(crate) const RATE_MEMORY: Duration = Duration::from_millis(4_000);

/// Utilization above which a server counts as saturated, and steps to find one.
const LARGEST_UTILIZATION: f64 = 0.99;
const BISECTIONS: u32 = 20;

/// Weight of one answer in the estimate of a capacity, and the largest weight of one report.
const ANSWER_WEIGHT: f64 = 0.1;
const LARGEST_WEIGHT: f64 = 0.5;

/// Answers after which a server's capacity counts as known.
const KNOWN_AFTER_ANSWERS: f64 = 10.0;

/// Load that each shard has whether it is asked for or not, as a part of the mean load of a shard.
const BASE_PART: f64 = 0.25;

/// What one gateway saw of a server in a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSample {
    /// The server.
    pub id: InstanceId,
    /// Answers that it gave.
    pub answers: u32,
    /// Time that they took together, in seconds.
    pub seconds: f32,
}

/// What one gateway saw in a while.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Requests by service and shard.
    pub shards: Vec<(String, Vec<(u16, u16)>)>,
    /// Servers that answered.
    pub servers: Vec<ServerSample>,
}

/// A rate that forgets.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    events: f64,
    at: Duration,
}

impl Rate {
    fn decayed(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.events * (-age / RATE_MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration, events: f64) {
        self.events = self.decayed(now) + events;
        self.at = now;
    }

    /// Events a second.
    fn per_second(self, now: Duration) -> f64 {
        self.decayed(now) / RATE_MEMORY.as_secs_f64()
    }
}

/// One server's answers.
#[derive(Clone, Copy, Debug, Default)]
struct ServerLoad {
    answers: Rate,
    seconds: Rate,
    capacity: Option<f64>,
    /// Answers that the estimate of the capacity rests on.
    estimated_from: f64,
}

/// The load of all services, as the leader knows it.
#[derive(Debug, Default)]
pub(crate) struct LoadBook {
    shards: HashMap<String, Vec<Rate>>,
    servers: BTreeMap<InstanceId, ServerLoad>,
}

impl LoadBook {
    /// Takes in what a gateway saw. `slots` tells how many requests a server works on at a time.
    pub(crate) fn note(
        &mut self,
        now: Duration,
        sample: &LoadSample,
        slots: impl Fn(&InstanceId) -> Option<u32>,
    ) {
        for (service, counts) in &sample.shards {
            let rates = self
                .shards
                .entry(service.clone())
                .or_insert_with(|| vec![Rate::default(); SHARDS]);
            for (shard, count) in counts {
                if let Some(rate) = rates.get_mut(usize::from(*shard)) {
                    rate.add(now, f64::from(*count));
                }
            }
        }
        for server in &sample.servers {
            let Some(slots) = slots(&server.id) else {
                continue;
            };
            let load = self.servers.entry(server.id.clone()).or_default();
            load.answers.add(now, f64::from(server.answers));
            load.seconds.add(now, f64::from(server.seconds));
            load.estimate(now, f64::from(server.answers), f64::from(slots.max(1)));
        }
    }

    /// Forgets servers that are not known any more.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.servers.retain(|id, _| is_known(id));
    }

    /// Requests a second for each shard of a service, each with a base, so that shards that nobody
    /// asks for are divided as well.
    pub(crate) fn weights(&self, now: Duration, service: &str) -> Vec<f64> {
        let rates: Vec<f64> = match self.shards.get(service) {
            Some(rates) => rates.iter().map(|rate| rate.per_second(now)).collect(),
            None => vec![0.0; SHARDS],
        };
        let total: f64 = rates.iter().sum();
        let base = (total / SHARDS as f64 * BASE_PART).max(f64::MIN_POSITIVE);
        rates.into_iter().map(|rate| rate + base).collect()
    }

    /// Answers a second that a server can give; `None` while nothing is known.
    pub(crate) fn capacity(&self, id: &InstanceId) -> Option<f64> {
        let load = self.servers.get(id)?;
        let is_known = load.estimated_from >= KNOWN_AFTER_ANSWERS;
        load.capacity.filter(|_| is_known)
    }
}

impl ServerLoad {
    fn estimate(&mut self, now: Duration, answers: f64, slots: f64) {
        let rate = self.answers.per_second(now);
        let at_a_time = self.seconds.per_second(now);
        if rate <= 0.0 || at_a_time <= 0.0 {
            return;
        }
        let seen = rate / utilization(at_a_time, slots);
        let weight = (answers * ANSWER_WEIGHT).min(LARGEST_WEIGHT);
        let present = self.capacity.unwrap_or(seen);
        self.capacity = Some(present + weight * (seen - present));
        self.estimated_from += answers;
    }
}

/// The part of the time that each slot of a server is busy, when so many requests are there at a time,
/// those that wait included. Inverts Sakasegawa's approximation of the queue of several servers:
/// `slots * u + u^sqrt(2 * (slots + 1)) / (1 - u)` requests at a utilization `u`.
fn utilization(at_a_time: f64, slots: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt();
    let present = |busy: f64| slots * busy + busy.powf(exponent) / (1.0 - busy);
    let (mut least, mut most) = (0.0, LARGEST_UTILIZATION);
    for _ in 0..BISECTIONS {
        let middle = (least + most) / 2.0;
        match present(middle) < at_a_time {
            true => least = middle,
            false => most = middle,
        }
    }
    most
}
