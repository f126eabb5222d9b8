//! What this gateway knows of each server, and which one takes a request.
//!
//! Each server has a limit on this gateway's requests there, see [`crate::limit`].
//!
//! A server's cost is the time that a request is expected to take there: what answers took lately,
//! which holds its speed and everybody's load on it, times this gateway's own requests there.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};

use crate::backoff::{exponential_delay, ShedBackoff};
use crate::limit::{initial_limit, ConcurrencyLimit};
use crate::server_index::{LOCAL_FIRST, REMOTE_FIRST};

/// Weight of a new answer in the mean of answer times.
const MEAN_WEIGHT: f64 = 0.2;

/// Answer time assumed of a server that never answered while no other of its service did, in seconds.
const ASSUMED_SECONDS: f64 = 0.1;

/// Answer time assumed of a server that never answered, as a part of what the others of its service take: below
/// one, so that servers that join are tried, and above one over [`OTHER_ZONE_FACTOR`], so that a gateway of a large
/// fleet does not try every server of every other zone once.
const UNTRIED_PART: f64 = 0.6;

/// Weight of a new answer in the mean of a whole service.
const SERVICE_MEAN_WEIGHT: f64 = 0.05;

/// Cost of another zone, as a factor.
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// Servers that a request looks at first: a gateway sees few requests of a large fleet's, so it learns how fast a
/// server is and keeps connections there only if it uses few. Compared in `examples/placement_policies.rs`.
const FIRST_LOOK: usize = LOCAL_FIRST + REMOTE_FIRST;

/// Range of the random factor that keeps gateways from choosing alike.
const JITTER: f64 = 0.2;

/// First time for which a server that could not be reached is set aside, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Part of the wanted time within which an answer lets the limit grow.
const GOOD_PART: f64 = 0.7;

/// One server as this gateway knows it.
#[derive(Clone, Debug)]
struct Endpoint {
    connections: u32,
    /// Mean time of answers; `None` before the first.
    mean_seconds: Option<f64>,
    failures: u32,
    backoff: ShedBackoff,
    ejected_until: Duration,
    limit: ConcurrencyLimit,
}

impl Endpoint {
    fn new(limit: f64) -> Self {
        Self {
            connections: 0,
            mean_seconds: None,
            failures: 0,
            backoff: ShedBackoff::default(),
            ejected_until: Duration::ZERO,
            limit: ConcurrencyLimit::new(limit),
        }
    }

    /// Takes an answer's time into the mean.
    fn note_time(&mut self, took: Duration) {
        self.mean_seconds = Some(moved(self.mean_seconds, took, MEAN_WEIGHT));
    }
}

/// A mean after one more answer; the first answer is the mean.
fn moved(mean: Option<f64>, took: Duration, weight: f64) -> f64 {
    let took = took.as_secs_f64();
    mean.map_or(took, |mean| mean + weight * (took - mean))
}

/// All servers as this gateway knows them.
#[derive(Debug)]
pub struct LoadBalancer {
    gateways: u32,
    endpoints: HashMap<InstanceId, Endpoint>,
    /// Mean time of the answers of each service.
    service_means: HashMap<String, f64>,
}

impl Default for LoadBalancer {
    fn default() -> Self {
        Self {
            gateways: 1,
            endpoints: HashMap::new(),
            service_means: HashMap::new(),
        }
    }
}

impl LoadBalancer {
    /// Takes over how many gateways share the servers.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// A request went to a server.
    pub fn begin(&mut self, id: &InstanceId) {
        self.endpoint(id).limit.begin();
    }

    /// A request no longer is at a server.
    pub fn end(&mut self, id: &InstanceId, now: Duration) {
        let endpoint = self.endpoint(id);
        let seconds = endpoint.mean_seconds.unwrap_or(ASSUMED_SECONDS);
        let expected = Duration::from_secs_f64(seconds);
        endpoint.limit.end(now, expected);
    }

