//! Load reported by the gateways: requests per shard, and the answers of each server.
//!
//! A server's capacity is estimated from the rate of its answers and the number of concurrent requests.
//! Estimates are updated when a service's load is distributed and not for each report, since reports
//! come from every gateway.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use grebepin_catalog::{InstanceId, SHARDS};
use serde::{Deserialize, Serialize};

use crate::rate::{AdaptiveRate, DecayingRate};

/// Utilization above which a server counts as saturated, and the steps of the bisection that finds the
/// utilization.
const MAX_UTILIZATION: f64 = 0.99;
const BISECTIONS: u32 = 20;

/// Weight of one answer in the exponential moving average of the capacity.
const ANSWER_WEIGHT: f64 = 0.05;

/// Time constant of the rates that a capacity is estimated from.
const CAPACITY_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Number of answers from which the estimate of a capacity is used.
const MIN_ESTIMATE_ANSWERS: f64 = 10.0;

/// Fraction of a service's load by which one shard must change for the change to count as sudden.
const MIN_CHANGE_FRACTION: f64 = 0.05;

/// Age at which a stated rate that no gateway reports any more expires: the time that this many answers
/// take at that rate, within bounds. Gateways report once a second, and a server is sent requests only
/// at its stated rate.
const STATED_RATE_ANSWERS: f64 = 4.0;
const MIN_STATED_RATE_LIFETIME: Duration = Duration::from_secs(4);
const MAX_STATED_RATE_LIFETIME: Duration = Duration::from_secs(30);

/// Base load of each shard, added to its requests, as a fraction of the mean load of a shard.
const BASE_LOAD_FRACTION: f64 = 0.25;

/// Answers of one server to one gateway within a reporting period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSample {
    /// Server that gave the answers.
    pub id: InstanceId,
    /// Number of answers.
    pub answers: u32,
    /// Sum of the response times, in seconds.
    pub seconds: f32,
    /// Requests a second that the server states to accept from all gateways together; absent when it
    /// states no rate.
    #[serde(default)]
    pub stated_rate: Option<f32>,
    /// Seconds for which the server asked to get no requests; absent when it didn't ask.
    #[serde(default)]
    pub cooldown: Option<f32>,
    /// Whether the server's answers announce that it is leaving.
    #[serde(default)]
    pub is_leaving: bool,
}

/// Load that one gateway reports for a period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Number of requests by service and shard.
    pub shards: Vec<(String, Vec<(u16, u16)>)>,
    /// Servers that answered.
    pub servers: Vec<ServerSample>,
}

impl LoadSample {
    /// Whether the sample contains no data.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty() && self.servers.is_empty()
    }
}

/// Sum of several samples.
#[derive(Debug, Default)]
pub struct LoadSum {
    shards: BTreeMap<String, BTreeMap<u16, u16>>,
    servers: BTreeMap<InstanceId, ServerSum>,
}

/// Sum of the samples of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerSum {
    answers: u32,
    seconds: f32,
    stated_rate: Option<f32>,
    cooldown: Option<f32>,
    is_leaving: bool,
}

impl LoadSum {
    /// Adds a sample.
    pub fn add(&mut self, sample: &LoadSample) {
        for (service, counts) in &sample.shards {
            let sums = self.shards_of(service);
            for (shard, count) in counts {
                add_count(sums, *shard, *count);
            }
        }
        for server in &sample.servers {
            self.add_answers(&server.id, server.answers, server.seconds);
            if let Some(rate) = server.stated_rate {
                self.add_stated_rate(&server.id, rate);
            }
            if let Some(seconds) = server.cooldown {
                self.add_cooldown(&server.id, seconds);
            }
            if server.is_leaving {
                self.add_leaving(&server.id);
            }
        }
    }

    /// Adds one request for a shard.
    pub fn add_request(&mut self, service: &str, shard: u16) {
        add_count(self.shards_of(service), shard, 1);
    }

    fn shards_of(&mut self, service: &str) -> &mut BTreeMap<u16, u16> {
        if !self.shards.contains_key(service) {
            self.shards.insert(service.to_owned(), BTreeMap::new());
        }
        self.shards.get_mut(service).expect("just inserted")
    }

    /// Adds answers of a server; `seconds` is the sum of their response times.
    pub fn add_answers(&mut self, server: &InstanceId, answers: u32, seconds: f32) {
        let sum = self.servers.entry(server.clone()).or_default();
        sum.answers = sum.answers.saturating_add(answers);
        sum.seconds += seconds;
    }

