//! Token buckets for servers that state how many requests they accept per second.
//!
//! The leader hands out the permits one by one, so that all gateways together stay below the rate and
//! make full use of it, however many gateways there are and however requests are spread over them.
//!
//! Invariant: in any time `t` at most `STATED_RATE_FRACTION * rate * t` permits plus one burst are given
//! for a server. This also holds after a change of leader, since a new leader starts with empty buckets.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use serde::{Deserialize, Serialize};

/// Fraction of a stated rate that is given out as permits; the rest is left for gateways that don't know
/// the rate yet.
pub const STATED_RATE_FRACTION: f64 = 0.9;

/// Capacity of a bucket: a number of permits, plus those that accrue in a time window. Capacity that
/// goes unused during a few moments without requests is available to the requests that follow.
const BURST_PERMITS: f64 = 2.0;
const BURST_WINDOW: Duration = Duration::from_millis(500);

/// Lower bound of stated rates, in requests a second. A server that states a rate of 0 still gets an
/// occasional request, which shows whether it still states that.
pub const MIN_STATED_RATE: f64 = 0.1;

/// Longest time that a gateway is told to wait before it asks again.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Number of buckets from which idle ones are evicted, and the time without a request for a permit after
/// which a bucket is idle.
const EVICTION_THRESHOLD: usize = 16_384;
const BUCKET_RETENTION: Duration = Duration::from_secs(10);

/// Answer to a gateway's request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One request may be sent now.
    Given,
    /// No request may be sent now.
    Refused {
        /// Time after which a permit is likely to be available.
        after: Duration,
    },
}

/// Token bucket of one server.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    permits: f64,
    refilled_at: Duration,
    /// Requests refused since the last permit; as many gateways wait for the next permits.
    refused: u32,
}

/// Token buckets of all servers, kept by the leader.
#[derive(Debug, Default)]
pub struct Permits {
    buckets: HashMap<InstanceId, Bucket>,
}

impl Permits {
    /// Requests a permit for one request to a server. `stated_rate` is in requests a second, as the
    /// gateway knows it.
    pub fn take(&mut self, now: Duration, server: &InstanceId, stated_rate: f64) -> Permit {
        let rate = stated_rate.max(MIN_STATED_RATE) * STATED_RATE_FRACTION;
        if !self.buckets.contains_key(server) {
            self.evict_idle_buckets(now);
        }
        let bucket = self.buckets.entry(server.clone()).or_insert(Bucket {
            permits: 0.0,
            refilled_at: now,
            refused: 0,
        });
        let passed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        let most = BURST_PERMITS + rate * BURST_WINDOW.as_secs_f64();
        bucket.permits = (bucket.permits + passed * rate).min(most);
        bucket.refilled_at = now;
        if bucket.permits >= 1.0 {
            bucket.permits -= 1.0;
            bucket.refused = 0;
            return Permit::Given;
        }
        bucket.refused = bucket.refused.saturating_add(1);
        let seconds = (f64::from(bucket.refused) - bucket.permits) / rate;
        let after = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT);
        Permit::Refused {
            after: after.min(MAX_WAIT),
        }
    }

    /// Evicts idle buckets when there are many. A bucket that is created again starts empty, so no burst
    /// is given twice.
    fn evict_idle_buckets(&mut self, now: Duration) {
        if self.buckets.len() >= EVICTION_THRESHOLD {
            self.buckets
                .retain(|_, bucket| now < bucket.refilled_at + BUCKET_RETENTION);
        }
    }
}
