//! One exchange with a back end.
//!
//! Invariants: an answer is passed on only when it is whole and names the very request; a connection
//! is used again only after such an answer; "not sent" is said only when no byte was handed to the
//! system.

use std::time::Instant;

use grebepin_schema::{CancelAnswer, CancelRequest, Refusal, RequestId, ServiceName};
use grebepin_settings::RouterLimits;
use grebepin_traffic::{LossReason, Target};

use crate::answer::Answer;
use crate::http::head::put_header;
use crate::http::{HttpConnection, HttpError, RequestHead, ResponseHead, TimeLimit};
use crate::pool::{ConnectError, Link};
use crate::request::{ATTEMPT, DEADLINE_MS, KEY, REQUEST_ID};
use crate::upstream::LOOK_INTERVAL;

/// Header with the service's name.
pub const SERVICE: &str = "Grebepin-Service";
/// Header with the shard.
pub const SHARD: &str = "Grebepin-Shard";
/// Header with the epoch that the router knows.
pub const EPOCH: &str = "Grebepin-Epoch";
/// Header that says whether the request may be repeated.
pub const REPEATABLE: &str = "Grebepin-Repeatable";
/// Header of an answer: why the request was not run.
pub const REFUSAL: &str = "Grebepin-Refusal";
/// Header of an answer: an earlier attempt ran, and this one did not run again.
pub const RAN_EARLIER: &str = "Grebepin-Ran-Earlier";

/// Path that cancels a request.
const CANCEL_PATH: &str = "/grebepin/v1/cancel";

/// Largest answer of a back end about one request, in bytes.
const MAXIMUM_CONTROL_ANSWER_BYTES: u64 = 64 << 10;

/// A request as it goes to a back end.
pub struct Outgoing<'a> {
    /// Head as the caller sent it.
    pub head: &'a RequestHead,
    /// Whole body.
    pub body: &'a [u8],
    /// Service.
    pub service: &'a ServiceName,
    /// Key.
    pub key: &'a str,
    /// Identifier.
    pub request_id: &'a RequestId,
    /// The caller's attempt.
    pub attempt: u32,
    /// Whether it may be repeated.
    pub repeatable: bool,
}

/// What became of a request that was sent.
#[derive(Debug)]
pub enum SendResult {
    /// No byte of it left.
    NotSent(ConnectError),
    /// The owner refused it.
    Refused(Refusal),
    /// The whole answer.
    Answered(Answer),
    /// No whole answer.
    Lost(LossReason),
}

/// Sends a request to its owner and reads the whole answer, until `until` at most. Gives up before that
/// when `moved` says that the shard has another owner: the old one may have frozen, and any effect that
/// it has not made by then it never will make.
pub fn send(
    link: &Link,
    request: &Outgoing<'_>,
    target: &Target,
    until: Instant,
    limits: &RouterLimits,
    moved: &dyn Fn() -> bool,
) -> SendResult {
    let left = until.saturating_duration_since(Instant::now());
    let mut leased = match link.lease(limits.connect_timeout.min(left)) {
        Ok(leased) => leased,
        Err(error) => return SendResult::NotSent(error),
    };
    let Some(connection) = leased.connection() else {
        return SendResult::NotSent(ConnectError::Exhausted);
    };
    let limit = TimeLimit { until, idle: left };
    if let Err((error, any_byte)) =
        connection.write(&encode(request, target, left.as_millis()), limit)
    {
        return match error {
            HttpError::Io(error) if !any_byte => SendResult::NotSent(ConnectError::Failed(error)),
            error => SendResult::Lost(loss_of(&error)),
        };
    }
    let answer = wait_for_answer(connection, limit, moved)
        .and_then(|()| read_answer(connection, request, limit, limits.body_bytes));
    match answer {
        Ok((result, keep_alive)) => {
            if keep_alive {
                leased.give_back();
            }
            result
        }
        Err(reason) => SendResult::Lost(reason),
    }
}

/// Asks the owner to cancel a request; `None` without a whole answer.
pub fn cancel(
    link: &Link,
    request: &Outgoing<'_>,
    target: &Target,
    until: Instant,
    limits: &RouterLimits,
) -> Option<CancelAnswer> {
    let body = CancelRequest {
        service: request.service.clone(),
        shard: target.shard,
        epoch: target.epoch,
        request_id: request.request_id.clone(),
    };
    let body = serde_json::to_vec(&body).ok()?;
    let mut bytes = first_line("POST", CANCEL_PATH, link);
    put_header(&mut bytes, "Content-Type", b"application/json");
    put_header(&mut bytes, ATTEMPT, request.attempt.to_string().as_bytes());
    finish_head(&mut bytes, body.len());
    bytes.extend_from_slice(&body);
    serde_json::from_slice(&control_exchange(link, "POST", &bytes, until, limits)?).ok()
}

