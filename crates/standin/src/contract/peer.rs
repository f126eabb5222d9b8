//! Client that acts as the control leader and a router towards the back end under check.
//!
//! Invariant: every clause gets a shard that no earlier clause used, and epochs only grow.

use std::time::{Duration, Instant};

use grebepin_holder::headers;
use grebepin_schema::{
    CancelAnswer, CancelRequest, DrainRequest, Epoch, Grant, GrantAnswer, GrantRefusalReason,
    GrantRequest, GroupId, HandoverAnswer, HeartbeatAnswer, HeartbeatRequest, HeldShard,
    HoldingsAnswer, LeaseRenewal, Nonce, OutcomeAnswer, PreviousOwner, Refusal, ReleaseAnswer,
    ReleaseRequest, RequestId, RequestState, Session, ShardId, Term,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::{ClauseError, ContractOptions};

/// Group whose leader the check simulates.
pub(super) const GROUP: GroupId = GroupId(0);

/// Lease duration in ms; long compared to the few calls that a clause makes.
pub(super) const LEASE_MS: u64 = 2000;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time to wait for the back end to reach a state.
const STATE_TIMEOUT: Duration = Duration::from_secs(8);

/// Resolution at which a back end reports the remaining time of its lease.
const LEASE_RESOLUTION: Duration = Duration::from_millis(1);

/// Interval between two polls of the back end.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Body of every request that has one.
const BODY: &[u8] = b"body";

/// Method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Get,
    Post,
    Put,
}

/// One request to the back end.
#[derive(Clone, Debug)]
pub(super) struct TestRequest {
    pub(super) method: Method,
    pub(super) shard: u32,
    pub(super) epoch: u64,
    pub(super) id: String,
    pub(super) attempt: u32,
    pub(super) repeatable: bool,
    pub(super) deadline_ms: u64,
    /// Header that is left out.
    pub(super) without: Option<&'static str>,
    /// Service time in ms, which only the slow path honours.
    pub(super) work_ms: Option<u64>,
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Reply {
    Ran,
    RanEarlier,
    Refused(Refusal),
}

/// Simulated leader and router.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) options: ContractOptions,
    pub(super) term: Term,
    pub(super) session: Session,
    pub(super) nonce: Nonce,
    agent: ureq::Agent,
    next_shard: u32,
    next_epoch: u64,
    next_id: u64,
}

