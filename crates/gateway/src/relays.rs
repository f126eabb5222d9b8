//! Which other gateways this one follows while no leader speaks to it.
//!
//! Invariant: a relay is a second choice. It is asked only after the leader has been silent for a while,
//! and left as soon as a leader speaks again; the state in force never goes back in either case, since
//! both tell it by log index.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Silence of the leader after which relays are asked.
const ASKED_AFTER: Duration = Duration::from_millis(900);

/// Relays that are followed at a time.
const FOLLOWED: usize = 2;

/// Time for which a relay that was named is remembered.
const NAME_LIFETIME: Duration = Duration::from_secs(30);

/// Time for which a relay that was of no use is left alone.
const AVOIDED_FOR: Duration = Duration::from_millis(700);

/// The gateways that were named as relays.
#[derive(Debug)]
pub struct Relays {
    own: String,
    named: BTreeMap<String, Duration>,
    avoided_until: BTreeMap<String, Duration>,
}

impl Relays {
    /// None known yet; `own` is this gateway's own address as a relay, empty for none.
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            named: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
        }
    }

    /// This gateway's own address as a relay; empty for none.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// Takes in addresses that a replica or a relay named.
    pub fn note(&mut self, now: Duration, addresses: &[String]) {
        for address in addresses.iter().filter(|address| **address != self.own) {
            self.named.insert(address.clone(), now);
        }
        self.named.retain(|_, told| now < *told + NAME_LIFETIME);
        self.avoided_until.retain(|_, until| now < *until);
    }

    /// A relay could not be reached, or has no fresh state itself.
    pub fn failed(&mut self, now: Duration, address: &str) {
        self.avoided_until
            .insert(address.to_owned(), now + AVOIDED_FOR);
    }

    /// Whether relays are needed, when the leader last spoke at `leader_heard`.
    pub fn are_needed(&self, now: Duration, leader_heard: Option<Duration>) -> bool {
        now > leader_heard.unwrap_or_default() + ASKED_AFTER
    }

    /// Relays to follow besides those followed already: the next ones after this gateway's own address, so
    /// that not all gateways ask the same.
    pub fn wanted(&self, now: Duration, followed: &[&String]) -> Vec<String> {
        let after = (Bound::Excluded(self.own.clone()), Bound::Unbounded);
        let before = (Bound::Unbounded, Bound::Excluded(self.own.clone()));
        let ring = self.named.range(after).chain(self.named.range(before));
        let usable = ring.map(|(address, _)| address).filter(|address| {
            let avoided = self.avoided_until.get(*address);
            avoided.is_none_or(|until| now >= *until) && !followed.contains(address)
        });
        let free = FOLLOWED.saturating_sub(followed.len());
        usable.take(free).cloned().collect()
    }
}
