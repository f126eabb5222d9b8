//! Metrics of a directory replica.

use std::time::Duration;

use prometheus::{Histogram, IntCounterVec, IntGauge};

use super::{Metrics, MetricsError, REQUEST_SECONDS_BUCKETS};

/// Metrics that a directory replica records.
#[derive(Clone, Debug)]
pub struct DirectoryMetrics {
    calls: IntCounterVec,
    bad_calls: IntCounterVec,
    permits: IntCounterVec,
    /// Number of quarantined requests.
    pub quarantined: IntGauge,
    /// Time from the arrival of a call to its response in seconds.
    pub call_seconds: Histogram,
    shards_moved: IntCounterVec,
    /// Consensus term.
    pub term: IntGauge,
    /// 1 while this replica leads and holds the leader lease, else 0.
    pub leads: IntGauge,
    /// Highest applied log index.
    pub applied_index: IntGauge,
    /// Log entries that are not applied yet.
    pub unapplied_entries: IntGauge,
    /// Memory that the log takes in bytes.
    pub log_bytes: IntGauge,
    /// Memory that the applied entries kept for gateways take in bytes.
    pub recent_entry_bytes: IntGauge,
    /// Gateways that follow this replica.
    pub followers: IntGauge,
    /// 1 while the applied state is fresh enough to be sent to gateways, else 0.
    pub is_fed: IntGauge,
    /// Time in milliseconds since which acknowledged changes may be missing in the applied state; -1 if unknown.
    pub state_age_ms: IntGauge,
    /// Known servers that have not ended.
    pub instances: IntGauge,
    /// Zones under evacuation.
    pub evacuated_zones: IntGauge,
    /// Members of the group, voters and learners.
    pub members: IntGauge,
    /// Voters of the group.
    pub voters: IntGauge,
    /// Voters that the configured fault tolerance requires.
    pub wanted_voters: IntGauge,
}

impl DirectoryMetrics {
    /// Registers all metrics of a directory replica.
    ///
    /// # Errors
    /// A name is already registered.
    pub fn register(metrics: &Metrics) -> Result<Self, MetricsError> {
        Ok(Self {
            calls: metrics.counters("directory_calls_total", "Calls by outcome", &["outcome"])?,
            bad_calls: metrics.counters(
                "directory_bad_calls_total",
                "Calls that could not be read, by cause",
                &["cause"],
            )?,
            permits: metrics.counters(
                "directory_permits_total",
                "Requests for a permit to send to a server that states a rate, by answer",
                &["answer"],
            )?,
            quarantined: metrics.gauge(
                "directory_quarantined_requests",
                "Requests that are kept from all servers since they crash them",
            )?,
            call_seconds: metrics.histogram(
                "directory_call_seconds",
                "Time from a call's arrival to its answer",
                REQUEST_SECONDS_BUCKETS,
            )?,
            shards_moved: metrics.counters(
                "directory_shards_moved_total",
                "Shards that were assigned or freed",
                &["service", "change"],
            )?,
            term: metrics.gauge("directory_term", "Consensus term")?,
            leads: metrics.gauge("directory_leads", "1 while this replica leads")?,
            applied_index: metrics.gauge("directory_applied_index", "Log index applied here")?,
            unapplied_entries: metrics.gauge(
                "directory_unapplied_entries",
                "Entries in the log that are not applied",
            )?,
            log_bytes: metrics.gauge(
                "directory_log_bytes",
                "Memory that the log takes, without the snapshot",
            )?,
            recent_entry_bytes: metrics.gauge(
                "directory_recent_entry_bytes",
                "Memory that the applied entries kept for gateways take",
            )?,
            followers: metrics.gauge("directory_followers", "Gateways that follow")?,
            is_fed: metrics.gauge(
                "directory_is_fed",
                "1 while what this replica gives on to gateways is fresh",
            )?,
            state_age_ms: metrics.gauge(
                "directory_state_age_milliseconds",
                "Time since which acknowledged changes may be missing here; -1 if unknown",
            )?,
            instances: metrics.gauge("directory_instances", "Servers that have not ended")?,
            evacuated_zones: metrics
                .gauge("directory_evacuated_zones", "Zones that are evacuated")?,
            members: metrics.gauge("directory_members", "Members of the group")?,
            voters: metrics.gauge("directory_voters", "Voters of the group")?,
            wanted_voters: metrics.gauge(
                "directory_wanted_voters",
                "Voters that the losses to be borne need",
            )?,
        })
    }

    /// Counts an answered call and records its duration.
    pub fn note_call(&self, outcome: &str, took: Duration) {
        self.calls.with_label_values(&[outcome]).inc();
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// Counts a call that could not be read.
    pub fn note_bad_call(&self, cause: &str) {
        self.bad_calls.with_label_values(&[cause]).inc();
    }

    /// Counts the answer to a gateway's permit request: `given`, `refused`, or `unknown` if this replica
    /// reaches no leader.
    pub fn note_permit(&self, answer: &str) {
        self.permits.with_label_values(&[answer]).inc();
    }

    /// Counts shards that were assigned to a server or freed.
    pub fn note_shards(&self, service: &str, assigned: bool, count: usize) {
        let change = match assigned {
            true => "assigned",
            false => "freed",
        };
        self.shards_moved
            .with_label_values(&[service, change])
            .inc_by(count as u64);
    }
}
