//! Metrics of a directory replica.

use std::time::Duration;

use prometheus::{Histogram, IntCounterVec, IntGauge};

use super::{Metrics, MetricsError, REQUEST_SECONDS_BUCKETS};

/// What a directory replica counts.
#[derive(Clone, Debug)]
pub struct DirectoryMetrics {
    calls: IntCounterVec,
    bad_calls: IntCounterVec,
    permits: IntCounterVec,
    /// Requests that are quarantined.
    pub quarantined: IntGauge,
    /// Time from a call's arrival to its answer.
    pub call_seconds: Histogram,
    shards_moved: IntCounterVec,
    /// Consensus term.
    pub term: IntGauge,
    /// 1 while this replica leads and is sure of it, else 0.
    pub leads: IntGauge,
    /// Log index that is applied here.
    pub applied_index: IntGauge,
    /// Entries that are in the log and not applied.
    pub unapplied_entries: IntGauge,
    /// Gateways that follow this replica.
    pub followers: IntGauge,
    /// 1 while what this replica gives on to gateways is fresh, else 0.
    pub is_fed: IntGauge,
    /// Servers known that have not ended.
    pub instances: IntGauge,
    /// Zones that are evacuated.
    pub evacuated_zones: IntGauge,
    /// Members of the group, voters and learners.
    pub members: IntGauge,
    /// Voters of the group.
    pub voters: IntGauge,
    /// Voters that the losses to be borne need.
    pub wanted_voters: IntGauge,
}

impl DirectoryMetrics {
    /// Registers every metric of a directory replica.
    ///
    /// # Errors
    /// A name is taken.
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
            followers: metrics.gauge("directory_followers", "Gateways that follow")?,
            is_fed: metrics.gauge(
                "directory_is_fed",
                "1 while what this replica gives on to gateways is fresh",
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

    /// A call was answered.
    pub fn note_call(&self, outcome: &str, took: Duration) {
        self.calls.with_label_values(&[outcome]).inc();
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// A call could not be read.
    pub fn note_bad_call(&self, cause: &str) {
        self.bad_calls.with_label_values(&[cause]).inc();
    }

    /// A gateway's request for a permit was answered: `given`, `refused` or, by a replica that reaches no leader, `unknown`.
    pub fn note_permit(&self, answer: &str) {
        self.permits.with_label_values(&[answer]).inc();
    }

    /// Shards were assigned or freed.
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
