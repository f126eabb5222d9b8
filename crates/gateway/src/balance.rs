//! What this gateway knows of each server, and which one takes a request.
//!
//! Each server has a limit on this gateway's requests there. It grows while answers come well inside
//! the time they are wanted in, and shrinks when the server sheds, stays silent or is late; so all
//! gateways together settle near what the server can take, without telling each other.
//!
//! A server's cost is the time that a request is expected to take there: what answers took lately,
//! which holds its speed and everybody's load on it, times this gateway's own requests there.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};

/// Weight of a new answer in the mean of answer times.
const MEAN_WEIGHT: f64 = 0.2;

/// Answer time assumed of a server that never answered, in seconds.
const ASSUMED_SECONDS: f64 = 0.1;

/// Cost of another zone, as a factor.
const OTHER_ZONE_FACTOR: f64 = 1.15;

/// Range of the random factor that keeps gateways from choosing alike.
const JITTER: f64 = 0.2;

/// First time for which a server that could not be reached is set aside, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Limit on requests at a server that is not known yet, and the least and the largest limit.
const FIRST_LIMIT: f64 = 4.0;
const LEAST_LIMIT: f64 = 2.0;
const LARGEST_LIMIT: f64 = 32.0;

/// Growth of a limit for a round of good answers.
const LIMIT_GROWTH: f64 = 0.5;

/// Part of the wanted time within which an answer lets the limit grow.
const GOOD_PART: f64 = 0.7;

/// What a late answer and an overload leave of a limit.
const LATE_FACTOR: f64 = 0.85;
const OVERLOAD_FACTOR: f64 = 0.6;

/// Least time between two cuts of a limit, so that one burst of failures counts once.
const CUT_PAUSE: Duration = Duration::from_millis(100);

/// One server as this gateway knows it.
#[derive(Clone, Debug)]
struct Endpoint {
    running: u32,
    connections: u32,
    mean_seconds: f64,
    failures: u32,
    aside_until: Duration,
    limit: f64,
    cut_at: Duration,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self {
            running: 0,
            connections: 0,
            mean_seconds: ASSUMED_SECONDS,
            failures: 0,
            aside_until: Duration::ZERO,
            limit: FIRST_LIMIT,
            cut_at: Duration::ZERO,
        }
    }
}

impl Endpoint {
    fn cut_limit(&mut self, now: Duration, factor: f64) {
        if now >= self.cut_at + CUT_PAUSE {
            self.cut_at = now;
            self.limit = (self.limit * factor).max(LEAST_LIMIT);
        }
    }
}

/// All servers as this gateway knows them.
#[derive(Debug, Default)]
pub struct Balance {
    endpoints: HashMap<InstanceId, Endpoint>,
}

impl Balance {
    /// A request went to a server.
    pub fn begin(&mut self, id: &InstanceId) {
        self.endpoint(id).running += 1;
    }

    /// A request no longer is at a server.
    pub fn end(&mut self, id: &InstanceId) {
        let endpoint = self.endpoint(id);
        endpoint.running = endpoint.running.saturating_sub(1);
    }

