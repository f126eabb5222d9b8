//! Which other gateways this one follows while it has no contact with a leader.
//!
//! Invariant: a relay is only a fallback. It is followed only after the leader has been silent for a while,
//! and dropped as soon as there is contact with a leader again. The state never goes back in either case,
//! because both sources identify it by log index.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Silence of the leader after which relays are followed.
const NEEDED_AFTER: Duration = Duration::from_millis(900);

/// Number of relays that are followed at a time.
pub const FOLLOWED_RELAYS: usize = 2;

/// Time after which a relay is dropped if no replica or relay has named it again.
const NAME_LIFETIME: Duration = Duration::from_secs(30);

/// Time for which a relay is not tried again after a failure.
const AVOIDED_FOR: Duration = Duration::from_millis(700);

/// The known relays, and which of them to follow.
#[derive(Debug)]
pub struct Relays {
    own: String,
    named: BTreeMap<String, Duration>,
    avoided_until: BTreeMap<String, Duration>,
}

impl Relays {
    /// Starts without known relays. `own` is this gateway's own address as a relay, empty if it is none.
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            named: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
        }
    }

    /// This gateway's own address as a relay; empty if it is none.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// Records relay addresses received from a replica or a relay, and drops expired ones.
    pub fn note(&mut self, now: Duration, addresses: &[String]) {
        for address in addresses.iter().filter(|address| **address != self.own) {
            self.named.insert(address.clone(), now);
        }
        self.named
            .retain(|_, named_at| now < *named_at + NAME_LIFETIME);
        self.avoided_until.retain(|_, until| now < *until);
    }

    /// Addresses of the other gateways that act as relays, as far as they are known.
    pub fn known(&self) -> impl Iterator<Item = &str> {
        self.named.keys().map(String::as_str)
    }

    /// Records that a relay could not be reached or has no current state itself.
    pub fn failed(&mut self, now: Duration, address: &str) {
        self.avoided_until
            .insert(address.to_owned(), now + AVOIDED_FOR);
    }

    /// Whether relays are needed. `leader_heard` is the time of the leader's last message, `None` if there
    /// was none.
    pub fn are_needed(&self, now: Duration, leader_heard: Option<Duration>) -> bool {
        now > leader_heard.unwrap_or_default() + NEEDED_AFTER
    }

    /// Relays to follow in addition to `followed`: the next ones after this gateway's own address in the
    /// order of addresses, so that gateways follow different relays.
    pub fn wanted(&self, now: Duration, followed: &[&String]) -> Vec<String> {
        let after = (Bound::Excluded(self.own.clone()), Bound::Unbounded);
        let before = (Bound::Unbounded, Bound::Excluded(self.own.clone()));
        let ring = self.named.range(after).chain(self.named.range(before));
        let usable = ring.map(|(address, _)| address).filter(|address| {
            let avoided = self.avoided_until.get(*address);
            avoided.is_none_or(|until| now >= *until) && !followed.contains(address)
        });
        let free = FOLLOWED_RELAYS.saturating_sub(followed.len());
        usable.take(free).cloned().collect()
    }
}
