//! Per-server statistics of this gateway, and the choice of the server for a request.
//!
//! This gateway's concurrency at each server is limited, see [`crate::limit`].
//!
//! The cost of a server is the response time to expect there: the mean of its recent response times, which
//! reflects its speed and its load from all gateways, scaled by the number of this gateway's own requests in
//! flight there.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};

use crate::backoff::{exponential_delay, ShedBackoff};
use crate::limit::{initial_limit, ConcurrencyLimit};
use crate::server_index::{LOCAL_FIRST, REMOTE_FIRST};

/// Weight of a new response in the moving average of a server's response times.
const MEAN_WEIGHT: f64 = 0.2;

/// Response time in seconds assumed for a server while no server of its service has responded yet.
const ASSUMED_SECONDS: f64 = 0.1;

/// Response time assumed for a server that has not responded yet, as a fraction of the mean of its service.
/// It is below 1, so that servers that join get requests, and above 1 / [`OTHER_ZONE_FACTOR`], so that a
/// gateway of a large fleet does not send one request to every server of every other zone.
const UNTRIED_FRACTION: f64 = 0.6;

/// Weight of a new response in the moving average of a whole service.
const SERVICE_MEAN_WEIGHT: f64 = 0.05;

/// Factor on the cost of servers in other zones.
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// Number of servers considered first for a request. A gateway handles a small share of a large fleet's
/// requests, so it learns the servers' response times and keeps connections alive only if it uses few
/// servers. `examples/placement_policies.rs` compares several numbers.
const INITIAL_CANDIDATES: usize = LOCAL_FIRST + REMOTE_FIRST;

/// Largest random increase of a cost, as a fraction, so that gateways with the same statistics choose
/// different servers.
const JITTER: f64 = 0.2;

/// Shortest and longest ejection of a server that could not be reached.
const INITIAL_EJECTION: Duration = Duration::from_millis(300);
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Fraction of the target latency within which a response raises the concurrency limit.
const FAST_FRACTION: f64 = 0.7;

/// Statistics of this gateway about one server.
#[derive(Clone, Debug)]
struct Endpoint {
    connections: u32,
    /// Moving average of response times; `None` before the first response.
    mean_seconds: Option<f64>,
    failures: u32,
    /// When a connection last failed.
    failed_at: Duration,
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
            failed_at: Duration::ZERO,
            backoff: ShedBackoff::default(),
            ejected_until: Duration::ZERO,
            limit: ConcurrencyLimit::new(limit),
        }
    }

    /// Adds a response time to the moving average.
    fn note_time(&mut self, took: Duration) {
        self.mean_seconds = Some(moving_average(self.mean_seconds, took, MEAN_WEIGHT));
    }
}

/// Exponential moving average after one more value; the first value is the average.
fn moving_average(mean: Option<f64>, took: Duration, weight: f64) -> f64 {
    let took = took.as_secs_f64();
    mean.map_or(took, |mean| mean + weight * (took - mean))
}

/// Chooses servers by the statistics that this gateway keeps about them.
#[derive(Debug)]
pub struct LoadBalancer {
    gateways: u32,
    endpoints: HashMap<InstanceId, Endpoint>,
    /// Moving average of response times by service.
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
    /// Sets the number of gateways that share the servers; at least 1.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Counts a request that is sent to a server.
    pub fn begin(&mut self, id: &InstanceId) {
        self.endpoint(id).limit.begin();
    }

    /// Counts the end of a request at a server, whatever its outcome.
    pub fn end(&mut self, id: &InstanceId, now: Duration) {
        let endpoint = self.endpoint(id);
        let seconds = endpoint.mean_seconds.unwrap_or(ASSUMED_SECONDS);
        let expected = Duration::from_secs_f64(seconds);
        endpoint.limit.end(now, expected);
    }

