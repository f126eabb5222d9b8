//! The control calls of the contract, and the calls that inject faults.

use std::time::Duration;

use clap::ValueEnum;
use grebepin_holder::headers;
use grebepin_schema::{
    CancelRequest, DrainRequest, Epoch, GrantRequest, GroupId, HealthAnswer, HeartbeatRequest,
    HistoryEvent, ReleaseRequest, RequestId, ServiceName, ShardId, ShardKey,
};
use serde::de::DeserializeOwned;

use super::node::Node;
use super::FalseReport;
use crate::http::{HttpRequest, HttpResponse};
use crate::milliseconds;

impl Node {
    pub(crate) fn answer_control(&self, http_request: &HttpRequest) -> HttpResponse {
        let path = http_request.path.strip_prefix("/grebepin/v1/");
        match (http_request.method.as_str(), path.unwrap_or_default()) {
            ("POST", "heartbeat") => with_json(http_request, |request| self.heartbeat(request)),
            ("POST", "grant") => with_json(http_request, |request| self.grant(request)),
            ("POST", "release") => with_json(http_request, |request: ReleaseRequest| {
                HttpResponse::json(&self.with_holder(|holder, now| holder.release(now, &request)))
            }),
            ("POST", "cancel") => {
                with_json(http_request, |request| self.cancel(http_request, request))
            }
            ("POST", "drain") => with_json(http_request, |request: DrainRequest| {
                self.drain(request.draining);
                HttpResponse::json(&request)
            }),
            ("GET", "holdings") => self.holdings(http_request),
            ("GET", "handover") => self.handover(http_request),
            ("GET", "outcome") => self.outcome(http_request),
            ("GET", "health") => self.probe(|| {
                HttpResponse::json(&HealthAnswer {
                    state: self.health(),
                })
            }),
            ("GET", "load") => self.probe(|| HttpResponse::json(&self.load())),
            _ => HttpResponse::text(404, "no such call"),
        }
    }

    /// Starts or ends draining, and records a change.
    pub(crate) fn drain(&self, draining: bool) {
        let name = self.arguments.name.clone();
        let event = match draining {
            true => HistoryEvent::Leaving(name),
            false => HistoryEvent::Staying(name),
        };
        let changed = self.with_holder(|holder, now| {
            let before = holder.is_draining();
            holder.drain(now, draining);
            before != draining
        });
        if changed {
            self.record(event);
        }
    }

    /// Serves `POST /stand-in/freeze?ms=N` and `POST /stand-in/lie?mode=none|idle|busy|failing`.
    pub(crate) fn answer_fault_call(&self, http_request: &HttpRequest) -> HttpResponse {
        self.inject_fault(http_request).without_delay()
    }

    fn inject_fault(&self, http_request: &HttpRequest) -> HttpResponse {
        match (http_request.method.as_str(), http_request.path.as_str()) {
            ("POST", "/stand-in/freeze") => match http_request.parse_parameter("ms") {
                Some(time) => {
                    self.faults.freeze(Duration::from_millis(time));
                    HttpResponse::text(200, "frozen once this answer has left")
                }
                None => HttpResponse::text(400, "ms is missing"),
            },
            ("POST", "/stand-in/lie") => {
                let mode = http_request.parameter("mode").unwrap_or_default();
                match FalseReport::from_str(&mode, true) {
                    Ok(report) => {
                        self.faults.set_false_report(report);
                        HttpResponse::text(200, "set")
                    }
                    Err(_) => HttpResponse::text(400, "mode is none, idle, busy or failing"),
                }
            }
            _ => HttpResponse::text(404, "no such switch"),
        }
    }

    fn heartbeat(&self, request: HeartbeatRequest) -> HttpResponse {
        if request.server != self.arguments.name {
            return HttpResponse::text(421, "another server listens here");
        }
        HttpResponse::json(&self.with_holder(|holder, now| holder.heartbeat(now, &request)))
    }

    fn grant(&self, request: GrantRequest) -> HttpResponse {
        let outcome = self.with_holder(|holder, now| holder.grant(now, &request));
        for fetch in outcome.fetch {
            self.fetches.put(fetch);
        }
        HttpResponse::json(&outcome.answer)
    }

    fn cancel(&self, http_request: &HttpRequest, request: CancelRequest) -> HttpResponse {
        let attempt = http_request.header(headers::ATTEMPT);
        let attempt = attempt.and_then(|text| text.parse().ok());
        HttpResponse::json(&self.with_holder(|holder, now| holder.cancel(now, &request, attempt)))
    }

    fn holdings(&self, http_request: &HttpRequest) -> HttpResponse {
        match http_request.parse_parameter("group") {
            Some(group) => HttpResponse::json(
                &self.with_holder(|holder, now| holder.holdings(now, GroupId(group))),
            ),
            None => HttpResponse::text(400, "group is missing"),
        }
    }

    fn handover(&self, http_request: &HttpRequest) -> HttpResponse {
        let epoch = http_request.parse_parameter("epoch").map(Epoch);
        match (shard_key(http_request), epoch) {
            (Some(key), Some(epoch)) => HttpResponse::json(
                &self.with_holder(|holder, now| holder.handover(now, &key, epoch)),
            ),
            _ => HttpResponse::text(400, "service, shard or epoch is missing"),
        }
    }

    fn outcome(&self, http_request: &HttpRequest) -> HttpResponse {
        let id = http_request.parse_parameter::<RequestId>("request_id");
        match (shard_key(http_request), id) {
            (Some(key), Some(id)) => {
                HttpResponse::json(&self.with_holder(|holder, now| holder.outcome(now, &key, &id)))
            }
            _ => HttpResponse::text(400, "service, shard or request_id is missing"),
        }
    }

    fn probe(&self, answer: impl FnOnce() -> HttpResponse) -> HttpResponse {
        std::thread::sleep(milliseconds(self.arguments.probe_ms));
        answer()
    }
}

fn shard_key(http_request: &HttpRequest) -> Option<ShardKey> {
    Some(ShardKey {
        service: http_request.parse_parameter::<ServiceName>("service")?,
        shard: ShardId(http_request.parse_parameter("shard")?),
    })
}

fn with_json<T: DeserializeOwned>(
    http_request: &HttpRequest,
    answer: impl FnOnce(T) -> HttpResponse,
) -> HttpResponse {
    match http_request.json() {
        Ok(request) => answer(request),
        Err(error) => HttpResponse::text(400, error),
    }
}