    /// Records the rate that a server states, in requests a second; the last one recorded is kept.
    pub fn add_stated_rate(&mut self, server: &InstanceId, per_second: f32) {
        let sum = self.servers.entry(server.clone()).or_default();
        sum.stated_rate = Some(per_second);
    }

    /// Records that a server asked to get no requests for some seconds; the longest time recorded is
    /// kept.
    pub fn add_cooldown(&mut self, server: &InstanceId, seconds: f32) {
        let sum = self.servers.entry(server.clone()).or_default();
        sum.cooldown = Some(sum.cooldown.map_or(seconds, |known| known.max(seconds)));
    }

    /// Marks a server as leaving.
    pub fn add_leaving(&mut self, server: &InstanceId) {
        self.servers.entry(server.clone()).or_default().is_leaving = true;
    }

    /// Whether nothing has been added.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty() && self.servers.is_empty()
    }

    /// Returns the sum and resets it.
    pub fn take(&mut self) -> LoadSample {
        let taken = std::mem::take(self);
        let shards = taken.shards.into_iter();
        let servers = taken.servers.into_iter();
        LoadSample {
            shards: shards
                .map(|(service, counts)| (service, counts.into_iter().collect()))
                .collect(),
            servers: servers
                .map(|(id, sum)| ServerSample {
                    id,
                    answers: sum.answers,
                    seconds: sum.seconds,
                    stated_rate: sum.stated_rate,
                    cooldown: sum.cooldown,
                    is_leaving: sum.is_leaving,
                })
                .collect(),
        }
    }
}

fn add_count(counts: &mut BTreeMap<u16, u16>, shard: u16, more: u16) {
    let count = counts.entry(shard).or_default();
    *count = count.saturating_add(more);
}

/// Rates of one server's answers, and the estimate of its capacity.
#[derive(Clone, Copy, Debug)]
struct ServerLoad {
    answers: DecayingRate,
    seconds: DecayingRate,
    /// Requests that it processes concurrently.
    slots: f64,
    capacity: Option<f64>,
    /// Number of answers that the estimate of the capacity rests on.
    estimate_answers: f64,
    /// Number of answers since the last estimate.
    answers_since_estimate: f64,
    stated: Option<StatedRate>,
    /// End of the time for which it asked to get no requests.
    cooldown_until: Duration,
}

/// Rate that a server stated.
#[derive(Clone, Copy, Debug)]
struct StatedRate {
    per_second: f64,
    /// When a gateway last reported it.
    reported_at: Duration,
}

impl StatedRate {
    /// Whether the rate would have been reported again by now if the server still stated it.
    fn is_expired(&self, now: Duration) -> bool {
        let time_of_answers = Duration::try_from_secs_f64(STATED_RATE_ANSWERS / self.per_second);
        let lifetime = time_of_answers.unwrap_or(MAX_STATED_RATE_LIFETIME);
        now > self.reported_at + lifetime.clamp(MIN_STATED_RATE_LIFETIME, MAX_STATED_RATE_LIFETIME)
    }
}

/// Load of all services, as reported to the leader.
#[derive(Debug, Default)]
pub(crate) struct LoadTracker {
    shards: HashMap<String, Vec<AdaptiveRate>>,
    servers: BTreeMap<InstanceId, ServerLoad>,
}