impl Peer {
    pub(super) fn new(options: ContractOptions) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .proxy(None)
            .http_status_as_error(false)
            .build();
        Self {
            options,
            term: Term(10),
            session: Session(0),
            nonce: Nonce(0),
            agent: config.into(),
            next_shard: 0,
            next_epoch: 1000,
            next_id: 0,
        }
    }

    pub(super) fn fresh_epoch(&mut self) -> u64 {
        self.next_epoch += 10;
        self.next_epoch
    }

    pub(super) fn fresh_shard(&mut self) -> u32 {
        self.next_shard += 1;
        self.next_shard
    }

    /// Creates a request that may not be repeated, with a new id.
    pub(super) fn new_request(&mut self, shard: u32, epoch: u64) -> TestRequest {
        self.next_id += 1;
        TestRequest {
            method: Method::Post,
            shard,
            epoch,
            id: format!("contract-{}", self.next_id),
            attempt: 1,
            repeatable: false,
            deadline_ms: 5000,
            without: None,
            work_ms: None,
        }
    }

    /// Renews the lease and grants a shard that never had an owner. Returns the shard and its epoch.
    pub(super) fn grant_new_shard(&mut self) -> Result<(u32, u64), ClauseError> {
        self.grant_new_shard_after(None)
    }

    pub(super) fn grant_new_shard_after(
        &mut self,
        previous: Option<PreviousOwner>,
    ) -> Result<(u32, u64), ClauseError> {
        self.renew()?;
        let (shard, epoch) = (self.fresh_shard(), self.fresh_epoch());
        super::expect("grant", self.grant(shard, epoch, previous)?, None)?;
        Ok((shard, epoch))
    }

    /// Sends two heartbeats, the second of which renews the lease for [`LEASE_MS`].
    pub(super) fn renew(&mut self) -> Result<HeartbeatAnswer, ClauseError> {
        self.renew_for(LEASE_MS)
    }

    pub(super) fn renew_for(&mut self, duration_ms: u64) -> Result<HeartbeatAnswer, ClauseError> {
        self.heartbeat(None)?;
        let renewal = self.renewal(duration_ms);
        let answer = self.heartbeat(Some(renewal))?;
        super::expect("renewed", answer.renewed, true)?;
        Ok(answer)
    }

    pub(super) fn renewal(&self, duration_ms: u64) -> LeaseRenewal {
        LeaseRenewal {
            session: self.session,
            nonce: self.nonce,
            duration_ms,
        }
    }

    /// Sends a heartbeat and stores the session and nonce of the answer.
    pub(super) fn heartbeat(
        &mut self,
        lease: Option<LeaseRenewal>,
    ) -> Result<HeartbeatAnswer, ClauseError> {
        let request = HeartbeatRequest {
            group: GROUP,
            term: self.term,
            server: self.options.server.clone(),
            lease,
        };
        let answer: HeartbeatAnswer = self.post("heartbeat", &request)?;
        self.session = answer.session;
        self.nonce = answer.nonce;
        Ok(answer)
    }

    /// Grants a shard. Returns the reason if the back end refused it.
    pub(super) fn grant(
        &mut self,
        shard: u32,
        epoch: u64,
        previous: Option<PreviousOwner>,
    ) -> Result<Option<GrantRefusalReason>, ClauseError> {
        let request = GrantRequest {
            group: GROUP,
            term: self.term,
            session: self.session,
            grants: vec![Grant {
                service: self.options.service.clone(),
                shard: ShardId(shard),
                epoch: Epoch(epoch),
                previous,
            }],
        };
        let answer: GrantAnswer = self.post("grant", &request)?;
        let answered = answer.accepted.len() + answer.refused.len();
        super::expect("grants answered", answered, 1)?;
        Ok(answer.refused.first().map(|refused| refused.reason))
    }

    pub(super) fn release(&self, shard: u32, epoch: u64) -> Result<ReleaseAnswer, ClauseError> {
        let request = ReleaseRequest {
            group: GROUP,
            term: self.term,
            shards: vec![self.held(shard, epoch)],
        };
        self.post("release", &request)
    }

    pub(super) fn held(&self, shard: u32, epoch: u64) -> HeldShard {
        HeldShard {
            service: self.options.service.clone(),
            shard: ShardId(shard),
            epoch: Epoch(epoch),
        }
    }

    pub(super) fn holdings(&self) -> Result<HoldingsAnswer, ClauseError> {
        self.get("holdings", &format!("group={}", GROUP.0))
    }

    pub(super) fn drain(&self, draining: bool) -> Result<(), ClauseError> {
        let answer: DrainRequest = self.post("drain", &DrainRequest { draining })?;
        super::expect("draining", answer.draining, draining)
    }

    /// Cancels a request. The attempt header is sent only if `attempt` is given.
    pub(super) fn cancel(
        &self,
        request: &TestRequest,
        attempt: Option<u32>,
    ) -> Result<CancelAnswer, ClauseError> {
        let cancel = CancelRequest {
            service: self.options.service.clone(),
            shard: ShardId(request.shard),
            epoch: Epoch(request.epoch),
            request_id: request_id(&request.id)?,
        };
        let mut call = self.agent.post(self.url("cancel"));
        if let Some(attempt) = attempt {
            call = call.header(headers::ATTEMPT, attempt.to_string());
        }
        let body = serde_json::to_vec(&cancel)?;
        read_json("cancel", call.send(&body[..]))
    }

    pub(super) fn outcome(&self, request: &TestRequest) -> Result<RequestState, ClauseError> {
        let query = format!(
            "service={}&shard={}&request_id={}",
            self.options.service.as_str(),
            request.shard,
            request.id
        );
        let answer: OutcomeAnswer = self.get("outcome", &query)?;
        Ok(answer.state)
    }

    pub(super) fn handover(&self, shard: u32, epoch: u64) -> Result<HandoverAnswer, ClauseError> {
        let service = self.options.service.as_str();
        self.get(
            "handover",
            &format!("service={service}&shard={shard}&epoch={epoch}"),
        )
    }

    /// Sends a request like a router.
    pub(super) fn send(&self, request: &TestRequest) -> Result<Reply, ClauseError> {
        let path = match (&self.options.slow_path, request.work_ms) {
            (Some(path), Some(work_ms)) => format!("{path}?work_ms={work_ms}"),
            _ => "/contract".to_owned(),
        };
        let url = format!("http://{}{path}", self.options.address);
        let answer = match request.method {
            Method::Get => self.fill(self.agent.get(url), request).call(),
            Method::Post => self.fill(self.agent.post(url), request).send(BODY),
            Method::Put => self.fill(self.agent.put(url), request).send(BODY),
        };
        let answer = answer.map_err(unreachable)?;
        let header = |name| {
            answer
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        if request.without != Some(headers::REQUEST_ID) {
            let answered = header(headers::REQUEST_ID).unwrap_or_default();
            super::expect("Grebepin-Request-Id", answered, request.id.as_str())?;
        }
        match header(headers::REFUSAL) {
            None => {
                let status = answer.status();
                super::expect_that("status", !status.is_server_error(), status, "below 500")?;
            }
            Some(text) => return Ok(Reply::Refused(parse_refusal(text)?)),
        }
        match header(headers::RAN_EARLIER) {
            Some("true") => Ok(Reply::RanEarlier),
            _ => Ok(Reply::Ran),
        }
    }

    /// Sends a request in a new thread.
    pub(super) fn send_in_thread(
        &self,
        request: &TestRequest,
    ) -> std::thread::JoinHandle<Result<Reply, ClauseError>> {
        let (peer, request) = (self.clone(), request.clone());
        std::thread::spawn(move || peer.send(&request))
    }

    /// Sends any body to a control call and returns the HTTP status.
    pub(super) fn status(&self, call: &'static str, body: &[u8]) -> Result<u16, ClauseError> {
        let answer = self.agent.post(self.url(call)).send(body);
        Ok(answer.map_err(unreachable)?.status().as_u16())
    }

    pub(super) fn get<T: DeserializeOwned>(
        &self,
        call: &'static str,
        query: &str,
    ) -> Result<T, ClauseError> {
        let url = format!("{}?{query}", self.url(call));
        read_json(call, self.agent.get(url).call())
    }

    /// Polls `done` until it returns true. Returns false if that takes longer than [`STATE_TIMEOUT`].
    pub(super) fn wait_for(
        &mut self,
        mut done: impl FnMut(&mut Self) -> Result<bool, ClauseError>,
    ) -> Result<bool, ClauseError> {
        let end = Instant::now() + STATE_TIMEOUT;
        loop {
            if done(self)? {
                return Ok(true);
            }
            if Instant::now() >= end {
                return Ok(false);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the lease has expired.
    pub(super) fn wait_for_lapse(&mut self) -> Result<(), ClauseError> {
        let lapsed = self.wait_for(|peer| Ok(peer.heartbeat(None)?.lease_remaining_ms == 0))?;
        // The remaining time is reported in whole milliseconds, rounded down, so that a fraction of a
        // millisecond may be left.
        std::thread::sleep(LEASE_RESOLUTION);
        super::expect("lease over after its time", lapsed, true)
    }

    fn fill<B>(
        &self,
        call: ureq::RequestBuilder<B>,
        request: &TestRequest,
    ) -> ureq::RequestBuilder<B> {
        let headers = self.headers(request).into_iter();
        let wanted = headers.filter(|(name, _)| request.without != Some(*name));
        wanted.fold(call, |call, (name, value)| call.header(name, value))
    }

    fn headers(&self, request: &TestRequest) -> [(&'static str, String); 8] {
        [
            (headers::SERVICE, self.options.service.to_string()),
            (headers::SHARD, request.shard.to_string()),
            (headers::EPOCH, request.epoch.to_string()),
            (headers::KEY, format!("key-of-{}", request.shard)),
            (headers::REQUEST_ID, request.id.clone()),
            (headers::ATTEMPT, request.attempt.to_string()),
            (headers::REPEATABLE, request.repeatable.to_string()),
            (headers::DEADLINE_MS, request.deadline_ms.to_string()),
        ]
    }

    fn post<T: DeserializeOwned>(
        &self,
        call: &'static str,
        body: &impl Serialize,
    ) -> Result<T, ClauseError> {
        let body = serde_json::to_vec(body)?;
        read_json(call, self.agent.post(self.url(call)).send(&body[..]))
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/grebepin/v1/{call}", self.options.address)
    }
}

pub(super) fn request_id(text: &str) -> Result<RequestId, ClauseError> {
    Ok(serde_json::from_value(text.into())?)
}

fn parse_refusal(text: &str) -> Result<Refusal, ClauseError> {
    Ok(serde_json::from_value(text.into())?)
}

fn read_json<T: DeserializeOwned>(
    call: &'static str,
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, ClauseError> {
    let mut answer = answer.map_err(unreachable)?;
    let status = answer.status().as_u16();
    if status != 200 {
        return Err(ClauseError::Status { call, status });
    }
    let body = answer.body_mut().read_to_vec().map_err(unreachable)?;
    Ok(serde_json::from_slice(&body)?)
}

fn unreachable(error: ureq::Error) -> ClauseError {
    ClauseError::Unreachable(Box::new(error))
}
