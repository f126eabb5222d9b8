//! How long the owners of shards in an evacuated zone still get requests.
//!
//! Servers without shards get none from the moment at which this gateway learns of the evacuation. An owner
//! keeps its shards until other servers take them over, and no other server can run requests for them; so
//! requests go to it for a fraction of the time that the deployment allows for an evacuation.
//!
//! Invariant: no request is sent into an evacuated zone after that time, nor at any time if this gateway did
//! not observe the start of the evacuation and so can't tell how long ago it started.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::EvacuationChange;

/// Fraction of the allowed time in which owners still get requests. Shards move within 0.3 of it and about
/// two heartbeats; the rest covers the delay until this gateway learns of the change.
const OWNER_FRACTION: f64 = 0.7;

/// The evacuated zones, and until when their owners get requests.
#[derive(Debug)]
pub struct Evacuations {
    owner_time: Duration,
    /// By zone, the time after which its owners get no requests.
    owners_until: BTreeMap<String, Duration>,
}

impl Evacuations {
    /// Starts without evacuated zones. `bound` is the time after the start of an evacuation after which the
    /// zone's servers must get no requests.
    pub fn new(bound: Duration) -> Self {
        Self {
            owner_time: bound.mul_f64(OWNER_FRACTION),
            owners_until: BTreeMap::new(),
        }
    }

    /// Sets the evacuated zones and returns the changes. `observed_start` is true if this gateway followed
    /// the log, so that an evacuation that is new to it has just started.
    pub fn update(
        &mut self,
        now: Duration,
        zones: &BTreeSet<String>,
        observed_start: bool,
    ) -> Vec<EvacuationChange> {
        let ended = self.owners_until.keys();
        let ended: Vec<String> = ended
            .filter(|zone| !zones.contains(*zone))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for zone in ended {
            self.owners_until.remove(&zone);
            changes.push(EvacuationChange {
                zone,
                evacuated: false,
            });
        }
        for zone in zones {
            if self.owners_until.contains_key(zone) {
                continue;
            }
            let until = match observed_start {
                true => now + self.owner_time,
                false => now,
            };
            self.owners_until.insert(zone.clone(), until);
            changes.push(EvacuationChange {
                zone: zone.clone(),
                evacuated: true,
            });
        }
        changes
    }

    /// Whether an owner of shards in a zone may get requests for them.
    pub fn owner_may_serve(&self, zone: &str, now: Duration) -> bool {
        let until = self.owners_until.get(zone);
        until.is_none_or(|until| now < *until)
    }
}
