//! Cooldowns: servers that rejected a request and asked this gateway not to send any for a time.
//!
//! Invariant: a cooldown is never shortened. It ends with its time, or with the instance of the server that
//! asked for it.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;

/// Largest random delay added to the end of a cooldown in the `Retry-After` of clients, as a fraction of the
/// cooldown. Without it, all clients refused during the cooldown would retry at the same moment and most
/// would be shed.
const CLIENT_JITTER: f64 = 0.5;

/// The cooldown of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Cooldown {
    end: Duration,
    /// Length of the cooldown, from the response that set this end.
    length: Duration,
}

/// The cooldowns that servers asked this gateway for.
#[derive(Debug, Default)]
pub struct Cooldowns {
    servers: HashMap<InstanceId, Cooldown>,
}

impl Cooldowns {
    /// Records that a server asks for a cooldown of `retry_after` from now on, unless its present one ends
    /// later. Returns whether the server was not cooling down before.
    pub fn note(&mut self, id: &InstanceId, now: Duration, retry_after: Duration) -> bool {
        let is_new = self.remaining(id, now).is_none();
        let known = self.servers.entry(id.clone()).or_default();
        if now + retry_after > known.end {
            *known = Cooldown {
                end: now + retry_after,
                length: retry_after,
            };
        }
        is_new
    }

    /// Remaining time of a server's cooldown; `None` when it is not cooling down.
    pub fn remaining(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        let end = self.servers.get(id)?.end;
        (now < end).then(|| end - now)
    }

    /// Time after which a client that is refused because of a server's cooldown may retry; `None` when the
    /// server is not cooling down. `random` is between 0 and 1.
    pub fn client_retry_after(
        &self,
        id: &InstanceId,
        now: Duration,
        random: f64,
    ) -> Option<Duration> {
        let remaining = self.remaining(id, now)?;
        let length = self.servers.get(id)?.length;
        Some(remaining + length.mul_f64(CLIENT_JITTER * random))
    }

    /// Number of servers that are cooling down.
    pub fn count(&self, now: Duration) -> usize {
        self.servers.values().filter(|one| now < one.end).count()
    }

    /// Drops cooldowns that are over and servers that are not live.
    pub fn retain(&mut self, now: Duration, is_live: impl Fn(&InstanceId) -> bool) {
        self.servers.retain(|id, one| now < one.end && is_live(id));
    }
}