impl LoadTracker {
    /// Adds a gateway's report. `slots` returns the number of requests that a server processes
    /// concurrently.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        sample: &LoadSample,
        slots: impl Fn(&InstanceId) -> Option<u32>,
    ) {
        for (service, counts) in &sample.shards {
            let rates = self
                .shards
                .entry(service.clone())
                .or_insert_with(|| vec![AdaptiveRate::default(); SHARDS]);
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
            load.slots = f64::from(slots.max(1));
            load.answers_since_estimate += f64::from(server.answers);
            if let Some(per_second) = server.stated_rate.map(f64::from) {
                load.stated = Some(StatedRate {
                    per_second,
                    reported_at: now,
                });
            }
            let cooldown = server.cooldown.map(Duration::try_from_secs_f32);
            if let Some(Ok(cooldown)) = cooldown {
                load.cooldown_until = load.cooldown_until.max(now + cooldown);
            }
        }
    }

    /// Updates the estimated capacities of the given servers.
    pub(crate) fn estimate(&mut self, now: Duration, servers: &[&InstanceId]) {
        for id in servers {
            if let Some(load) = self.servers.get_mut(*id) {
                load.estimate(now);
            }
        }
    }

    /// Removes servers that are no longer known.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&InstanceId) -> bool) {
        self.servers.retain(|id, _| is_known(id));
    }

    /// Requests a second for each shard of a service, plus a base load, so that shards without requests
    /// are distributed too.
    pub(crate) fn weights(&self, now: Duration, service: &str) -> Vec<f64> {
        let rates: Vec<f64> = match self.shards.get(service) {
            Some(rates) => current_rates(now, rates),
            None => vec![0.0; SHARDS],
        };
        let total: f64 = rates.iter().sum();
        let base = (total / SHARDS as f64 * BASE_LOAD_FRACTION).max(f64::MIN_POSITIVE);
        rates.into_iter().map(|rate| rate + base).collect()
    }

    /// Time left for which a server asked to get no requests; `None` when it accepts requests.
    pub(crate) fn cooldown(&self, now: Duration, id: &InstanceId) -> Option<Duration> {
        let until = self.servers.get(id)?.cooldown_until;
        (now < until).then(|| until - now)
    }

    /// Whether a server states the rate of requests that it accepts.
    pub(crate) fn has_stated_rate(&self, now: Duration, id: &InstanceId) -> bool {
        let load = self.servers.get(id);
        let stated = load.and_then(|load| load.stated);
        stated.is_some_and(|stated| !stated.is_expired(now))
    }

    /// Answers a second that a server can give, at most its stated rate; `None` while neither is known.
    pub(crate) fn capacity(&self, now: Duration, id: &InstanceId) -> Option<f64> {
        let load = self.servers.get(id)?;
        if now < load.cooldown_until {
            return Some(0.0);
        }
        let is_known = load.estimate_answers >= MIN_ESTIMATE_ANSWERS;
        let estimated = load.capacity.filter(|_| is_known);
        let stated = load.stated.filter(|stated| !stated.is_expired(now));
        match (estimated, stated) {
            (Some(estimated), Some(stated)) => Some(estimated.min(stated.per_second)),
            (estimated, stated) => estimated.or(stated.map(|stated| stated.per_second)),
        }
    }
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            answers: DecayingRate::new(CAPACITY_TIME_CONSTANT),
            seconds: DecayingRate::new(CAPACITY_TIME_CONSTANT),
            slots: 1.0,
            capacity: None,
            estimate_answers: 0.0,
            answers_since_estimate: 0.0,
            stated: None,
            cooldown_until: Duration::ZERO,
        }
    }
}

impl ServerLoad {
    fn estimate(&mut self, now: Duration) {
        let answers = std::mem::take(&mut self.answers_since_estimate);
        let rate = self.answers.per_second(now);
        let concurrency = self.seconds.per_second(now);
        if answers <= 0.0 || rate <= 0.0 || concurrency <= 0.0 {
            return;
        }
        let measured = rate / utilization(concurrency, self.slots);
        let weight = 1.0 - (1.0 - ANSWER_WEIGHT).powf(answers);
        let previous = self.capacity.unwrap_or(measured);
        self.capacity = Some(previous + weight * (measured - previous));
        self.estimate_answers += answers;
    }
}

/// Requests a second for each shard. A sudden change of one shard counts only when it matters for the
/// whole service: among thousands of shards some always seem to change by chance.
fn current_rates(now: Duration, rates: &[AdaptiveRate]) -> Vec<f64> {
    let steady = rates.iter().map(|rate| rate.steady_per_second(now));
    let least = steady.sum::<f64>() * MIN_CHANGE_FRACTION;
    rates
        .iter()
        .map(|rate| rate.per_second(now, least))
        .collect()
}

/// Utilization of a server's slots when it has `concurrency` requests on average, including those that
/// wait. Inverts Sakasegawa's approximation for a queue with several servers:
/// `slots * u + u^sqrt(2 * (slots + 1)) / (1 - u)` requests at a utilization `u`.
fn utilization(concurrency: f64, slots: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt();
    let in_system = |busy: f64| slots * busy + busy.powf(exponent) / (1.0 - busy);
    let (mut low, mut high) = (0.0, MAX_UTILIZATION);
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        match in_system(middle) < concurrency {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}
