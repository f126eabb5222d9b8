//! Plays the control leader and a router towards the back end under check.
//!
//! Invariant: every clause gets a shard that no earlier clause touched, and epochs only grow.

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

use super::{Breach, ContractOptions};

/// Group that the check plays the leader of.
pub(super) const GROUP: GroupId = GroupId(0);

/// Lease of a clause in ms: long against the few calls that a clause makes.
pub(super) const LEASE_MS: u64 = 2000;

/// Longest time of one call.
const CALL_TIME: Duration = Duration::from_secs(10);

/// Longest wait for the back end to get into a state.
const PATIENCE: Duration = Duration::from_secs(8);

/// Step in which a back end tells what remains of its lease.
const REMAINING_STEP: Duration = Duration::from_millis(1);

/// Pause between two looks at the back end.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Body of every request that has one.
const BODY: &[u8] = b"body";

/// Method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Method {
    Get,
    Post,
    Put,
}

/// Headers of one request; `None` leaves one out.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub(super) method: Method,
    pub(super) shard: u32,
    pub(super) epoch: u64,
    pub(super) id: String,
    pub(super) attempt: u32,
    pub(super) repeatable: bool,
    pub(super) deadline_ms: u64,
    pub(super) without: Option<&'static str>,
    /// Time to work, on the slow path.
    pub(super) work_ms: Option<u64>,
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Reply {
    Ran,
    RanEarlier,
    Refused(Refusal),
}

