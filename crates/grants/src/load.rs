//! What the gateways tell about load: requests for each shard, and what each server makes of them.
//!
//! A server's capacity is estimated from the rate of its answers and from how many requests are there at a
//! time, whenever a service's load is divided and not at each report: reports come from every gateway.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use grebepin_catalog::{InstanceId, SHARDS};
use serde::{Deserialize, Serialize};

use crate::rate::{AlertRate, Rate};

/// Utilization above which a server counts as saturated, and steps to find one.
const LARGEST_UTILIZATION: f64 = 0.99;
const BISECTIONS: u32 = 20;

/// Weight of one answer in the estimate of a capacity.
const ANSWER_WEIGHT: f64 = 0.05;

/// Memory of the rates that a capacity is estimated from.
const CAPACITY_MEMORY: Duration = Duration::from_millis(1_500);

/// Answers after which a server's capacity counts as known.
const KNOWN_AFTER_ANSWERS: f64 = 10.0;

/// Part of a service's load by which one shard must change to count as suddenly changed.
const LEAST_CHANGE_PART: f64 = 0.05;

/// Time for which a stated rate counts that no gateway tells of again: as long as so many answers take at that rate,
/// within bounds. A gateway reports each second, and asks only in its turn.
const STATED_ANSWERS: f64 = 4.0;
const LEAST_STATED_MEMORY: Duration = Duration::from_secs(4);
const LONGEST_STATED_MEMORY: Duration = Duration::from_secs(30);

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
    /// Requests a second that the server states to take from all gateways together, where it states that.
    #[serde(default)]
    pub stated_rate: Option<f32>,
    /// Seconds for which the server takes no requests, where it asked for none.
    #[serde(default)]
    pub cooldown: Option<f32>,
    /// Whether it says in its answers that it leaves.
    #[serde(default)]
    pub is_leaving: bool,
}

/// What one gateway saw in a while.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSample {
    /// Requests by service and shard.
    pub shards: Vec<(String, Vec<(u16, u16)>)>,
    /// Servers that answered.
    pub servers: Vec<ServerSample>,
}

impl LoadSample {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty() && self.servers.is_empty()
    }
}

/// The sum of several samples.
#[derive(Debug, Default)]
pub struct LoadSum {
    shards: BTreeMap<String, BTreeMap<u16, u16>>,
    servers: BTreeMap<InstanceId, ServerSum>,
}

/// What several gateways saw of a server.
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

    /// Adds a request for a shard.
    pub fn add_request(&mut self, service: &str, shard: u16) {
        add_count(self.shards_of(service), shard, 1);
    }

    fn shards_of(&mut self, service: &str) -> &mut BTreeMap<u16, u16> {
        if !self.shards.contains_key(service) {
            self.shards.insert(service.to_owned(), BTreeMap::new());
        }
        self.shards.get_mut(service).expect("just inserted")
    }

    /// Adds answers of a server that took so many seconds together.
    pub fn add_answers(&mut self, server: &InstanceId, answers: u32, seconds: f32) {
        let sum = self.servers.entry(server.clone()).or_default();
        sum.answers = sum.answers.saturating_add(answers);
        sum.seconds += seconds;
    }

    /// Notes the rate that a server states; the last one noted counts.
    pub fn add_stated_rate(&mut self, server: &InstanceId, per_second: f32) {
        let sum = self.servers.entry(server.clone()).or_default();
        sum.stated_rate = Some(per_second);
    }

    /// Notes that a server takes no requests for so many seconds; the longest time noted counts.
    pub fn add_cooldown(&mut self, server: &InstanceId, seconds: f32) {
        let sum = self.servers.entry(server.clone()).or_default();
        sum.cooldown = Some(sum.cooldown.map_or(seconds, |known| known.max(seconds)));
    }

    /// Notes that a server says that it leaves.
    pub fn add_leaving(&mut self, server: &InstanceId) {
        self.servers.entry(server.clone()).or_default().is_leaving = true;
    }

    /// Whether nothing was added that tells anything.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty() && self.servers.is_empty()
    }

    /// Takes the sum; it begins anew.
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

/// One server's answers.
#[derive(Clone, Copy, Debug)]
struct ServerLoad {
    answers: Rate,
    seconds: Rate,
    /// Requests that it works on at a time.
    slots: f64,
    capacity: Option<f64>,
    /// Answers that the estimate of the capacity rests on.
    estimated_from: f64,
    /// Answers since the last estimate.
    fresh_answers: f64,
    stated: Option<StatedRate>,
    /// Until when it takes no requests.
    cools_down_until: Duration,
}

