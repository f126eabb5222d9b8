//! Metrics of a router.

use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use super::{Metrics, MetricsError, REQUEST_SECONDS_BUCKETS};

/// Metrics that a router records.
#[derive(Clone, Debug)]
pub struct RouterMetrics {
    requests: IntCounterVec,
    rejects: IntCounterVec,
    retries: IntCounterVec,
    in_flight: IntGaugeVec,
    waiting: IntGaugeVec,
    request_seconds: HistogramVec,
    /// Log index of the routing table in force; 0 before the first.
    pub table_index: IntGauge,
    /// Version of the bundle in force; 0 before the first.
    pub bundle_version: IntGauge,
    /// 1 while a control replica confirms the routing table, else 0.
    pub table_is_current: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Connections of callers refused because the limit was reached.
    pub refused_connections: IntCounter,
    /// Connections to back ends closed because of a late response or a response to another request.
    pub mismatched_answers: IntCounter,
}

impl RouterMetrics {
    /// Registers all metrics of a router.
    ///
    /// # Errors
    /// A name is already registered.
    pub fn register(metrics: &Metrics) -> Result<Self, MetricsError> {
        Ok(Self {
            requests: metrics.counters(
                "router_requests_total",
                "Requests of callers by outcome",
                &["service", "outcome"],
            )?,
            rejects: metrics.counters(
                "router_rejects_total",
                "Requests that the router answered by itself",
                &["service", "kind"],
            )?,
            retries: metrics.counters(
                "router_retries_total",
                "Attempts sent again",
                &["service"],
            )?,
            in_flight: metrics.gauges("router_in_flight", "Requests at back ends", &["service"])?,
            waiting: metrics.gauges("router_waiting", "Requests in queues", &["service"])?,
            request_seconds: metrics.histograms(
                "router_request_seconds",
                "Time from a request's arrival to its answer",
                REQUEST_SECONDS_BUCKETS,
                &["service"],
            )?,
            table_index: metrics.gauge("router_table_index", "Log index of the table in force")?,
            bundle_version: metrics
                .gauge("router_bundle_version", "Version of the bundle in force")?,
            table_is_current: metrics.gauge(
                "router_table_is_current",
                "1 while control confirms the table",
            )?,
            caller_connections: metrics
                .gauge("router_caller_connections", "Connections of callers")?,
            refused_connections: metrics
                .counter("router_refused_connections_total", "Connections refused")?,
            mismatched_answers: metrics.counter(
                "router_mismatched_answers_total",
                "Connections closed for a late or crossed answer",
            )?,
        })
    }

    /// The metrics of one service. Callers keep the result, because each call looks up the label values.
    pub fn service(&self, service: &str) -> ServiceMetrics {
        ServiceMetrics {
            service: service.to_owned(),
            requests: self.requests.clone(),
            rejects: self.rejects.clone(),
            retries: self.retries.with_label_values(&[service]),
            in_flight: self.in_flight.with_label_values(&[service]),
            waiting: self.waiting.with_label_values(&[service]),
            request_seconds: self.request_seconds.with_label_values(&[service]),
        }
    }
}

/// Metrics that a router records for one service.
#[derive(Clone, Debug)]
pub struct ServiceMetrics {
    service: String,
    requests: IntCounterVec,
    rejects: IntCounterVec,
    /// Retried attempts.
    pub retries: IntCounter,
    /// Requests currently in flight to back ends.
    pub in_flight: IntGauge,
    /// Requests currently in queues.
    pub waiting: IntGauge,
    /// Time from the arrival of a request to its response in seconds.
    pub request_seconds: Histogram,
}

impl ServiceMetrics {
    /// Counts a finished request by its outcome (`answered`, `not-run` or `unknown`) and records its duration.
    pub fn finished(&self, outcome: &str, seconds: f64) {
        self.requests
            .with_label_values(&[self.service.as_str(), outcome])
            .inc();
        self.request_seconds.observe(seconds);
    }

    /// Counts a request that the router rejected itself, by the kind of the rejection.
    pub fn rejected(&self, kind: &str) {
        self.rejects
            .with_label_values(&[self.service.as_str(), kind])
            .inc();
    }
}
