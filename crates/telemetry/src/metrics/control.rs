//! Metrics of a control replica.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use super::{Metrics, MetricsError, SYNC_SECONDS_BUCKETS};

/// Metrics that a control replica records.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    /// Current term.
    pub term: IntGauge,
    /// 1 while this replica is the leader, else 0.
    pub is_leader: IntGauge,
    /// Highest committed log index.
    pub commit_index: IntGauge,
    /// Highest applied log index.
    pub applied_index: IntGauge,
    /// Version of the bundle in force; 0 before the first.
    pub bundle_version: IntGauge,
    /// Shards without an owner.
    pub unowned_shards: IntGauge,
    /// Shards being moved to another server.
    pub moving_shards: IntGauge,
    /// Elections won by this replica.
    pub elections_won: IntCounter,
    /// Entries proposed by this replica.
    pub proposals: IntCounter,
    /// Requests to back ends, by `kind` and `result` (`answered` or `failed`).
    pub back_end_requests: IntCounterVec,
    /// Duration of each sync of the log in seconds.
    pub sync_seconds: Histogram,
    /// Routers that follow this replica.
    pub routers: IntGauge,
    /// Bytes sent to replicas and routers.
    pub sent_bytes: IntCounter,
}

impl ControlMetrics {
    /// Registers all metrics of a control replica.
    ///
    /// # Errors
    /// A name is already registered.
    pub fn register(metrics: &Metrics) -> Result<Self, MetricsError> {
        Ok(Self {
            term: metrics.gauge("control_term", "Current term")?,
            is_leader: metrics.gauge("control_is_leader", "1 while this replica leads")?,
            commit_index: metrics.gauge("control_commit_index", "Highest committed log index")?,
            applied_index: metrics.gauge("control_applied_index", "Highest applied log index")?,
            bundle_version: metrics
                .gauge("control_bundle_version", "Version of the bundle in force")?,
            unowned_shards: metrics.gauge("control_unowned_shards", "Shards without an owner")?,
            moving_shards: metrics.gauge("control_moving_shards", "Shards being handed over")?,
            elections_won: metrics.counter("control_elections_won_total", "Elections won")?,
            proposals: metrics.counter("control_proposals_total", "Entries proposed")?,
            back_end_requests: metrics.counters(
                "control_back_end_requests_total",
                "Requests to back ends",
                &["kind", "result"],
            )?,
            sync_seconds: metrics.histogram(
                "control_sync_seconds",
                "Time of each sync of the log",
                SYNC_SECONDS_BUCKETS,
            )?,
            routers: metrics.gauge("control_routers", "Routers that follow this replica")?,
            sent_bytes: metrics.counter(
                "control_sent_bytes_total",
                "Bytes sent to replicas and routers",
            )?,
        })
    }
}
