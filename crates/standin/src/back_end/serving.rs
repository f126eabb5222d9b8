//! Serves the requests that routers forward.

use std::time::{Duration, Instant};

use grebepin_holder::{headers, Begun, Effect, Permit, Request};
use grebepin_schema::{EffectRecord, Epoch, HistoryEvent, Refusal, RequestId, ServerName};
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::node::Node;
use super::slots::SlotRefusal;
use super::ServiceDistribution;
use crate::http::{HttpRequest, HttpResponse};
use crate::{lock, milliseconds};

/// Upper bound on the service time, for any distribution and any `work_ms` of a request.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(60);

/// Body of an answer of the simulated back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Server that answered.
    pub server: ServerName,
    /// Id of the request.
    pub request_id: RequestId,
    /// Key of the request.
    pub key: String,
    /// Epoch at which the request ran.
    pub epoch: Epoch,
    /// Size of the request's body in bytes.
    pub body_bytes: usize,
    /// Padding up to the size that `--answer-bytes` sets.
    pub padding: String,
}

impl Node {
    pub(crate) fn serve(&self, http_request: &HttpRequest) -> HttpResponse {
        let arrived = Instant::now();
        let request = match Request::from_headers(|name| http_request.header(name)) {
            Ok(request) => request,
            Err(error) => return bad_request(http_request, &error),
        };
        let begun = self.with_holder(|holder, now| {
            let begun = holder.begin(now, &request)?;
            if matches!(begun, Begun::Run(_)) {
                self.record(HistoryEvent::WorkStarted(self.effect_record(&request)));
            }
            Ok(begun)
        });
        match begun {
            Err(refusal) => refuse(&request, refusal),
            Ok(Begun::RanEarlier) => self
                .answer_to(&request, http_request)
                .with_header(headers::RAN_EARLIER, true),
            Ok(Begun::Run(permit)) => match self.run(arrived, &request, http_request, permit) {
                Ok(()) => self.answer_to(&request, http_request),
                Err(refusal) => refuse(&request, refusal),
            },
        }
    }

    fn run(
        &self,
        arrived: Instant,
        request: &Request,
        http_request: &HttpRequest,
        permit: Permit,
    ) -> Result<(), Refusal> {
        let token = permit.token();
        lock(&self.running).insert(token, self.effect_record(request));
        let result = self.execute(arrived, request, http_request, permit);
        lock(&self.running).remove(&token);
        if result.is_err() {
            self.record(HistoryEvent::WorkEnded(self.effect_record(request)));
        }
        result
    }

    fn execute(
        &self,
        arrived: Instant,
        request: &Request,
        http_request: &HttpRequest,
        permit: Permit,
    ) -> Result<(), Refusal> {
        let deadline = arrived + request.deadline_left;
        let slot = match self.slots.acquire(deadline) {
            Ok(slot) => slot,
            Err(reason) => {
                self.with_holder(|holder, now| holder.finish(now, permit, Effect::NotMade));
                return Err(match reason {
                    SlotRefusal::Full => Refusal::Shed,
                    SlotRefusal::Deadline => Refusal::Deadline,
                });
            }
        };
        std::thread::sleep(self.service_time(http_request));
        self.faults.wait_while_frozen();
        let result = self.make_effect(request, permit);
        drop(slot);
        result
    }

    /// Checks ownership and cancellation again and makes the effect, which is a record in the history.
    fn make_effect(&self, request: &Request, permit: Permit) -> Result<(), Refusal> {
        let effect = HistoryEvent::Effect(self.effect_record(request));
        self.with_holder(|holder, now| {
            if let Err(refusal) = holder.before_effect(now, &permit) {
                holder.finish(now, permit, Effect::NotMade);
                return Err(refusal);
            }
            match self.history.record(Instant::now(), effect) {
                Ok(()) => {
                    holder.finish(now, permit, Effect::Made);
                    Ok(())
                }
                Err(_) => {
                    holder.finish(now, permit, Effect::NotMade);
                    Err(Refusal::Shed)
                }
            }
        })
    }

    /// Draws a service time around the request's `work_ms` or the mean of the flags, times the cold
    /// factor.
    fn service_time(&self, http_request: &HttpRequest) -> Duration {
        let requested = http_request.parse_parameter("work_ms");
        let mean = requested.unwrap_or(self.arguments.service_ms) * self.cold_factor();
        let sample: f64 = lock(&self.random).random();
        let time = match self.arguments.service_distribution {
            ServiceDistribution::Fixed => mean,
            ServiceDistribution::Uniform => mean * (0.5 + sample),
            ServiceDistribution::Exponential => mean * -(1.0 - sample).ln(),
        };
        milliseconds(time).min(MAX_SERVICE_TIME)
    }

    fn effect_record(&self, request: &Request) -> EffectRecord {
        EffectRecord {
            server: self.arguments.name.clone(),
            service: request.service.clone(),
            shard: request.shard,
            epoch: request.epoch,
            key: request.key.clone(),
            request_id: request.request_id.clone(),
            repeatable: request.repeatable,
        }
    }

    fn answer_to(&self, request: &Request, http_request: &HttpRequest) -> HttpResponse {
        let mut body = AnswerBody {
            server: self.arguments.name.clone(),
            request_id: request.request_id.clone(),
            key: request.key.clone(),
            epoch: request.epoch,
            body_bytes: http_request.body.len(),
            padding: String::new(),
        };
        let size = serde_json::to_vec(&body).map_or(0, |bytes| bytes.len());
        body.padding = "-".repeat(self.arguments.answer_bytes.saturating_sub(size));
        HttpResponse::json(&body).with_header(headers::REQUEST_ID, request.request_id.as_str())
    }
}

fn refuse(request: &Request, refusal: Refusal) -> HttpResponse {
    HttpResponse::text(503, refusal)
        .with_header(headers::REQUEST_ID, request.request_id.as_str())
        .with_header(headers::REFUSAL, refusal)
}

fn bad_request(http_request: &HttpRequest, error: &headers::HeaderError) -> HttpResponse {
    let answer = HttpResponse::text(400, error).with_header(headers::REFUSAL, Refusal::BadRequest);
    match http_request.header(headers::REQUEST_ID) {
        Some(id) => answer.with_header(headers::REQUEST_ID, id),
        None => answer,
    }
}
