//! Choice of another gateway for requests that this one can't send to their servers.
//!
//! Invariant: what no gateway can reach causes few detours. A server that two other gateways could not reach either
//! is not asked for through others for a while, and a gateway that can't serve is avoided.

use std::collections::{BTreeMap, BTreeSet, HashMap};
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

/// Shortest and longest pause after a failure: of the use of a gateway, and of requests for a target that none could
/// reach.
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Time for which a gateway with a full link is avoided. Its queue has shrunk by then, and its own clients come back
/// after the same time.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(100);

/// Other gateways that must report a target as unreachable before it is no longer asked for.
const MIN_UNREACHABLE_REPORTS: u32 = 2;

/// A pause that doubles with each failure in a row.
#[derive(Debug, Default)]
struct Pause {
    failures: u32,
    until: Duration,
}

impl Pause {
    fn extend(&mut self, now: Duration) {
        self.until = now + exponential_delay(MIN_PAUSE, self.failures.min(8), MAX_PAUSE);
        self.failures += 1;
    }

    fn is_over(&self, now: Duration) -> bool {
        now >= self.until
    }
}

#[derive(Debug, Default)]
struct Peer {
    /// `None` until it has answered.
    zone: Option<String>,
    in_flight: u32,
    avoided: Pause,
    /// Services whose servers it can't reach, and how long it is avoided for them.
    lost_services: HashMap<String, Pause>,
    is_in_use: bool,
}

/// A server or service that other gateways could not reach either.
#[derive(Debug, Default)]
struct Target {
    reports: u32,
    reported_at: Duration,
    blocked: Pause,
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
        let addresses: BTreeSet<SocketAddr> = addresses.collect();
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

    /// The gateway for the next request to a service, none of those in `tried`. `random` returns numbers between 0
    /// and 1.
    pub fn choose(
        &self,
        now: Duration,
        service: &str,
        tried: &[SocketAddr],
        random: &mut dyn FnMut() -> f64,
    ) -> Option<SocketAddr> {
        let usable = |peer: &Peer| {
            let lost = peer.lost_services.get(service);
            peer.avoided.is_over(now) && lost.is_none_or(|pause| pause.is_over(now))
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
        peer.avoided.failures = 0;
        peer.is_in_use = true;
    }

    /// Records that a gateway has lost its paths to the servers of a service.
    pub fn lost_paths(&mut self, now: Duration, address: SocketAddr, service: &str) {
        let peer = self.peers.entry(address).or_default();
        let lost = peer.lost_services.entry(service.to_owned()).or_default();
        lost.extend(now);
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
        peer.avoided.until = now + OVERLOAD_PAUSE;
    }

    /// Records that a gateway can't be reached or can't serve.
    pub fn failed(&mut self, now: Duration, address: SocketAddr) {
        let peer = self.peers.entry(address).or_default();
        peer.avoided.extend(now);
        peer.is_in_use = false;
    }

    /// Whether other gateways may be asked for a target.
    pub fn may_reach(&self, target: &str, now: Duration) -> bool {
        let target = self.targets.get(target);
        target.is_none_or(|target| target.blocked.is_over(now))
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
        target.reports = 0;
        target.blocked.extend(now);
    }

    /// Forgets targets that have not been reported for long.
    pub fn forget_expired(&mut self, now: Duration) {
        self.targets
            .retain(|_, target| now < target.reported_at + 2 * MAX_PAUSE);
    }
}