    /// Whether a server may get another request of this gateway now.
    pub fn has_room(&self, id: &InstanceId, now: Duration) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_none_or(|one| one.limit.has_room(now))
    }

    /// When a server gets room that only a pause keeps from it.
    pub fn opens_at(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        self.endpoints.get(id)?.limit.opens_at(now)
    }

    /// A server turned a request away.
    pub fn overloaded(&mut self, id: &InstanceId, now: Duration) {
        let endpoint = self.endpoint(id);
        endpoint.limit.overloaded(now);
        endpoint.backoff.shed();
    }

    /// A server turned a request away and asked for no more for a time.
    pub fn cooldown_requested(&mut self, id: &InstanceId) {
        self.endpoint(id).limit.reset();
    }

    /// Time after which a server that turned a request away is likely to take one.
    pub fn capacity_after(&self, server: &Instance) -> Duration {
        let endpoint = self.endpoints.get(&server.id);
        let per_slot = self.expected_time(server) / server.slots.max(1);
        let backoff = endpoint.map_or_else(ShedBackoff::default, |one| one.backoff);
        backoff.delay(per_slot)
    }

    /// Time that a server is expected to take for a request: what its answers took lately, or those of its service
    /// when it gave none.
    pub fn expected_time(&self, server: &Instance) -> Duration {
        let endpoint = self.endpoints.get(&server.id);
        let mean_seconds = endpoint.and_then(|one| one.mean_seconds);
        let mean_seconds = mean_seconds.unwrap_or_else(|| self.mean_of_service(&server.service));
        Duration::from_secs_f64(mean_seconds)
    }

    /// A connection to a server was begun.
    pub fn connection_opened(&mut self, server: &Instance) {
        let first = initial_limit(server.slots, self.gateways);
        let endpoint = self.endpoints.entry(server.id.clone());
        let endpoint = endpoint.or_insert_with(|| Endpoint::new(first));
        endpoint.connections += 1;
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
        endpoint.note_time(took);
        if took <= wanted.mul_f64(GOOD_PART) {
            endpoint.limit.answered_fast();
        } else if took > wanted {
            endpoint.limit.answered_late(now);
        }
        endpoint.ejected_until = Duration::ZERO;
        endpoint.backoff.answered();
        std::mem::take(&mut endpoint.failures) > 0
    }

    /// A server answered with a failure of its own after a time: it is no faster for failing soon, nor fit for more.
    pub fn answered_with_failure(&mut self, id: &InstanceId, took: Duration) {
        let endpoint = self.endpoint(id);
        let is_slower = endpoint
            .mean_seconds
            .is_none_or(|mean| took.as_secs_f64() > mean);
        if is_slower {
            endpoint.note_time(took);
        }
    }

    /// A server left a request without an answer until its time was up.
    pub fn timed_out(&mut self, id: &InstanceId, now: Duration, took: Duration) {
        let endpoint = self.endpoint(id);
        endpoint.note_time(took);
        endpoint.limit.overloaded(now);
    }

    /// A server could not be reached or broke off: it is set aside for a growing time, which is returned.
    pub fn connection_failed(&mut self, id: &InstanceId, now: Duration) -> Duration {
        let endpoint = self.endpoint(id);
        let pause = exponential_delay(FIRST_PAUSE, endpoint.failures.min(8), LONGEST_PAUSE);
        endpoint.failures += 1;
        endpoint.ejected_until = now + pause;
        pause
    }

    /// Until when a server is set aside; `None` when it is not.
    pub fn ejected_until(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        let until = self.endpoints.get(id)?.ejected_until;
        (until > now).then_some(until)
    }

    /// Forgets servers that have ended.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.endpoints
            .retain(|id, one| is_live(id) || one.limit.running() > 0 || one.connections > 0);
    }

    /// The server of lowest cost among the first of `ranked` that are trusted and have room; among more and more of
    /// the others while these have none; and one that is set aside only when no other is left.
    /// `random` gives numbers between 0 and 1.
    pub fn choose<'a>(
        &self,
        ranked: impl Iterator<Item = &'a Instance> + Clone,
        zone: &str,
        now: Duration,
        random: &mut dyn FnMut() -> f64,
    ) -> Option<&'a Instance> {
        self.choose_from_first(FIRST_LOOK, ranked, zone, now, random)
    }

    /// As [`LoadBalancer::choose`], with another number of servers that are looked at first.
    pub fn choose_from_first<'a>(
        &self,
        first: usize,
        ranked: impl Iterator<Item = &'a Instance> + Clone,
        zone: &str,
        now: Duration,
        random: &mut dyn FnMut() -> f64,
    ) -> Option<&'a Instance> {
        let mut rest = ranked.clone();
        let mut width = first.max(1);
        loop {
            let mut seen = 0;
            let group = rest.by_ref().take(width).inspect(|_| seen += 1);
            let trusted = group
                .filter(|one| self.has_room(&one.id, now))
                .filter(|one| self.ejected_until(&one.id, now).is_none());
            if let Some(best) = self.cheapest(trusted, zone, random) {
                return Some(best);
            }
            if seen < width {
                break;
            }
            width *= 2;
        }
        let free = ranked.filter(|instance| self.has_room(&instance.id, now));
        self.cheapest(free, zone, random)
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
        let endpoint = self.endpoints.get(&instance.id);
        let running = endpoint.map_or(0, |one| one.limit.running());
        let mean_seconds = endpoint.and_then(|one| one.mean_seconds);
        let mean_seconds = mean_seconds.unwrap_or_else(|| self.assumed_seconds(&instance.service));
        let slots = f64::from(instance.slots.max(1));
        let queued = 1.0 + f64::from(running) / slots * 2.0;
        let distance = match instance.zone == zone {
            true => 1.0,
            false => OTHER_ZONE_FACTOR,
        };
        mean_seconds * queued * distance * (1.0 + JITTER * random)
    }

    /// Answer time assumed of a server of a service that never answered.
    fn assumed_seconds(&self, service: &str) -> f64 {
        let mean = self.service_means.get(service);
        mean.map_or(ASSUMED_SECONDS, |mean| mean * UNTRIED_PART)
    }

    /// Mean answer time of a service's servers.
    fn mean_of_service(&self, service: &str) -> f64 {
        let mean = self.service_means.get(service);
        mean.copied().unwrap_or(ASSUMED_SECONDS)
    }

    /// Takes the time of an answer into the mean of its service.
    pub fn note_service_time(&mut self, service: &str, took: Duration) {
        let mean = self.service_means.get(service).copied();
        let mean = moved(mean, took, SERVICE_MEAN_WEIGHT);
        match self.service_means.get_mut(service) {
            Some(known) => *known = mean,
            None => _ = self.service_means.insert(service.to_owned(), mean),
        }
    }

    fn endpoint(&mut self, id: &InstanceId) -> &mut Endpoint {
        if !self.endpoints.contains_key(id) {
            let first = initial_limit(1, self.gateways);
            self.endpoints.insert(id.clone(), Endpoint::new(first));
        }
        self.endpoints.get_mut(id).expect("just inserted")
    }
}
