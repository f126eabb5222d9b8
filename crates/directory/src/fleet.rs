//! Aggregation of gateway counts and load reports across replicas. Each replica counts the gateways that
//! follow it and collects their reports; the leader sums up the counts of all replicas and returns the total
//! to them.
//!
//! Invariant: a gateway that moves from one replica to another may briefly be counted twice but is never left
//! out, so that what all gateways share is never divided by too small a number because of the move.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_grants::{LoadSample, LoadSum};
use serde::{Deserialize, Serialize};

use crate::confirmed_state::Confirmation;
use crate::crashes::CrashReport;

/// Interval of a replica's reports to the leader while its gateways report load. On average it adds half of
/// itself to the age of a load sample; a fleet of 18 replicas costs the leader 120 frames per second.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Interval of a replica's reports to the leader while there is no load to report.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a replica's gateway count is used after its last report.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// How long a relay is remembered after it was last reported.
const RELAY_LIFETIME: Duration = Duration::from_secs(30);

/// Relays named in one message. A gateway follows two at a time and learns of others from later messages.
const RELAYS_PER_MESSAGE: usize = 3;

/// Report of a replica to the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Internal address of the reporting replica, `IP:PORT`.
    pub replica: String,
    /// Number of gateways that follow it.
    pub gateways: u32,
    /// Internal addresses of some of these gateways that relay the state to others, `IP:PORT`.
    pub relays: Vec<String>,
    /// Load that its gateways measured since the last report.
    pub load: LoadSample,
    /// Crashes that its gateways reported since the last report.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// When the report was sent, in milliseconds of the replica's clock.
    #[serde(default)]
    pub sent_at_ms: u64,
}

/// The leader's answer to a [`ReplicaReport`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Number of gateways that follow any replica.
    pub gateways: u32,
    /// Internal addresses of some gateways that relay the state, `IP:PORT`; the selection rotates.
    pub relays: Vec<String>,
    /// How old the leader's state is; `None` from a leader that does not state it.
    #[serde(default)]
    pub confirmation: Option<Confirmation>,
}

/// Load that a replica collects from its gateways between two reports to the leader.
#[derive(Debug, Default)]
pub struct LoadBuffer {
    load: LoadSum,
    last_report: Duration,
}

impl LoadBuffer {
    /// Adds the load sample of a gateway.
    pub fn add(&mut self, load: &LoadSample) {
        self.load.add(load);
    }

    /// Whether the next report to the leader is due. `is_urgent` is true while the answer to it is awaited.
    pub fn is_due(&self, now: Duration, is_urgent: bool) -> bool {
        let pause = match self.load.is_empty() && !is_urgent {
            true => IDLE_REPORT_INTERVAL,
            false => LOAD_REPORT_INTERVAL,
        };
        now >= self.last_report + pause
    }

    /// Removes and returns the collected load, and restarts the report interval.
    pub fn take(&mut self, now: Duration) -> LoadSample {
        self.last_report = now;
        self.load.take()
    }
}

/// Gateway count and relays of the whole fleet, as summed up by the leader or as received from it.
#[derive(Debug, Default)]
pub struct Fleet {
    by_replica: BTreeMap<String, (Duration, u32)>,
    relays: BTreeMap<String, Duration>,
    /// Number of gateways that the leader last reported; used on replicas that do not lead.
    reported_gateways: u32,
}

impl Fleet {
    /// On the leader: records the report of a replica.
    pub fn record_report(&mut self, now: Duration, report: &ReplicaReport) {
        let counted = (now, report.gateways);
        self.by_replica.insert(report.replica.clone(), counted);
        self.record_relays(now, &report.relays);
    }

    /// On other replicas: records the totals received from the leader.
    pub fn record_summary(&mut self, now: Duration, summary: &FleetSummary) {
        self.reported_gateways = summary.gateways;
        self.record_relays(now, &summary.relays);
    }

    /// Records gateways that relay the state and drops those that have not been reported for some time.
    pub fn record_relays(&mut self, now: Duration, relays: &[String]) {
        for relay in relays.iter().filter(|relay| !relay.is_empty()) {
            self.relays.insert(relay.clone(), now);
        }
        self.relays
            .retain(|_, reported_at| now < *reported_at + RELAY_LIFETIME);
    }

    /// Number of gateways in the fleet; `own` is the number that follow this replica.
    pub fn gateways(&self, now: Duration, leads: bool, own: u32) -> u32 {
        if !leads {
            return self.reported_gateways.max(own);
        }
        let counts = self.by_replica.values();
        let fresh = counts.filter(|(reported_at, _)| now < *reported_at + REPORT_LIFETIME);
        own + fresh.map(|(_, gateways)| gateways).sum::<u32>()
    }

    /// Some of the gateways that relay the state; the selection rotates with `round`.
    pub fn select_relays(&self, round: u64) -> Vec<String> {
        let relays: Vec<&String> = self.relays.keys().collect();
        rotate_relays(&relays, round)
    }
}

/// Selects a few relays; the selection rotates with `round`.
pub(crate) fn rotate_relays(relays: &[&String], round: u64) -> Vec<String> {
    let start = round as usize * RELAYS_PER_MESSAGE % relays.len().max(1);
    let from_start = relays.iter().cycle().skip(start);
    from_start
        .take(RELAYS_PER_MESSAGE.min(relays.len()))
        .map(ToString::to_string)
        .collect()
}
