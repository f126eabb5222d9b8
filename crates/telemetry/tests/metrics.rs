//! Metrics are registered once and rendered in the Prometheus text format.

use grebepin_telemetry::{ControlMetrics, Metrics, MetricsError, RouterMetrics};

#[test]
fn metrics_of_control_and_router_render_with_their_values() {
    let metrics = Metrics::new();
    let control = ControlMetrics::register(&metrics).expect("registers");
    let router = RouterMetrics::register(&metrics).expect("registers");
    control.term.set(7);
    let service = router.service("saldo-limite");
    service.finished("answered", 0.003);
    service.rejected("queue-full");
    service.in_flight.set(2);
    let text = metrics.render().expect("renders");
    let expected = [
        "grebepin_control_term 7",
        "grebepin_router_requests_total{outcome=\"answered\",service=\"saldo-limite\"} 1",
        "grebepin_router_rejects_total{kind=\"queue-full\",service=\"saldo-limite\"} 1",
        "grebepin_router_in_flight{service=\"saldo-limite\"} 2",
        "grebepin_router_request_seconds_bucket{service=\"saldo-limite\",le=\"0.004\"} 1",
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
}

#[test]
fn a_name_can_be_registered_only_once() {
    let metrics = Metrics::new();
    metrics
        .counter("requests_total", "Requests")
        .expect("registers");
    let error = metrics.counter("requests_total", "Requests").unwrap_err();
    assert!(matches!(error, MetricsError::Register { name, .. } if name == "requests_total"));
}