/// A rate that a server stated.
#[derive(Clone, Copy, Debug)]
struct StatedRate {
    per_second: f64,
    /// When a gateway last told of it.
    told: Duration,
}

impl StatedRate {
    /// Whether the server would have been asked since, had it stopped stating the rate.
    fn is_over(&self, now: Duration) -> bool {
        let mean_pause = Duration::try_from_secs_f64(STATED_ANSWERS / self.per_second);
        let memory = mean_pause.unwrap_or(LONGEST_STATED_MEMORY);
        now > self.told + memory.clamp(LEAST_STATED_MEMORY, LONGEST_STATED_MEMORY)
    }
}

/// The load of all services, as the leader knows it.
#[derive(Debug, Default)]
pub(crate) struct LoadBook {
    shards: HashMap<String, Vec<AlertRate>>,
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
                .or_insert_with(|| vec![AlertRate::default(); SHARDS]);
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
            load.fresh_answers += f64::from(server.answers);
            if let Some(per_second) = server.stated_rate.map(f64::from) {
                load.stated = Some(StatedRate {
                    per_second,
                    told: now,
                });
            }
            let cooldown = server.cooldown.map(Duration::try_from_secs_f32);
            if let Some(Ok(cooldown)) = cooldown {
                load.cools_down_until = load.cools_down_until.max(now + cooldown);
            }
        }
    }

    /// Brings the estimates of some servers' capacities up to date.
    pub(crate) fn estimate(&mut self, now: Duration, servers: &[&InstanceId]) {
        for id in servers {
            if let Some(load) = self.servers.get_mut(*id) {
                load.estimate(now);
            }
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
            Some(rates) => current_rates(now, rates),
            None => vec![0.0; SHARDS],
        };
        let total: f64 = rates.iter().sum();
        let base = (total / SHARDS as f64 * BASE_PART).max(f64::MIN_POSITIVE);
        rates.into_iter().map(|rate| rate + base).collect()
    }

    /// Time for which a server takes no requests; `None` when it does.
    pub(crate) fn cooldown(&self, now: Duration, id: &InstanceId) -> Option<Duration> {
        let until = self.servers.get(id)?.cools_down_until;
        (now < until).then(|| until - now)
    }

    /// Whether a server states how many requests it takes.
    pub(crate) fn states_rate(&self, now: Duration, id: &InstanceId) -> bool {
        let load = self.servers.get(id);
        let stated = load.and_then(|load| load.stated);
        stated.is_some_and(|stated| !stated.is_over(now))
    }

    /// Answers a second that a server can give, and no more than it states to take; `None` while nothing is known.
    pub(crate) fn capacity(&self, now: Duration, id: &InstanceId) -> Option<f64> {
        let load = self.servers.get(id)?;
        if now < load.cools_down_until {
            return Some(0.0);
        }
        let is_known = load.estimated_from >= KNOWN_AFTER_ANSWERS;
        let estimated = load.capacity.filter(|_| is_known);
        let stated = load.stated.filter(|stated| !stated.is_over(now));
        match (estimated, stated) {
            (Some(estimated), Some(stated)) => Some(estimated.min(stated.per_second)),
            (estimated, stated) => estimated.or(stated.map(|stated| stated.per_second)),
        }
    }
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            answers: Rate::new(CAPACITY_MEMORY),
            seconds: Rate::new(CAPACITY_MEMORY),
            slots: 1.0,
            capacity: None,
            estimated_from: 0.0,
            fresh_answers: 0.0,
            stated: None,
            cools_down_until: Duration::ZERO,
        }
    }
}

impl ServerLoad {
    fn estimate(&mut self, now: Duration) {
        let answers = std::mem::take(&mut self.fresh_answers);
        let rate = self.answers.per_second(now);
        let at_a_time = self.seconds.per_second(now);
        if answers <= 0.0 || rate <= 0.0 || at_a_time <= 0.0 {
            return;
        }
        let seen = rate / utilization(at_a_time, self.slots);
        let weight = 1.0 - (1.0 - ANSWER_WEIGHT).powf(answers);
        let present = self.capacity.unwrap_or(seen);
        self.capacity = Some(present + weight * (seen - present));
        self.estimated_from += answers;
    }
}

/// Requests a second for each shard. A sudden change of one shard counts when it matters to the whole
/// service: among thousands of shards some always seem to change by chance.
fn current_rates(now: Duration, rates: &[AlertRate]) -> Vec<f64> {
    let steady = rates.iter().map(|rate| rate.steady_per_second(now));
    let least = steady.sum::<f64>() * LEAST_CHANGE_PART;
    rates
        .iter()
        .map(|rate| rate.per_second(now, least))
        .collect()
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
