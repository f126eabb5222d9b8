//! Which replicas of the directory this gateway links to: two, those of its own zone first, and not the same
//! two as its neighbours.
//!
//! Every replica holds the whole state and gives it on, so that the leader's work does not grow with the
//! gateways, and what is fed seldom crosses zones. One link is followed, the other stands by.
//!
//! Invariant: a replica that is of no use is left alone for a while and the next one takes its place, until
//! every known replica was tried.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_directory::link::ReplicaAddress;
use xxhash_rust::xxh3::xxh3_64;

/// Links while one of them is fed: the one in use and one that stands by.
const WANTED: usize = 2;

/// Links while none is fed: a cut leaves some of many replicas without a leader, and those that have one must be
/// found within the 2 s that a change may take.
const WANTED_WITHOUT_FEED: usize = 4;

/// Time for which a replica that was named is remembered.
const NAME_LIFETIME: Duration = Duration::from_secs(30);

/// A replica that was named.
#[derive(Debug)]
struct Known {
    zone: String,
    votes: bool,
    told: Duration,
}

/// The replicas known, and which of them to link to.
#[derive(Debug)]
pub struct Replicas {
    node: String,
    zone: String,
    seeds: Vec<String>,
    known: BTreeMap<String, Known>,
    avoided_until: BTreeMap<String, Duration>,
}

impl Replicas {
    /// For a gateway on machine `node` in `zone`; only the seeds are known yet.
    pub fn new(node: &str, zone: &str, seeds: Vec<String>) -> Self {
        Self {
            node: node.to_owned(),
            zone: zone.to_owned(),
            seeds,
            known: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
        }
    }

    /// Takes other seeds over from changed settings.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Takes in replicas that one of them named.
    pub fn note(&mut self, now: Duration, replicas: &[ReplicaAddress]) {
        for replica in replicas {
            let known = Known {
                zone: replica.zone.clone(),
                votes: replica.votes,
                told: now,
            };
            self.known.insert(replica.address.clone(), known);
        }
    }

    /// A replica is of no use for a while.
    pub fn avoid(&mut self, now: Duration, address: &str, pause: Duration) {
        self.avoided_until.insert(address.to_owned(), now + pause);
    }

    /// A replica is of use again.
    pub fn stop_avoiding(&mut self, address: &str) {
        self.avoided_until.remove(address);
    }

    /// Forgets what is too old.
    pub fn forget_expired(&mut self, now: Duration) {
        self.known
            .retain(|_, known| now < known.told + NAME_LIFETIME);
        self.avoided_until.retain(|_, until| now < *until);
    }

    /// Zone of a replica; empty when nobody told it.
    pub fn zone_of(&self, address: &str) -> &str {
        self.known.get(address).map_or("", |known| &known.zone)
    }

    /// Order of preference: the lowest is linked to first.
    pub fn rank(&self, address: &str) -> (bool, u64) {
        let is_remote = self.zone_of(address) != self.zone;
        let text = format!("{} {address}", self.node);
        (is_remote, xxh3_64(text.as_bytes()))
    }

    /// The replicas to link to, best first.
    pub fn wanted(&self, now: Duration, has_feed: bool) -> Vec<String> {
        let count = match has_feed {
            true => WANTED,
            false => WANTED_WITHOUT_FEED,
        };
        let mut usable = self.usable(now);
        usable.sort_by_cached_key(|address| self.rank(address));
        usable.truncate(count);
        usable
    }

    /// The replica that this gateway would choose among all that are named; `None` while only seeds are known, which
    /// every gateway knows.
    pub fn preferred(&self, now: Duration) -> Option<String> {
        if self.known.is_empty() {
            return None;
        }
        let usable = self.usable(now).into_iter();
        usable.min_by_key(|address| self.rank(address))
    }

    /// The replicas to ask for a first state, while no leader speaks: the seeds and all voters.
    pub fn state_candidates(&self, now: Duration) -> Vec<String> {
        let is_witness = |address: &String| {
            let votes = self.known.get(address).is_some_and(|known| known.votes);
            votes || self.seeds.contains(address)
        };
        let usable = self.usable(now).into_iter();
        usable.filter(is_witness).collect()
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
