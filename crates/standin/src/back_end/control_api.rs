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
use crate::http::{Answer, Question};
use crate::milliseconds;

impl Node {
    pub(crate) fn answer_control(&self, question: &Question) -> Answer {
        let path = question.path.strip_prefix("/grebepin/v1/");
        match (question.method.as_str(), path.unwrap_or_default()) {
            ("POST", "heartbeat") => with_json(question, |request| self.heartbeat(request)),
            ("POST", "grant") => with_json(question, |request| self.grant(request)),
            ("POST", "release") => with_json(question, |request: ReleaseRequest| {
                Answer::json(&self.with_holder(|holder, now| holder.release(now, &request)))
            }),
            ("POST", "cancel") => with_json(question, |request| self.cancel(question, request)),
            ("POST", "drain") => with_json(question, |request: DrainRequest| {
                self.drain(request.draining);
                Answer::json(&request)
            }),
            ("GET", "holdings") => self.holdings(question),
            ("GET", "handover") => self.handover(question),
            ("GET", "outcome") => self.outcome(question),
            ("GET", "health") => self.probe(|| {
                Answer::json(&HealthAnswer {
                    state: self.health(),
                })
            }),
            ("GET", "load") => self.probe(|| Answer::json(&self.load())),
            _ => Answer::text(404, "no such call"),
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
    pub(crate) fn answer_fault_call(&self, question: &Question) -> Answer {
        self.inject_fault(question).at_once()
    }

    fn inject_fault(&self, question: &Question) -> Answer {
        match (question.method.as_str(), question.path.as_str()) {
            ("POST", "/stand-in/freeze") => match question.parsed("ms") {
                Some(time) => {
                    self.faults.freeze(Duration::from_millis(time));
                    Answer::text(200, "frozen once this answer has left")
                }
                None => Answer::text(400, "ms is missing"),
            },
            ("POST", "/stand-in/lie") => {
                let mode = question.parameter("mode").unwrap_or_default();
                match FalseReport::from_str(&mode, true) {
                    Ok(report) => {
                        self.faults.set_false_report(report);
                        Answer::text(200, "set")
                    }
                    Err(_) => Answer::text(400, "mode is none, idle, busy or failing"),
                }
            }
            _ => Answer::text(404, "no such switch"),
        }
    }

    fn heartbeat(&self, request: HeartbeatRequest) -> Answer {
        if request.server != self.arguments.name {
            return Answer::text(421, "another server listens here");
        }
        Answer::json(&self.with_holder(|holder, now| holder.heartbeat(now, &request)))
    }

    fn grant(&self, request: GrantRequest) -> Answer {
        let outcome = self.with_holder(|holder, now| holder.grant(now, &request));
        for fetch in outcome.fetch {
            self.fetches.put(fetch);
        }
        Answer::json(&outcome.answer)
    }

    fn cancel(&self, question: &Question, request: CancelRequest) -> Answer {
        let attempt = question.header(headers::ATTEMPT);
        let attempt = attempt.and_then(|text| text.parse().ok());
        Answer::json(&self.with_holder(|holder, now| holder.cancel(now, &request, attempt)))
    }

    fn holdings(&self, question: &Question) -> Answer {
        match question.parsed("group") {
            Some(group) => {
                Answer::json(&self.with_holder(|holder, now| holder.holdings(now, GroupId(group))))
            }
            None => Answer::text(400, "group is missing"),
        }
    }

    fn handover(&self, question: &Question) -> Answer {
        let epoch = question.parsed("epoch").map(Epoch);
        match (shard_key(question), epoch) {
            (Some(key), Some(epoch)) => {
                Answer::json(&self.with_holder(|holder, now| holder.handover(now, &key, epoch)))
            }
            _ => Answer::text(400, "service, shard or epoch is missing"),
        }
    }

    fn outcome(&self, question: &Question) -> Answer {
        let id = question.parsed::<RequestId>("request_id");
        match (shard_key(question), id) {
            (Some(key), Some(id)) => {
                Answer::json(&self.with_holder(|holder, now| holder.outcome(now, &key, &id)))
            }
            _ => Answer::text(400, "service, shard or request_id is missing"),
        }
    }

    fn probe(&self, answer: impl FnOnce() -> Answer) -> Answer {
        std::thread::sleep(milliseconds(self.arguments.probe_ms));
        answer()
    }
}

fn shard_key(question: &Question) -> Option<ShardKey> {
    Some(ShardKey {
        service: question.parsed::<ServiceName>("service")?,
        shard: ShardId(question.parsed("shard")?),
    })
}

fn with_json<T: DeserializeOwned>(question: &Question, answer: impl FnOnce(T) -> Answer) -> Answer {
    match question.json() {
        Ok(request) => answer(request),
        Err(error) => Answer::text(400, error),
    }
}
