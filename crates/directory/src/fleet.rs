//! The fleet of gateways as replicas know it together: each replica counts those that follow it and gathers
//! what they report, the leader adds up what the replicas tell, and tells the sum back.
//!
//! Invariant: a gateway that moves from one replica to another may be counted twice for a moment, and never
//! not at all, so that what all gateways share is never divided by too few of them for that reason.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_grants::{LoadSample, LoadSum};
use serde::{Deserialize, Serialize};

use crate::crashes::CrashReport;

/// Time between two words of a replica to the leader while its gateways report load. Adds half of itself to
/// the age of a report; a fleet of 18 replicas costs the leader 120 frames a second.
const LOAD_EVERY: Duration = Duration::from_millis(150);

/// The same without load.
const COUNT_EVERY: Duration = Duration::from_millis(500);

/// Time after which a replica that tells nothing counts for no gateways.
const COUNT_LIFETIME: Duration = Duration::from_secs(3);

/// Time for which a gateway that was named as a relay is remembered.
const RELAY_LIFETIME: Duration = Duration::from_secs(30);

/// Relays that one word names: a gateway follows two at a time, and learns others from the next words.
const RELAYS_TOLD: usize = 3;

/// What a replica that does not lead tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Internal address of the replica, `IP:PORT`.
    pub replica: String,
    /// Gateways that follow it.
    pub gateways: u32,
    /// Internal addresses of some of those that give the state on, `IP:PORT`.
    pub relays: Vec<String>,
    /// What they saw of load since the last word.
    pub load: LoadSample,
    /// Crashes that they told of since.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
}

/// What the leader answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Gateways that follow any replica.
    pub gateways: u32,
    /// Internal addresses of some that give the state on, others each time, `IP:PORT`.
    pub relays: Vec<String>,
}

/// What a replica gathers from its gateways until it tells the leader.
#[derive(Debug, Default)]
pub struct Gathered {
    load: LoadSum,
    told: Duration,
}

impl Gathered {
    /// A gateway reported.
    pub fn add(&mut self, load: &LoadSample) {
        self.load.add(load);
    }

    /// Whether the leader should hear now.
    pub fn is_due(&self, now: Duration) -> bool {
        let pause = match self.load.is_empty() {
            true => COUNT_EVERY,
            false => LOAD_EVERY,
        };
        now >= self.told + pause
    }

    /// Takes what was gathered; it begins anew.
    pub fn take(&mut self, now: Duration) -> LoadSample {
        self.told = now;
        self.load.take()
    }
}

/// All gateways, as the leader adds them up and other replicas are told.
#[derive(Debug, Default)]
pub struct Fleet {
    by_replica: BTreeMap<String, (Duration, u32)>,
    relays: BTreeMap<String, Duration>,
    /// What the leader last told, at a replica that does not lead.
    told_gateways: u32,
}

impl Fleet {
    /// At the leader: a replica told of its gateways.
    pub fn note_report(&mut self, now: Duration, report: &ReplicaReport) {
        let counted = (now, report.gateways);
        self.by_replica.insert(report.replica.clone(), counted);
        self.note_relays(now, &report.relays);
    }

    /// At another replica: the leader told of all gateways.
    pub fn note_summary(&mut self, now: Duration, summary: &FleetSummary) {
        self.told_gateways = summary.gateways;
        self.note_relays(now, &summary.relays);
    }

    /// Takes in gateways that give the state on.
    pub fn note_relays(&mut self, now: Duration, relays: &[String]) {
        for relay in relays.iter().filter(|relay| !relay.is_empty()) {
            self.relays.insert(relay.clone(), now);
        }
        self.relays.retain(|_, told| now < *told + RELAY_LIFETIME);
    }

    /// All gateways, when so many follow this replica itself.
    pub fn gateways(&self, now: Duration, leads: bool, own: u32) -> u32 {
        if !leads {
            return self.told_gateways.max(own);
        }
        let counts = self.by_replica.values();
        let fresh = counts.filter(|(told, _)| now < *told + COUNT_LIFETIME);
        own + fresh.map(|(_, gateways)| gateways).sum::<u32>()
    }

    /// Some of the gateways that give the state on; `round` numbers the words, so that each names others.
    pub fn some_relays(&self, round: u64) -> Vec<String> {
        let relays: Vec<&String> = self.relays.keys().collect();
        named_in_turn(&relays, round)
    }
}

/// Some of the relays, others each round.
pub(crate) fn named_in_turn(relays: &[&String], round: u64) -> Vec<String> {
    let start = round as usize * RELAYS_TOLD % relays.len().max(1);
    let from_start = relays.iter().cycle().skip(start);
    from_start
        .take(RELAYS_TOLD.min(relays.len()))
        .map(ToString::to_string)
        .collect()
}
