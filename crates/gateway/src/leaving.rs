//! Servers that are about to end, and until when they may still be used. A gateway learns of it from a server's answers, or
//! from the directory.
//!
//! A pooled service's other servers are preferred at once. The owner of a key goes on for a part of the drain time: nobody else may
//! serve its keys until they have moved, and what it runs then still ends before it does.
//!
//! Invariant: a server gets nothing after that part of the drain time since this gateway first learnt that it leaves. A life that
//! leaves never comes back.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;

/// Part of the drain time in which a leaving server is used; the rest is for requests that are held or under way.
const USED_PART: f64 = 0.7;

/// The servers that leave, as this gateway learnt it.
#[derive(Debug)]
pub struct LeavingServers {
    used_for: Duration,
    used_until: HashMap<InstanceId, Duration>,
}

impl LeavingServers {
    /// No server leaves. `drain` is the time after which one that does must get nothing.
    pub fn new(drain: Duration) -> Self {
        Self {
            used_for: drain.mul_f64(USED_PART),
            used_until: HashMap::new(),
        }
    }

    /// Takes in that a server leaves; whether that was not known.
    pub fn note(&mut self, id: &InstanceId, now: Duration) -> bool {
        if self.used_until.contains_key(id) {
            return false;
        }
        self.used_until.insert(id.clone(), now + self.used_for);
        true
    }

    /// Whether a server is known to leave.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        self.used_until.contains_key(id)
    }

    /// Whether a server may get requests, as far as its leaving bounds that.
    pub fn is_usable(&self, id: &InstanceId, now: Duration) -> bool {
        let until = self.used_until.get(id);
        until.is_none_or(|until| now < *until)
    }

    /// How many servers are known to leave.
    pub fn len(&self) -> usize {
        self.used_until.len()
    }

    /// Whether no server is known to leave.
    pub fn is_empty(&self) -> bool {
        self.used_until.is_empty()
    }

    /// Forgets servers that have ended.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.used_until.retain(|id, _| is_live(id));
    }
}