    /// Whether a server may get another request of this gateway now.
    pub fn has_room(&self, id: &InstanceId) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_none_or(|one| f64::from(one.running) + 1.0 <= one.limit.max(LEAST_LIMIT))
    }

    /// A server shed a request or left it without an answer.
    pub fn overloaded(&mut self, id: &InstanceId, now: Duration) {
        self.endpoint(id).cut_limit(now, OVERLOAD_FACTOR);
    }

    /// A connection to a server was begun.
    pub fn connection_opened(&mut self, id: &InstanceId) {
        self.endpoint(id).connections += 1;
    }

    /// A connection to a server ended.
    pub fn connection_closed(&mut self, id: &InstanceId) {
        let endpoint = self.endpoint(id);
        endpoint.connections = endpoint.connections.saturating_sub(1);
    }

    /// Connections of this gateway to a server.
    pub fn connections(&self, id: &InstanceId) -> u32 {
        self.endpoints.get(id).map_or(0, |one| one.connections)
    }

    /// A server answered after a time, where `wanted` is the time it is wanted in; whether the server
    /// had been set aside before.
    pub fn answered(
        &mut self,
        id: &InstanceId,
        now: Duration,
        took: Duration,
        wanted: Duration,
    ) -> bool {
        let endpoint = self.endpoint(id);
        let seconds = took.as_secs_f64();
        endpoint.mean_seconds += MEAN_WEIGHT * (seconds - endpoint.mean_seconds);
        if took <= wanted.mul_f64(GOOD_PART) {
            let grown = endpoint.limit + LIMIT_GROWTH / endpoint.limit;
            endpoint.limit = grown.min(LARGEST_LIMIT);
        } else if took > wanted {
            endpoint.cut_limit(now, LATE_FACTOR);
        }
        endpoint.aside_until = Duration::ZERO;
        std::mem::take(&mut endpoint.failures) > 0
    }

    /// A server left a request without an answer until its time was up.
    pub fn silent(&mut self, id: &InstanceId, now: Duration, took: Duration) {
        let endpoint = self.endpoint(id);
        let seconds = took.as_secs_f64();
        endpoint.mean_seconds += MEAN_WEIGHT * (seconds - endpoint.mean_seconds);
        endpoint.cut_limit(now, OVERLOAD_FACTOR);
    }

    /// A server could not be reached or broke off: it is set aside for a growing time, which is returned.
    pub fn failed(&mut self, id: &InstanceId, now: Duration) -> Duration {
        let endpoint = self.endpoint(id);
        let pause = FIRST_PAUSE * 2u32.saturating_pow(endpoint.failures.min(8));
        let pause = pause.min(LONGEST_PAUSE);
        endpoint.failures += 1;
        endpoint.aside_until = now + pause;
        pause
    }

    /// Until when a server is set aside; `None` when it is not.
    pub fn aside_until(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        let until = self.endpoints.get(id)?.aside_until;
        (until > now).then_some(until)
    }

    /// Forgets servers that have ended.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.endpoints
            .retain(|id, one| is_live(id) || one.running > 0 || one.connections > 0);
    }

    /// The server of lowest cost among `candidates` that have room; those set aside only when no other
    /// is left.
    /// `random` gives numbers between 0 and 1.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Instance> + Clone,
        zone: &str,
        now: Duration,
        random: &mut dyn FnMut() -> f64,
    ) -> Option<&'a Instance> {
        let free = candidates.filter(|instance| self.has_room(&instance.id));
        let trusted = free
            .clone()
            .filter(|instance| self.aside_until(&instance.id, now).is_none());
        self.cheapest(trusted, zone, random)
            .or_else(|| self.cheapest(free, zone, random))
    }

    fn cheapest<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Instance>,
        zone: &str,
        random: &mut dyn FnMut() -> f64,
    ) -> Option<&'a Instance> {
        let costs = candidates.map(|instance| (self.cost(instance, zone, random()), instance));
        costs
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, instance)| instance)
    }

    fn cost(&self, instance: &Instance, zone: &str, random: f64) -> f64 {
        let unknown = Endpoint::default();
        let endpoint = self.endpoints.get(&instance.id).unwrap_or(&unknown);
        let slots = f64::from(instance.slots.max(1));
        let queued = 1.0 + f64::from(endpoint.running) / slots * 2.0;
        let distance = match instance.zone == zone {
            true => 1.0,
            false => OTHER_ZONE_FACTOR,
        };
        endpoint.mean_seconds * queued * distance * (1.0 + JITTER * random)
    }

    fn endpoint(&mut self, id: &InstanceId) -> &mut Endpoint {
        if !self.endpoints.contains_key(id) {
            self.endpoints.insert(id.clone(), Endpoint::default());
        }
        self.endpoints.get_mut(id).expect("just inserted")
    }
}