    /// Whether the concurrency limit allows another request to a server now.
    pub fn has_room(&self, id: &InstanceId, now: Duration) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_none_or(|one| one.limit.has_room(now))
    }

    /// End of the pause before the next request to a server; `None` if no pause is in effect.
    pub fn opens_at(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        self.endpoints.get(id)?.limit.opens_at(now)
    }

    /// Records that a server shed a request.
    pub fn overloaded(&mut self, id: &InstanceId, now: Duration) {
        let endpoint = self.endpoint(id);
        endpoint.limit.overloaded(now);
        endpoint.backoff.shed();
    }

    /// Records that a server rejected a request and asked for a cooldown.
    pub fn cooldown_requested(&mut self, id: &InstanceId) {
        self.endpoint(id).limit.reset();
    }

    /// Time after which a server that shed a request is likely to accept one.
    pub fn capacity_after(&self, server: &Instance) -> Duration {
        let endpoint = self.endpoints.get(&server.id);
        let per_slot = self.expected_time(server) / server.slots.max(1);
        let backoff = endpoint.map_or_else(ShedBackoff::default, |one| one.backoff);
        backoff.delay(per_slot)
    }

    /// Expected response time of a server: the moving average of the server, or that of its service before
    /// the server's first response.
    pub fn expected_time(&self, server: &Instance) -> Duration {
        let endpoint = self.endpoints.get(&server.id);
        let mean_seconds = endpoint.and_then(|one| one.mean_seconds);
        let mean_seconds = mean_seconds.unwrap_or_else(|| self.mean_of_service(&server.service));
        Duration::from_secs_f64(mean_seconds)
    }

    /// Counts a connection to a server from the start of the connection attempt.
    pub fn connection_opened(&mut self, server: &Instance) {
        let limit = initial_limit(server.slots, self.gateways);
        let endpoint = self.endpoints.entry(server.id.clone());
        let endpoint = endpoint.or_insert_with(|| Endpoint::new(limit));
        endpoint.connections += 1;
    }

    /// Counts the end of a connection to a server.
    pub fn connection_closed(&mut self, id: &InstanceId) {
        let endpoint = self.endpoint(id);
        endpoint.connections = endpoint.connections.saturating_sub(1);
    }

    /// Number of connections of this gateway to a server, pending ones included.
    pub fn connections(&self, id: &InstanceId) -> u32 {
        self.endpoints.get(id).map_or(0, |one| one.connections)
    }

    /// Records a response that took `took`, where `target` is the target latency. Returns whether the
    /// server's last connections had failed, so that this response ends its ejection.
    pub fn answered(
        &mut self,
        id: &InstanceId,
        now: Duration,
        took: Duration,
        target: Duration,
    ) -> bool {
        let endpoint = self.endpoint(id);
        endpoint.note_time(took);
        if took <= target.mul_f64(FAST_FRACTION) {
            endpoint.limit.answered_fast();
        } else if took > target {
            endpoint.limit.answered_late(now);
        }
        endpoint.ejected_until = Duration::ZERO;
        endpoint.backoff.answered();
        std::mem::take(&mut endpoint.failures) > 0
    }

    /// Records an error response. It can raise the average response time but never lowers it, and it does not
    /// raise the concurrency limit: a server that fails fast is not a fast server.
    pub fn answered_with_failure(&mut self, id: &InstanceId, took: Duration) {
        let endpoint = self.endpoint(id);
        let is_slower = endpoint
            .mean_seconds
            .is_none_or(|mean| took.as_secs_f64() > mean);
        if is_slower {
            endpoint.note_time(took);
        }
    }

    /// Records that a server did not respond before the request's deadline.
    pub fn timed_out(&mut self, id: &InstanceId, now: Duration, took: Duration) {
        let endpoint = self.endpoint(id);
        endpoint.note_time(took);
        endpoint.limit.overloaded(now);
    }

    /// Records that a server could not be reached or broke a connection off. Ejects the server for a time
    /// that doubles with each failure in a row, and returns that time.
    pub fn connection_failed(&mut self, id: &InstanceId, now: Duration) -> Duration {
        let endpoint = self.endpoint(id);
        let ejection = exponential_delay(INITIAL_EJECTION, endpoint.failures.min(8), MAX_EJECTION);
        endpoint.failures += 1;
        endpoint.failed_at = now;
        endpoint.ejected_until = now + ejection;
        ejection
    }

    /// Ends the ejections of servers that `is_affected` selects and whose last failure is later than `since`.
    pub fn end_ejections(&mut self, since: Duration, is_affected: impl Fn(&InstanceId) -> bool) {
        let endpoints = self.endpoints.iter_mut();
        let ejected = endpoints.filter(|(id, one)| one.failed_at > since && is_affected(id));
        for (_, endpoint) in ejected {
            endpoint.failures = 0;
            endpoint.ejected_until = Duration::ZERO;
        }
    }

    /// End of a server's ejection; `None` when it is not ejected.
    pub fn ejected_until(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        let until = self.endpoints.get(id)?.ejected_until;
        (until > now).then_some(until)
    }

    /// Drops the statistics of servers that are not live and have no requests or connections of this gateway.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.endpoints
            .retain(|id, one| is_live(id) || one.limit.running() > 0 || one.connections > 0);
    }

    /// The server of the lowest cost among the first of `ranked` that are not ejected and are within their
    /// concurrency limit. If there is none, the following servers are considered in groups of doubling size.
    /// Ejected servers are chosen only when no other is left. `random` returns numbers between 0 and 1.
    pub fn choose<'a>(
        &self,
        ranked: impl Iterator<Item = &'a Instance> + Clone,
        zone: &str,
        now: Duration,
        random: &mut dyn FnMut() -> f64,
    ) -> Option<&'a Instance> {
        self.choose_from_first(INITIAL_CANDIDATES, ranked, zone, now, random)
    }

    /// Like [`LoadBalancer::choose`], with `first` servers in the first group.
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
            let candidates = group
                .filter(|one| self.has_room(&one.id, now))
                .filter(|one| self.ejected_until(&one.id, now).is_none());
            if let Some(best) = self.cheapest(candidates, zone, random) {
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

    /// Response time assumed for a server that has not responded yet.
    fn assumed_seconds(&self, service: &str) -> f64 {
        let mean = self.service_means.get(service);
        mean.map_or(ASSUMED_SECONDS, |mean| mean * UNTRIED_FRACTION)
    }

    /// Mean response time of a service's servers.
    fn mean_of_service(&self, service: &str) -> f64 {
        let mean = self.service_means.get(service);
        mean.copied().unwrap_or(ASSUMED_SECONDS)
    }

    /// Adds a response time to the moving average of its service.
    pub fn note_service_time(&mut self, service: &str, took: Duration) {
        let mean = self.service_means.get(service).copied();
        let mean = moving_average(mean, took, SERVICE_MEAN_WEIGHT);
        match self.service_means.get_mut(service) {
            Some(known) => *known = mean,
            None => _ = self.service_means.insert(service.to_owned(), mean),
        }
    }

    fn endpoint(&mut self, id: &InstanceId) -> &mut Endpoint {
        if !self.endpoints.contains_key(id) {
            let limit = initial_limit(1, self.gateways);
            self.endpoints.insert(id.clone(), Endpoint::new(limit));
        }
        self.endpoints.get_mut(id).expect("just inserted")
    }
}
