//! Servers that asked this gateway for no requests for a time, in an answer that turned one away.
//!
//! Invariant: what a server asked for is never shortened. It ends when the time is over, or with that life of the server.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;

/// Part of the time that a server asked for by which callers are told to come back later than its end, at random: all who
/// were refused meanwhile would else come in the same moment, and most be shed.
const CALLER_SPREAD: f64 = 0.5;

/// What one server asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Cooldown {
    end: Duration,
    /// The whole time, from the answer on that named this end.
    asked: Duration,
}

/// Until when servers take no requests of this gateway.
#[derive(Debug, Default)]
pub struct Cooldowns {
    servers: HashMap<InstanceId, Cooldown>,
}

impl Cooldowns {
    /// Takes in that a server asks for no requests for a time from now on; whether it did not do so already.
    pub fn note(&mut self, id: &InstanceId, now: Duration, retry_after: Duration) -> bool {
        let began = self.remaining(id, now).is_none();
        let known = self.servers.entry(id.clone()).or_default();
        if now + retry_after > known.end {
            *known = Cooldown {
                end: now + retry_after,
                asked: retry_after,
            };
        }
        began
    }

    /// Time for which a server takes no requests; `None` when it does.
    pub fn remaining(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        let end = self.servers.get(id)?.end;
        (now < end).then(|| end - now)
    }

    /// Time after which a caller may come back that a server takes nothing of now; `random` is between 0 and 1.
    pub fn client_retry_after(
        &self,
        id: &InstanceId,
        now: Duration,
        random: f64,
    ) -> Option<Duration> {
        let left = self.remaining(id, now)?;
        let asked = self.servers.get(id)?.asked;
        Some(left + asked.mul_f64(CALLER_SPREAD * random))
    }

    /// How many servers take no requests at present.
    pub fn count(&self, now: Duration) -> usize {
        self.servers.values().filter(|one| now < one.end).count()
    }

    /// Forgets times that are over, and servers that have ended.
    pub fn retain(&mut self, now: Duration, is_live: impl Fn(&InstanceId) -> bool) {
        self.servers.retain(|id, one| now < one.end && is_live(id));
    }
}
