//! Permits to send a request to a server that states how many it takes: the leader gives them out one by one, so that
//! all gateways together keep to the rate and use it, however many they are and wherever the requests come.
//!
//! Invariant: in any time `t` no more than `STATED_RATE_FRACTION * rate * t` permits and one burst are given for a server, also right
//! after a leader began, which knows nothing of those given before.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use serde::{Deserialize, Serialize};

/// Part of a stated rate that is given out; the rest is for gateways that were not told of it yet.
pub const STATED_RATE_FRACTION: f64 = 0.9;

/// Permits that may be given at once after a quiet while, and time whose permits may be given besides: places that a few
/// moments without a request would lose are used by the next.
const BURST_PERMITS: f64 = 2.0;
const BURST_TIME: Duration = Duration::from_millis(500);

/// Least rate that is reckoned with, in requests a second: a server that states none at all is asked now and then
/// whether it still does.
pub const MIN_STATED_RATE: f64 = 0.1;

/// Longest time that a gateway is told to wait before it asks again.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Servers of which permits are remembered at most, and the time after which one that nobody asks for is forgotten.
const MOST_SERVERS: usize = 16_384;
const REMEMBERED_FOR: Duration = Duration::from_secs(10);

/// The answer to a gateway that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One request may be sent now.
    Given,
    /// None may be; one is likely to be given after a time.
    Refused {
        /// The time.
        after: Duration,
    },
}

/// Permits for one server.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    permits: f64,
    filled: Duration,
    /// Refusals since the last permit: as many wait for the next ones.
    refused: u32,
}

/// Permits for all servers, at the leader.
#[derive(Debug, Default)]
pub struct Permits {
    buckets: HashMap<InstanceId, Bucket>,
}

impl Permits {
    /// A gateway that was told of a rate, in requests a second, asks to send one request.
    pub fn take(&mut self, now: Duration, server: &InstanceId, stated_rate: f64) -> Permit {
        let rate = stated_rate.max(MIN_STATED_RATE) * STATED_RATE_FRACTION;
        if !self.buckets.contains_key(server) {
            self.make_room(now);
        }
        let bucket = self.buckets.entry(server.clone()).or_insert(Bucket {
            permits: 0.0,
            filled: now,
            refused: 0,
        });
        let passed = now.saturating_sub(bucket.filled).as_secs_f64();
        let most = BURST_PERMITS + rate * BURST_TIME.as_secs_f64();
        bucket.permits = (bucket.permits + passed * rate).min(most);
        bucket.filled = now;
        if bucket.permits >= 1.0 {
            bucket.permits -= 1.0;
            bucket.refused = 0;
            return Permit::Given;
        }
        bucket.refused = bucket.refused.saturating_add(1);
        let seconds = (f64::from(bucket.refused) - bucket.permits) / rate;
        let after = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_WAIT);
        Permit::Refused {
            after: after.min(LONGEST_WAIT),
        }
    }

    /// Forgets servers that nobody asked for lately, where there are many: their buckets would begin empty again.
    fn make_room(&mut self, now: Duration) {
        if self.buckets.len() >= MOST_SERVERS {
            self.buckets
                .retain(|_, bucket| now < bucket.filled + REMEMBERED_FOR);
        }
    }
}
