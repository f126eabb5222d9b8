//! Servers that asked this gateway for no requests for a time, in an answer that turned one away.
//!
//! Invariant: what a server asked for is never shortened. It ends when the time is over, or with that life of the server.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;

/// Until when servers take no requests of this gateway.
#[derive(Debug, Default)]
pub struct Cooldowns {
    ends: HashMap<InstanceId, Duration>,
}

impl Cooldowns {
    /// Takes in that a server asks for no requests for a time from now on; whether it did not do so already.
    pub fn note(&mut self, id: &InstanceId, now: Duration, retry_after: Duration) -> bool {
        let began = self.left(id, now).is_none();
        let end = self.ends.entry(id.clone()).or_default();
        *end = (*end).max(now + retry_after);
        began
    }

    /// Time for which a server takes no requests; `None` when it does.
    pub fn left(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        let end = self.ends.get(id)?;
        (now < *end).then(|| *end - now)
    }

    /// How many servers take no requests at present.
    pub fn count(&self, now: Duration) -> usize {
        self.ends.values().filter(|end| now < **end).count()
    }

    /// Forgets times that are over, and servers that have ended.
    pub fn retain(&mut self, now: Duration, is_live: impl Fn(&InstanceId) -> bool) {
        self.ends.retain(|id, end| now < *end && is_live(id));
    }
}