/// Asks a back end with `GET`; `None` without a whole answer of status 200.
pub fn get(link: &Link, path: &str, until: Instant, limits: &RouterLimits) -> Option<Vec<u8>> {
    let mut bytes = first_line("GET", path, link);
    bytes.extend_from_slice(b"\r\n");
    control_exchange(link, "GET", &bytes, until, limits)
}

fn control_exchange(
    link: &Link,
    method: &str,
    bytes: &[u8],
    until: Instant,
    limits: &RouterLimits,
) -> Option<Vec<u8>> {
    let left = until.saturating_duration_since(Instant::now());
    let limit = TimeLimit { until, idle: left };
    let mut leased = link.lease(limits.connect_timeout.min(left)).ok()?;
    let connection = leased.connection()?;
    connection.write(bytes, limit).ok()?;
    let head = connection.read_response_head(limit, method).ok()?;
    let body = connection
        .read_body(head.body, MAXIMUM_CONTROL_ANSWER_BYTES, limit)
        .ok()?;
    if head.keep_alive {
        leased.give_back();
    }
    (head.status == 200).then_some(body)
}

fn encode(request: &Outgoing<'_>, target: &Target, left_ms: u128) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512 + request.body.len());
    bytes.extend_from_slice(request.head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(request.head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in request.head.headers.passed_on() {
        put_header(&mut bytes, name, value);
    }
    put_header(&mut bytes, SERVICE, request.service.as_bytes());
    put_header(&mut bytes, SHARD, target.shard.0.to_string().as_bytes());
    put_header(&mut bytes, EPOCH, target.epoch.0.to_string().as_bytes());
    put_header(&mut bytes, KEY, request.key.as_bytes());
    put_header(&mut bytes, REQUEST_ID, request.request_id.as_bytes());
    put_header(&mut bytes, ATTEMPT, request.attempt.to_string().as_bytes());
    put_header(&mut bytes, DEADLINE_MS, left_ms.to_string().as_bytes());
    put_header(
        &mut bytes,
        REPEATABLE,
        request.repeatable.to_string().as_bytes(),
    );
    finish_head(&mut bytes, request.body.len());
    bytes.extend_from_slice(request.body);
    bytes
}

fn first_line(method: &str, path: &str, link: &Link) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    put_header(&mut bytes, "Host", link.address().as_bytes());
    bytes
}

fn finish_head(bytes: &mut Vec<u8>, body: usize) {
    put_header(bytes, "Content-Length", body.to_string().as_bytes());
    bytes.extend_from_slice(b"\r\n");
}

/// Waits for the first byte of the answer. Once the shard has moved, an answer on its way has one more
/// interval.
fn wait_for_answer(
    connection: &mut HttpConnection,
    limit: TimeLimit,
    moved: &dyn Fn() -> bool,
) -> Result<(), LossReason> {
    let mut had_moved = false;
    loop {
        let look = TimeLimit {
            until: limit.until,
            idle: LOOK_INTERVAL,
        };
        match connection.wait_for_message(look) {
            Ok(()) => return Ok(()),
            Err(HttpError::TimedOut) if Instant::now() < limit.until => {}
            Err(error) => return Err(loss_of(&error)),
        }
        if had_moved {
            return Err(LossReason::Superseded);
        }
        had_moved = moved();
    }
}

fn read_answer(
    connection: &mut HttpConnection,
    request: &Outgoing<'_>,
    limit: TimeLimit,
    maximum: u64,
) -> Result<(SendResult, bool), LossReason> {
    let method = &request.head.method;
    let head = connection
        .read_response_head(limit, method)
        .map_err(|error| loss_of(&error))?;
    if head.headers.text(REQUEST_ID) != Some(request.request_id.as_str()) {
        return Err(LossReason::Mismatched);
    }
    let body = connection
        .read_body(head.body, maximum, limit)
        .map_err(|error| loss_of(&error))?;
    let keep_alive = head.keep_alive;
    let result = match head.headers.values(REFUSAL).next() {
        None => SendResult::Answered(answer_of(&head, method, body)),
        Some(_) => {
            let refusal = head
                .headers
                .text(REFUSAL)
                .and_then(|text| text.parse().ok());
            SendResult::Refused(refusal.ok_or(LossReason::Invalid)?)
        }
    };
    Ok((result, keep_alive))
}

fn answer_of(head: &ResponseHead, method: &str, body: Vec<u8>) -> Answer {
    let mut answer = Answer::new(head.status, body);
    for (name, value) in head.headers.passed_on() {
        answer.add(name, value);
    }
    if let Some(value) = head.headers.values(RAN_EARLIER).next() {
        answer.add(RAN_EARLIER, value);
    }
    if method == "HEAD" {
        answer.stated_length = head
            .headers
            .text("content-length")
            .and_then(|text| text.parse().ok());
    }
    answer
}

fn loss_of(error: &HttpError) -> LossReason {
    match error {
        HttpError::TimedOut => LossReason::TimedOut,
        HttpError::Malformed | HttpError::TooLarge => LossReason::Invalid,
        HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => LossReason::Broken,
    }
}
