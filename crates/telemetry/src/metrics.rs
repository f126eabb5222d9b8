//! Metrics of a daemon and their Prometheus text format for `GET /metrics`.
//!
//! Invariant: every name starts with `grebepin_`, ends in its unit, and is registered once.

mod control;
mod directory;
mod gateway;
mod router;

use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

pub use control::ControlMetrics;
pub use directory::DirectoryMetrics;
pub use gateway::GatewayMetrics;
pub use prometheus::{Histogram, IntCounter as Counter, IntGauge as Gauge};
pub use router::{RouterMetrics, ServiceMetrics};

/// Prefix of all metric names.
const NAMESPACE: &str = "grebepin";

/// Content type of the text that [`Metrics::render`] returns.
pub const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Upper bounds in seconds of the histogram buckets for request durations, from 0.5 ms to 10 s.
pub const REQUEST_SECONDS_BUCKETS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.012, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0,
    5.0, 10.0,
];

/// Upper bounds in seconds of the histogram buckets for disk syncs, from 0.1 ms to 1 s.
pub const SYNC_SECONDS_BUCKETS: &[f64] = &[
    0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0,
];

/// Error when a metric is registered or the metrics are rendered.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The name is already registered or invalid, or the labels are invalid.
    #[error("metric {name}: {source}")]
    Register {
        /// Name of the metric.
        name: String,
        /// Error of the Prometheus library.
        source: prometheus::Error,
    },
    /// The registry could not be encoded as text.
    #[error("metrics do not render: {0}")]
    Render(prometheus::Error),
}

/// The metrics registry of one process; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a counter named `grebepin_NAME`.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
        self.register(name, IntCounter::with_opts(options(name, help)))
    }

    /// Registers counters named `grebepin_NAME`, one for each combination of label values.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, MetricsError> {
        self.register(name, IntCounterVec::new(options(name, help), labels))
    }

    /// Registers a gauge named `grebepin_NAME`.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
        self.register(name, IntGauge::with_opts(options(name, help)))
    }

    /// Registers gauges named `grebepin_NAME`, one for each combination of label values.
    pub fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, MetricsError> {
        self.register(name, IntGaugeVec::new(options(name, help), labels))
    }

    /// Registers a histogram named `grebepin_NAME`; `buckets` holds the upper bounds of its buckets.
    pub fn histogram(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
    ) -> Result<Histogram, MetricsError> {
        let options = histogram_options(name, help, buckets);
        self.register(name, Histogram::with_opts(options))
    }

    /// Registers histograms named `grebepin_NAME`, one for each combination of label values.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
        labels: &[&str],
    ) -> Result<HistogramVec, MetricsError> {
        let options = histogram_options(name, help, buckets);
        self.register(name, HistogramVec::new(options, labels))
    }

    /// All metrics in the Prometheus text format; the content type is [`METRICS_CONTENT_TYPE`].
    pub fn render(&self) -> Result<String, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(MetricsError::Render)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    fn register<T: Collector + Clone + 'static>(
        &self,
        name: &str,
        created: Result<T, prometheus::Error>,
    ) -> Result<T, MetricsError> {
        let failed = |source| MetricsError::Register {
            name: name.to_owned(),
            source,
        };
        let metric = created.map_err(failed)?;
        self.registry
            .register(Box::new(metric.clone()))
            .map_err(failed)?;
        Ok(metric)
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}

fn histogram_options(name: &str, help: &str, buckets: &[f64]) -> HistogramOpts {
    HistogramOpts::new(name, help)
        .namespace(NAMESPACE)
        .buckets(buckets.to_vec())
}
