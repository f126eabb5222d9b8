//! Which replicas of the directory this gateway opens links to: two, preferably of its own zone, and
//! different ones for different gateways.
//!
//! Every replica holds the whole state and distributes it, so that the leader's load does not grow with the
//! number of gateways and little traffic crosses zones. One link is followed, the other is a standby.
//!
//! Invariant: a replica that is of no use is avoided for a while and the next one takes its place, until
//! every known replica has been tried.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_directory::link::ReplicaAddress;
use xxhash_rust::xxh3::xxh3_64;

/// Number of links while one of them receives updates: the followed one and a standby.
const LINKS_WITH_FEED: usize = 2;

/// Number of links while none receives updates. A network partition may separate some of many replicas from
/// the leader, and a replica that still has contact must be found within the 2 s that a change may take.
const LINKS_WITHOUT_FEED: usize = 4;

/// Time after which a replica is dropped if no replica has named it again.
const NAME_LIFETIME: Duration = Duration::from_secs(30);

/// What other replicas told about a replica.
#[derive(Debug)]
struct Known {
    zone: String,
    votes: bool,
    named_at: Duration,
}

/// The known replicas, and which of them to open links to.
#[derive(Debug)]
pub struct Replicas {
    node: String,
    zone: String,
    seeds: Vec<String>,
    known: BTreeMap<String, Known>,
    avoided_until: BTreeMap<String, Duration>,
}

impl Replicas {
    /// Starts with the seeds only. `node` is the machine of this gateway, `zone` its zone.
    pub fn new(node: &str, zone: &str, seeds: Vec<String>) -> Self {
        Self {
            node: node.to_owned(),
            zone: zone.to_owned(),
            seeds,
            known: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
        }
    }

    /// Replaces the seeds, after a change of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Records the replicas that are listed in a message of a replica.
    pub fn note(&mut self, now: Duration, replicas: &[ReplicaAddress]) {
        for replica in replicas {
            let known = Known {
                zone: replica.zone.clone(),
                votes: replica.votes,
                named_at: now,
            };
            self.known.insert(replica.address.clone(), known);
        }
    }

    /// Avoids a replica for the time `pause`.
    pub fn avoid(&mut self, now: Duration, address: &str, pause: Duration) {
        self.avoided_until.insert(address.to_owned(), now + pause);
    }

    /// Ends the avoidance of a replica that has proved useful.
    pub fn stop_avoiding(&mut self, address: &str) {
        self.avoided_until.remove(address);
    }

    /// Drops replicas that no replica has named for a while, and avoidances that are over.
    pub fn forget_expired(&mut self, now: Duration) {
        self.known
            .retain(|_, known| now < known.named_at + NAME_LIFETIME);
        self.avoided_until.retain(|_, until| now < *until);
    }

    /// Zone of a replica; empty when it is not known.
    pub fn zone_of(&self, address: &str) -> &str {
        self.known.get(address).map_or("", |known| &known.zone)
    }

    /// Sort key for the order of preference; the lowest is preferred.
    pub fn rank(&self, address: &str) -> (bool, u64) {
        let is_remote = self.zone_of(address) != self.zone;
        let text = format!("{} {address}", self.node);
        (is_remote, xxh3_64(text.as_bytes()))
    }

    /// The replicas to open links to, most preferred first. `has_feed` is true if some link receives updates.
    pub fn wanted(&self, now: Duration, has_feed: bool) -> Vec<String> {
        let count = match has_feed {
            true => LINKS_WITH_FEED,
            false => LINKS_WITHOUT_FEED,
        };
        let mut usable = self.usable(now);
        usable.sort_by_cached_key(|address| self.rank(address));
        usable.truncate(count);
        usable
    }

    /// The most preferred replica; `None` while only seeds are known, because all gateways know the same few.
    pub fn preferred(&self, now: Duration) -> Option<String> {
        if self.known.is_empty() {
            return None;
        }
        let usable = self.usable(now).into_iter();
        usable.min_by_key(|address| self.rank(address))
    }

    /// The replicas to ask for an initial state while there is no contact with a leader: the seeds and all
    /// voters.
    pub fn state_candidates(&self, now: Duration) -> Vec<String> {
        let is_candidate = |address: &String| {
            let votes = self.known.get(address).is_some_and(|known| known.votes);
            votes || self.seeds.contains(address)
        };
        let usable = self.usable(now).into_iter();
        usable.filter(is_candidate).collect()
    }

    fn usable(&self, now: Duration) -> Vec<String> {
        let unknown_seeds = self
            .seeds
            .iter()
            .filter(|one| !self.known.contains_key(*one));
        let all = self.known.keys().chain(unknown_seeds);
        let is_avoided = |address: &String| {
            let until = self.avoided_until.get(address);
            until.is_some_and(|until| now < *until)
        };
        all.filter(|address| !is_avoided(address))
            .cloned()
            .collect()
    }
}
