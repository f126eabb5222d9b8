//! Metrics of a gateway.

use std::time::Duration;

use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge};

use super::{Metrics, MetricsError, REQUEST_SECONDS_BUCKETS};

/// Metrics that a gateway records.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    outcomes: IntCounterVec,
    request_seconds: HistogramVec,
    server_seconds: HistogramVec,
    retries: IntCounterVec,
    suspected: IntCounterVec,
    /// Requests in flight.
    pub requests_in_flight: IntGauge,
    /// Open connections of clients.
    pub client_connections: IntGauge,
    /// Open connections to servers.
    pub server_connections: IntGauge,
    /// Log index of the directory state in force.
    pub applied_index: IntGauge,
    /// Time in milliseconds since the last message of the directory's leader; -1 before the first one.
    pub leader_age_ms: IntGauge,
    /// Connections to directory replicas and relays.
    pub directory_links: IntGauge,
    /// Estimated time in milliseconds that bytes wait for this machine's network link.
    pub link_wait_ms: IntGauge,
    /// Responses of servers that belonged to another request.
    pub foreign_answers: IntCounter,
    /// Servers that currently state a request rate.
    pub servers_stating_rates: IntGauge,
    /// Requests sent to servers that had stated a rate.
    pub sent_at_stated_rates: IntCounter,
    /// Servers in a cooldown, a time for which they asked to receive no requests.
    pub servers_cooling_down: IntGauge,
    /// Requests sent to servers during their cooldown.
    pub sent_in_cooldowns: IntCounter,
    /// Servers known to be leaving that have not ended.
    pub servers_leaving: IntGauge,
    unusable_fields: IntCounterVec,
}

impl GatewayMetrics {
    /// Registers all metrics of a gateway.
    ///
    /// # Errors
    /// A name is already registered.
    pub fn register(metrics: &Metrics) -> Result<Self, MetricsError> {
        Ok(Self {
            outcomes: metrics.counters(
                "gateway_requests_total",
                "Requests by service, status and reason; reason is empty for a response of a server",
                &["service", "status", "reason"],
            )?,
            request_seconds: metrics.histograms(
                "gateway_request_seconds",
                "Time from the first byte of a request to its response",
                REQUEST_SECONDS_BUCKETS,
                &["service"],
            )?,
            server_seconds: metrics.histograms(
                "gateway_server_seconds",
                "Time that requests spent at a server",
                REQUEST_SECONDS_BUCKETS,
                &["service"],
            )?,
            retries: metrics.counters(
                "gateway_retries_total",
                "Retries of requests, by the verdict on the previous attempt",
                &["service", "verdict"],
            )?,
            suspected: metrics.counters(
                "gateway_servers_suspected_total",
                "Times that a server was temporarily excluded",
                &["reason"],
            )?,
            requests_in_flight: metrics.gauge("gateway_requests_under_way", "Requests in flight")?,
            client_connections: metrics
                .gauge("gateway_client_connections", "Open connections of clients")?,
            server_connections: metrics
                .gauge("gateway_server_connections", "Open connections to servers")?,
            applied_index: metrics
                .gauge("gateway_applied_index", "Log index of the directory state in force")?,
            leader_age_ms: metrics.gauge(
                "gateway_leader_age_milliseconds",
                "Time since the last message of the directory's leader; -1 before the first one",
            )?,
            link_wait_ms: metrics.gauge(
                "gateway_link_wait_milliseconds",
                "Estimated time that bytes wait for this machine's network link",
            )?,
            directory_links: metrics.gauge(
                "gateway_directory_links",
                "Connections to directory replicas and relays",
            )?,
            foreign_answers: metrics.counter(
                "gateway_foreign_answers_total",
                "Responses of servers that belonged to another request",
            )?,
            servers_stating_rates: metrics.gauge(
                "gateway_servers_stating_rates",
                "Servers that state how many requests per second they accept",
            )?,
            sent_at_stated_rates: metrics.counter(
                "gateway_sent_at_stated_rates_total",
                "Requests sent to servers that had stated a rate",
            )?,
            servers_cooling_down: metrics.gauge(
                "gateway_servers_cooling_down",
                "Servers in a cooldown, a time for which they asked to receive no requests",
            )?,
            sent_in_cooldowns: metrics.counter(
                "gateway_sent_in_cooldowns_total",
                "Requests sent to servers during their cooldown",
            )?,
            servers_leaving: metrics.gauge(
                "gateway_servers_leaving",
                "Servers known to be leaving that have not ended",
            )?,
            unusable_fields: metrics.counters(
                "gateway_unusable_fields_total",
                "Fields of server responses that could not be used, by name",
                &["field"],
            )?,
        })
    }

    /// Counts a response and records the time that the request took. `reason` is empty for a response of a
    /// server.
    pub fn note_answer(&self, service: &str, status: u16, reason: &str, took: Duration) {
        let status = status.to_string();
        self.outcomes
            .with_label_values(&[service, status.as_str(), reason])
            .inc();
        self.request_seconds
            .with_label_values(&[service])
            .observe(took.as_secs_f64());
    }

    /// Counts a request that was rejected with status 503 before admission.
    pub fn note_rejected(&self, service: &str, reason: &str) {
        self.outcomes
            .with_label_values(&[service, "503", reason])
            .inc();
    }

    /// Records the time that a request spent at a server.
    pub fn note_server(&self, service: &str, took: Duration) {
        self.server_seconds
            .with_label_values(&[service])
            .observe(took.as_secs_f64());
    }

    /// Counts a retry; `verdict` describes the previous attempt.
    pub fn note_retry(&self, service: &str, verdict: &str) {
        self.retries.with_label_values(&[service, verdict]).inc();
    }

    /// Counts a field of a server's response that could not be used.
    pub fn note_unusable_field(&self, field: &str) {
        self.unusable_fields.with_label_values(&[field]).inc();
    }

    /// Counts the temporary exclusion of a server.
    pub fn note_suspected(&self, reason: &str) {
        self.suspected.with_label_values(&[reason]).inc();
    }
}
