//! Choice of another gateway for requests that this one can't send to their servers.
//!
//! Invariant: what no gateway can reach causes few detours. A server that two other gateways could not reach either
//! is not asked for through others for a while, and a gateway that can't serve is avoided.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::backoff::exponential_delay;

/// Gateways in use at a time. Few connections carry the requests, and each gateway in use is known to work.
const MAX_IN_USE: usize = 6;

/// Cost of a gateway whose zone is not known yet, and of one in another zone; 1 for one in this zone.
const UNKNOWN_ZONE_FACTOR: f64 = 1.2;
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// Largest random increase of a cost, as a fraction, so that gateways with equal costs share the requests.
const JITTER: f64 = 0.3;

/// Shortest and longest time for which a gateway is avoided after a failure.
const MIN_AVOIDED: Duration = Duration::from_millis(500);
const MAX_AVOIDED: Duration = Duration::from_secs(4);

/// Time for which a gateway with a full link is avoided. Its queue has shrunk by then, and its own clients come back
/// after the same time.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(100);

/// Shortest and longest time for which no other gateway is asked for a target that none could reach.
const MIN_BLOCKED: Duration = Duration::from_millis(500);
const MAX_BLOCKED: Duration = Duration::from_secs(4);

/// Other gateways that must report a target as unreachable before it is no longer asked for.
const MIN_UNREACHABLE_REPORTS: u32 = 2;

#[derive(Debug, Default)]
struct Peer {
    /// `None` until it has answered.
    zone: Option<String>,
    in_flight: u32,
    failures: u32,
    avoided_until: Duration,
    /// Services whose servers it can't reach, with the number of reports in a row and the end of the time for which
    /// it is avoided for them.
    lost_services: HashMap<String, (u32, Duration)>,
    is_in_use: bool,
}

/// A server or service that other gateways could not reach either.
#[derive(Debug, Default)]
struct Target {
    reports: u32,
    reported_at: Duration,
    blocks: u32,
    blocked_until: Duration,
}

/// The other gateways, and the targets that they can't reach.
#[derive(Debug)]
pub struct Peers {
    zone: String,
    peers: BTreeMap<SocketAddr, Peer>,
    targets: HashMap<String, Target>,
}

impl Peers {
    /// Starts without other gateways; `zone` is the zone of this one.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            peers: BTreeMap::new(),
            targets: HashMap::new(),
        }
    }

    /// Replaces the addresses of the other gateways; those with requests in flight are kept.
    pub fn update(&mut self, addresses: impl Iterator<Item = SocketAddr>) {
        let addresses: std::collections::BTreeSet<SocketAddr> = addresses.collect();
        self.peers
            .retain(|address, peer| peer.in_flight > 0 || addresses.contains(address));
        for address in addresses {
            self.peers.entry(address).or_default();
        }
    }

    /// Whether no other gateway is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The gateway for the next request to a service, none of those in `tried`. `random` returns numbers between 0 and 1.
    pub fn choose(
        &self,
        now: Duration,
        service: &str,
        tried: &[SocketAddr],
        random: &mut dyn FnMut() -> f64,
    ) -> Option<SocketAddr> {
        let usable = |peer: &Peer| {
            let lost = peer.lost_services.get(service);
            now >= peer.avoided_until && lost.is_none_or(|(_, until)| now >= *until)
        };
        let in_use = self.peers.values();
        let in_use = in_use.filter(|peer| peer.is_in_use && usable(peer)).count();
        let candidates = self.peers.iter().filter(|(address, peer)| {
            let may_be_used = peer.is_in_use || in_use < MAX_IN_USE;
            usable(peer) && may_be_used && !tried.contains(address)
        });
        let costs = candidates.map(|(address, peer)| (self.cost(peer, random()), address));
        let best = costs.min_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|(_, address)| *address)
    }

    fn cost(&self, peer: &Peer, random: f64) -> f64 {
        let distance = match &peer.zone {
            None => UNKNOWN_ZONE_FACTOR,
            Some(zone) if *zone == self.zone => 1.0,
            Some(_) => OTHER_ZONE_FACTOR,
        };
        distance * f64::from(1 + peer.in_flight) * (1.0 + JITTER * random)
    }

    /// Counts a request that is sent to a gateway.
    pub fn begin(&mut self, address: SocketAddr) {
        self.peers.entry(address).or_default().in_flight += 1;
    }

    /// Counts the end of a request at a gateway, whatever its outcome.
    pub fn end(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
    }

    /// Records that a gateway answered, and its zone.
    pub fn answered(&mut self, address: SocketAddr, zone: Option<String>) {
        let peer = self.peers.entry(address).or_default();
        peer.zone = zone.or(peer.zone.take());
        peer.failures = 0;
        peer.is_in_use = true;
    }

    /// Records that a gateway has lost its paths to the servers of a service.
    pub fn lost_paths(&mut self, now: Duration, address: SocketAddr, service: &str) {
        let peer = self.peers.entry(address).or_default();
        let (reports, until) = peer.lost_services.entry(service.to_owned()).or_default();
        *until = now + exponential_delay(MIN_AVOIDED, (*reports).min(8), MAX_AVOIDED);
        *reports += 1;
    }

    /// Records that a gateway served a request to a service.
    pub fn served(&mut self, address: SocketAddr, service: &str) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.lost_services.remove(service);
        }
    }

    /// Records that the network link of a gateway is full.
    pub fn overloaded(&mut self, now: Duration, address: SocketAddr) {
        let peer = self.peers.entry(address).or_default();
        peer.avoided_until = now + OVERLOAD_PAUSE;
    }

    /// Records that a gateway can't be reached or can't serve.
    pub fn failed(&mut self, now: Duration, address: SocketAddr) {
        let peer = self.peers.entry(address).or_default();
        peer.avoided_until =
            now + exponential_delay(MIN_AVOIDED, peer.failures.min(8), MAX_AVOIDED);
        peer.failures += 1;
        peer.is_in_use = false;
    }

    /// Whether other gateways may be asked for a target.
    pub fn may_reach(&self, target: &str, now: Duration) -> bool {
        let target = self.targets.get(target);
        target.is_none_or(|target| now >= target.blocked_until)
    }

    /// Records that another gateway served a request for a target.
    pub fn reached(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Records that another gateway could not reach a target either.
    pub fn unreachable(&mut self, target: &str, now: Duration) {
        let target = self.targets.entry(target.to_owned()).or_default();
        target.reports += 1;
        target.reported_at = now;
        if target.reports < MIN_UNREACHABLE_REPORTS {
            return;
        }
        let time = exponential_delay(MIN_BLOCKED, target.blocks.min(8), MAX_BLOCKED);
        target.blocks += 1;
        target.reports = 0;
        target.blocked_until = now + time;
    }

    /// Forgets targets that have not been reported for long.
    pub fn forget_expired(&mut self, now: Duration) {
        self.targets
            .retain(|_, target| now < target.reported_at + 2 * MAX_BLOCKED);
    }
}