/// Leader and router in one.
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
            .timeout_global(Some(CALL_TIME))
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

    /// A request that may not be repeated, with an id of its own.
    pub(super) fn ask(&mut self, shard: u32, epoch: u64) -> Ask {
        self.next_id += 1;
        Ask {
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

    /// Gives the back end a lease and a shard that never had an owner; returns shard and epoch.
    pub(super) fn own_shard(&mut self) -> Result<(u32, u64), Breach> {
        self.own_shard_after(None)
    }

    pub(super) fn own_shard_after(
        &mut self,
        previous: Option<PreviousOwner>,
    ) -> Result<(u32, u64), Breach> {
        self.renew()?;
        let (shard, epoch) = (self.fresh_shard(), self.fresh_epoch());
        super::expect("grant", self.grant(shard, epoch, previous)?, None)?;
        Ok((shard, epoch))
    }

    /// Two heartbeats, of which the second renews the lease for the usual time.
    pub(super) fn renew(&mut self) -> Result<HeartbeatAnswer, Breach> {
        self.renew_for(LEASE_MS)
    }

    pub(super) fn renew_for(&mut self, duration_ms: u64) -> Result<HeartbeatAnswer, Breach> {
        self.beat(None)?;
        let renewal = self.renewal(duration_ms);
        let answer = self.beat(Some(renewal))?;
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

    /// A heartbeat; remembers the newest session and nonce.
    pub(super) fn beat(&mut self, lease: Option<LeaseRenewal>) -> Result<HeartbeatAnswer, Breach> {
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

    /// The refusal, if the grant was refused.
    pub(super) fn grant(
        &mut self,
        shard: u32,
        epoch: u64,
        previous: Option<PreviousOwner>,
    ) -> Result<Option<GrantRefusalReason>, Breach> {
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

    pub(super) fn release(&self, shard: u32, epoch: u64) -> Result<ReleaseAnswer, Breach> {
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

    pub(super) fn holdings(&self) -> Result<HoldingsAnswer, Breach> {
        self.get("holdings", &format!("group={}", GROUP.0))
    }

    pub(super) fn drain(&self, draining: bool) -> Result<(), Breach> {
        let answer: DrainRequest = self.post("drain", &DrainRequest { draining })?;
        super::expect("draining", answer.draining, draining)
    }

    /// Cancels a request and states the attempt, if there is one.
    pub(super) fn cancel(&self, ask: &Ask, attempt: Option<u32>) -> Result<CancelAnswer, Breach> {
        let request = CancelRequest {
            service: self.options.service.clone(),
            shard: ShardId(ask.shard),
            epoch: Epoch(ask.epoch),
            request_id: request_id(&ask.id)?,
        };
        let mut call = self.agent.post(self.url("cancel"));
        if let Some(attempt) = attempt {
            call = call.header(headers::ATTEMPT, attempt.to_string());
        }
        let body = serde_json::to_vec(&request)?;
        read_json("cancel", call.send(&body[..]))
    }

    pub(super) fn outcome(&self, ask: &Ask) -> Result<RequestState, Breach> {
        let query = format!(
            "service={}&shard={}&request_id={}",
            self.options.service.as_str(),
            ask.shard,
            ask.id
        );
        let answer: OutcomeAnswer = self.get("outcome", &query)?;
        Ok(answer.state)
    }

    pub(super) fn handover(&self, shard: u32, epoch: u64) -> Result<HandoverAnswer, Breach> {
        let service = self.options.service.as_str();
        self.get(
            "handover",
            &format!("service={service}&shard={shard}&epoch={epoch}"),
        )
    }

    /// Sends a request as a router does.
    pub(super) fn send(&self, ask: &Ask) -> Result<Reply, Breach> {
        let path = match (&self.options.slow_path, ask.work_ms) {
            (Some(path), Some(work_ms)) => format!("{path}?work_ms={work_ms}"),
            _ => "/contract".to_owned(),
        };
        let url = format!("http://{}{path}", self.options.address);
        let answer = match ask.method {
            Method::Get => self.fill(self.agent.get(url), ask).call(),
            Method::Post => self.fill(self.agent.post(url), ask).send(BODY),
            Method::Put => self.fill(self.agent.put(url), ask).send(BODY),
        };
        let answer = answer.map_err(unreachable)?;
        let header = |name| {
            answer
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        if ask.without != Some(headers::REQUEST_ID) {
            let answered = header(headers::REQUEST_ID).unwrap_or_default();
            super::expect("Grebepin-Request-Id", answered, ask.id.as_str())?;
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

    /// Sends a request from a thread of its own.
    pub(super) fn send_aside(&self, ask: &Ask) -> std::thread::JoinHandle<Result<Reply, Breach>> {
        let (peer, ask) = (self.clone(), ask.clone());
        std::thread::spawn(move || peer.send(&ask))
    }

    /// Status of any call.
    pub(super) fn status(&self, call: &'static str, body: &[u8]) -> Result<u16, Breach> {
        let answer = self.agent.post(self.url(call)).send(body);
        Ok(answer.map_err(unreachable)?.status().as_u16())
    }

    pub(super) fn get<T: DeserializeOwned>(
        &self,
        call: &'static str,
        query: &str,
    ) -> Result<T, Breach> {
        let url = format!("{}?{query}", self.url(call));
        read_json(call, self.agent.get(url).call())
    }

    /// Looks until `done` says so; the last look counts when the patience is over.
    pub(super) fn wait_for(
        &mut self,
        mut done: impl FnMut(&mut Self) -> Result<bool, Breach>,
    ) -> Result<bool, Breach> {
        let end = Instant::now() + PATIENCE;
        loop {
            if done(self)? {
                return Ok(true);
            }
            if Instant::now() >= end {
                return Ok(false);
            }
            std::thread::sleep(LOOK_PAUSE);
        }
    }

    /// Waits until the lease has run out.
    pub(super) fn wait_for_lapse(&mut self) -> Result<(), Breach> {
        let lapsed = self.wait_for(|peer| Ok(peer.beat(None)?.lease_remaining_ms == 0))?;
        // What remains is told in whole milliseconds, rounded down: a part of one may be left.
        std::thread::sleep(REMAINING_STEP);
        super::expect("lease over after its time", lapsed, true)
    }

    fn fill<B>(&self, call: ureq::RequestBuilder<B>, ask: &Ask) -> ureq::RequestBuilder<B> {
        let headers = self.headers(ask).into_iter();
        let wanted = headers.filter(|(name, _)| ask.without != Some(*name));
        wanted.fold(call, |call, (name, value)| call.header(name, value))
    }

    fn headers(&self, ask: &Ask) -> [(&'static str, String); 8] {
        [
            (headers::SERVICE, self.options.service.to_string()),
            (headers::SHARD, ask.shard.to_string()),
            (headers::EPOCH, ask.epoch.to_string()),
            (headers::KEY, format!("key-of-{}", ask.shard)),
            (headers::REQUEST_ID, ask.id.clone()),
            (headers::ATTEMPT, ask.attempt.to_string()),
            (headers::REPEATABLE, ask.repeatable.to_string()),
            (headers::DEADLINE_MS, ask.deadline_ms.to_string()),
        ]
    }

    fn post<T: DeserializeOwned>(
        &self,
        call: &'static str,
        body: &impl Serialize,
    ) -> Result<T, Breach> {
        let body = serde_json::to_vec(body)?;
        read_json(call, self.agent.post(self.url(call)).send(&body[..]))
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/grebepin/v1/{call}", self.options.address)
    }
}

pub(super) fn request_id(text: &str) -> Result<RequestId, Breach> {
    Ok(serde_json::from_value(text.into())?)
}

fn parse_refusal(text: &str) -> Result<Refusal, Breach> {
    Ok(serde_json::from_value(text.into())?)
}

fn read_json<T: DeserializeOwned>(
    call: &'static str,
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, Breach> {
    let mut answer = answer.map_err(unreachable)?;
    let status = answer.status().as_u16();
    if status != 200 {
        return Err(Breach::Status { call, status });
    }
    let body = answer.body_mut().read_to_vec().map_err(unreachable)?;
    Ok(serde_json::from_slice(&body)?)
}

fn unreachable(error: ureq::Error) -> Breach {
    Breach::Unreachable(Box::new(error))
}
