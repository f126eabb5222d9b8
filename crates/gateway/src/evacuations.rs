//! How long the owners of shards in an evacuated zone still get requests.
//!
//! Servers without shards get none from the moment at which this gateway learns of the evacuation. An owner
//! keeps its shards until other servers take them over, and no other server can run requests for them; so
//! requests go to it for a fraction of the time that the deployment allows for an evacuation (see
//! [`crate::change_time`]). Shards move within 0.3 of that time and about two heartbeats.
//!
//! Invariant: no request is sent into an evacuated zone after that time, counted from the earliest moment at which the
//! evacuation can have been acknowledged, nor at any time if that is not known.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::EvacuationChange;

use crate::change_time::ChangeTime;

/// The evacuated zones, and until when their owners get requests.
#[derive(Debug)]
pub struct Evacuations {
    bound: Duration,
    /// By zone, the time after which its owners get no requests.
    owners_until: BTreeMap<String, Duration>,
}

impl Evacuations {
    /// Starts without evacuated zones. `bound` is the time after the start of an evacuation after which the
    /// zone's servers must get no requests.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            owners_until: BTreeMap::new(),
        }
    }

    /// Sets the evacuated zones, of which the new ones were evacuated at `time`, and returns the changes.
    pub fn update(&mut self, time: ChangeTime, zones: &BTreeSet<String>) -> Vec<EvacuationChange> {
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
            let until = time.end_of_use(self.bound);
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
