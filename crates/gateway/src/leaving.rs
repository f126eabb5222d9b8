//! Servers that are about to stop, and until when they still get requests. A gateway learns of it from a
//! server's responses or from the directory.
//!
//! In a pooled service the other servers are preferred at once. The owner of a key keeps getting requests for
//! a fraction of the drain time: no other server may run requests for its keys until they have moved, and
//! requests sent within that time still complete before the server stops.
//!
//! Invariant: a server gets no requests once that fraction of the drain time (see [`crate::change_time`]) has passed
//! since this gateway first learnt that it is leaving, or since that can have been acknowledged. An instance that is
//! leaving never returns.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;

use crate::change_time::ChangeTime;

/// The servers that are leaving, and until when they are used.
#[derive(Debug)]
pub struct LeavingServers {
    drain: Duration,
    used_until: HashMap<InstanceId, Duration>,
}

impl LeavingServers {
    /// Starts without leaving servers. `drain` is the time after which a leaving server must get no requests.
    pub fn new(drain: Duration) -> Self {
        Self {
            drain,
            used_until: HashMap::new(),
        }
    }

    /// Records that a server has been leaving since `time`; returns whether that is new.
    pub fn note(&mut self, id: &InstanceId, time: ChangeTime) -> bool {
        if self.used_until.contains_key(id) {
            return false;
        }
        self.used_until
            .insert(id.clone(), time.end_of_use(self.drain));
        true
    }

    /// Whether a server is known to be leaving.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        self.used_until.contains_key(id)
    }

    /// Whether a server may get requests: it is not leaving, or its time is not over yet.
    pub fn is_usable(&self, id: &InstanceId, now: Duration) -> bool {
        let until = self.used_until.get(id);
        until.is_none_or(|until| now < *until)
    }

    /// Number of servers known to be leaving.
    pub fn len(&self) -> usize {
        self.used_until.len()
    }

    /// Whether no server is known to be leaving.
    pub fn is_empty(&self) -> bool {
        self.used_until.is_empty()
    }

    /// Drops servers that are not live.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.used_until.retain(|id, _| is_live(id));
    }
}
