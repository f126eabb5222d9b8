//! HTTP client that sends one attempt to a router and validates the answer.
//!
//! Invariant: an answer counts as whole only if its body was received completely and is valid. The body
//! of an answered request names the request and its key; that of a rejection is a [`Reject`].

use std::net::SocketAddr;
use std::time::Duration;

use grebepin_holder::headers;
use grebepin_schema::{Outcome, OutcomeLookup, Reject, RequestId, RequestState};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use ureq::http::{HeaderMap, Response};
use ureq::Body;

use super::rules::AttemptResult;
use super::{Args, ClassSpec};

/// Response header with the outcome.
const OUTCOME: &str = "Grebepin-Outcome";

/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Timeout of an outcome lookup.
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(super) struct Attempt<'a> {
    pub(super) router: SocketAddr,
    pub(super) class: &'a ClassSpec,
    pub(super) key: &'a str,
    pub(super) request_id: &'a RequestId,
    pub(super) attempt: u32,
}

/// The fields of a back end's answer that callers check; others are ignored.
#[derive(Deserialize)]
struct AnswerIdentity {
    request_id: RequestId,
    key: String,
}

/// HTTP client shared by all callers of a process.
#[derive(Debug)]
pub(super) struct Client {
    agent: ureq::Agent,
    /// Time to wait for an answer after the deadline.
    answer_grace: Duration,
}

impl Client {
    pub(super) fn new(arguments: &Args) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_idle_connections(arguments.threads)
            .max_idle_connections_per_host(arguments.threads)
            .build();
        Self {
            agent: config.into(),
            answer_grace: Duration::from_millis(arguments.patience_ms),
        }
    }

    /// Sends an attempt and waits for the answer until the deadline plus `answer_grace`.
    pub(super) fn send(&self, attempt: &Attempt<'_>) -> AttemptResult {
        let class = attempt.class;
        let service = class.service.as_str();
        let url = format!("http://{}/{service}{}", attempt.router, class.path);
        let time = Duration::from_millis(class.deadline_ms) + self.answer_grace;
        let answer = match class.method.as_str() {
            "GET" => {
                let call = self.agent.get(url).config().timeout_global(Some(time));
                set_headers(call.build(), attempt).call()
            }
            _ => {
                let call = self.agent.post(url).config().timeout_global(Some(time));
                set_headers(call.build(), attempt).send(attempt.key)
            }
        };
        answer.map_or_else(
            |_| AttemptResult::default(),
            |answer| read_answer(answer, attempt),
        )
    }

    /// Asks a router for the outcome of a request; `None` if there is no valid answer.
    pub(super) fn look_up(&self, attempt: &Attempt<'_>) -> Option<RequestState> {
        let url = format!(
            "http://{}/-/outcome/{}/{}",
            attempt.router,
            attempt.class.service.as_str(),
            attempt.request_id.as_str()
        );
        let call = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(LOOK_UP_TIMEOUT));
        let mut answer = call.build().header(headers::KEY, attempt.key).call().ok()?;
        let body = answer.body_mut().read_to_vec().ok()?;
        let lookup: OutcomeLookup = serde_json::from_slice(&body).ok()?;
        Some(lookup.state)
    }
}

fn set_headers<B>(call: ureq::RequestBuilder<B>, attempt: &Attempt<'_>) -> ureq::RequestBuilder<B> {
    call.header(headers::KEY, attempt.key)
        .header(headers::REQUEST_ID, attempt.request_id.as_str())
        .header(headers::ATTEMPT, attempt.attempt.to_string())
        .header(headers::DEADLINE_MS, attempt.class.deadline_ms.to_string())
}

fn read_answer(mut answer: Response<Body>, attempt: &Attempt<'_>) -> AttemptResult {
    let outcome = parse_header::<Outcome>(answer.headers(), OUTCOME);
    let answer_for = parse_header::<RequestId>(answer.headers(), headers::REQUEST_ID);
    let body = answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec();
    let Ok(body) = body else {
        return AttemptResult {
            answer_for,
            ..AttemptResult::default()
        };
    };
    match outcome {
        Some(Outcome::Answered) => AttemptResult {
            outcome,
            answer_for,
            whole: names_request(&body, attempt),
            ..AttemptResult::default()
        },
        _ => rejected(outcome, answer_for, &body),
    }
}

fn names_request(body: &[u8], attempt: &Attempt<'_>) -> bool {
    let body: Result<AnswerIdentity, _> = serde_json::from_slice(body);
    body.is_ok_and(|body| body.request_id == *attempt.request_id && body.key == attempt.key)
}

fn rejected(outcome: Option<Outcome>, answer_for: Option<RequestId>, body: &[u8]) -> AttemptResult {
    let reject: Option<Reject> = serde_json::from_slice(body).ok();
    let retry_after = reject.as_ref().and_then(|reject| reject.retry_after_ms);
    AttemptResult {
        outcome,
        answer_for,
        whole: reject.is_some(),
        rejected: reject.map(|reject| reject.kind.to_string()),
        retry_after: retry_after.map(Duration::from_millis),
    }
}

fn parse_header<T: DeserializeOwned>(headers: &HeaderMap, name: &str) -> Option<T> {
    let text = headers.get(name)?.to_str().ok()?;
    serde_json::from_value(text.into()).ok()
}
