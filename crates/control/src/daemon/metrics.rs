//! The replica's metrics, as served by `GET /metrics`.

use grebepin_telemetry::{ControlMetrics, Metrics, MetricsError};

use crate::node::output::NodeMetrics;

/// Metrics registry of one replica.
pub(super) struct NodeGauges {
    registry: Metrics,
    pub(super) metrics: ControlMetrics,
}

impl NodeGauges {
    pub(super) fn new() -> Result<Self, MetricsError> {
        let registry = Metrics::new();
        let metrics = ControlMetrics::register(&registry)?;
        Ok(Self { registry, metrics })
    }

    /// Updates the gauges and counters from the node's values and renders all metrics as text.
    pub(super) fn render(&self, node: &NodeMetrics) -> Result<String, MetricsError> {
        let gauges = &self.metrics;
        gauges.term.set(node.term as i64);
        gauges.is_leader.set(i64::from(node.leader));
        gauges.commit_index.set(node.commit as i64);
        gauges.applied_index.set(node.applied as i64);
        gauges.bundle_version.set(node.bundle_version as i64);
        gauges.unowned_shards.set(node.unowned_shards as i64);
        gauges.moving_shards.set(node.moving_shards as i64);
        gauges.routers.set(node.routers as i64);
        raise_to(&gauges.elections_won, node.leaderships);
        raise_to(&gauges.proposals, node.proposals);
        self.registry.render()
    }
}

/// Raises a counter to a total that the node counts itself.
fn raise_to(counter: &grebepin_telemetry::metrics::Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
