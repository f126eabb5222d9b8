//! Calls to back ends over HTTP.
//!
//! Invariant: each back end has threads of its own, one for heartbeats and one for everything else, so
//! that neither a slow back end nor a large grant delays another's lease; every call gets one answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::limits::MAXIMUM_BACK_END_MESSAGE_BYTES;
use grebepin_schema::SocketAddress;
use grebepin_telemetry::ControlMetrics;
use serde::de::DeserializeOwned;
use serde::Serialize;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

use super::message::{Inbox, Message};
use super::sockets::STACK_BYTES;
use crate::node::input::{BackEndAnswer, CallFailure, CallId, NodeInput};
use crate::node::output::BackEndRequest;

/// Calls that may wait for one back end on one lane.
const WAITING_CALLS: usize = 16;

/// Idle time after which a lane's thread ends.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Idle connections kept by one lane: it makes one call after the other.
const IDLE_CONNECTIONS: usize = 1;

/// Each buffer of a connection; an answer's head must fit into one.
const BUFFER_BYTES: usize = 16 << 10;

/// Idle time after which a connection is closed, below what back ends usually allow.
const IDLE_CONNECTION_AGE: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LaneKind {
    Heartbeats,
    Others,
}

impl LaneKind {
    fn of(request: &BackEndRequest) -> Self {
        match request {
            BackEndRequest::Heartbeat(_) => Self::Heartbeats,
            _ => Self::Others,
        }
    }
}

struct Call {
    id: CallId,
    request: BackEndRequest,
}

/// Calls to every back end.
pub(super) struct BackEnds {
    lanes: BTreeMap<(SocketAddress, LaneKind), Sender<Call>>,
    heartbeat_timeout: Duration,
    timeout: Duration,
    inbox: Inbox,
    metrics: ControlMetrics,
}

impl BackEnds {
    /// No calls yet. `heartbeat_timeout` and `timeout` bound a heartbeat and any other call.
    pub(super) fn new(
        heartbeat_timeout: Duration,
        timeout: Duration,
        inbox: Inbox,
        metrics: ControlMetrics,
    ) -> Self {
        Self {
            lanes: BTreeMap::new(),
            heartbeat_timeout,
            timeout,
            inbox,
            metrics,
        }
    }

    /// Starts a call; the failure, as an input, of one that can't be started.
    pub(super) fn call(
        &mut self,
        id: CallId,
        address: SocketAddress,
        request: BackEndRequest,
    ) -> Option<NodeInput> {
        let key = (address, LaneKind::of(&request));
        let mut call = Call { id, request };
        if let Some(lane) = self.lanes.get(&key) {
            match lane.try_send(call) {
                Ok(()) => return None,
                Err(crossbeam_channel::TrySendError::Full(_)) => return Some(busy(id)),
                Err(crossbeam_channel::TrySendError::Disconnected(back)) => call = back,
            }
        }
        let Some(lane) = self.start_lane(&key) else {
            return Some(busy(id));
        };
        let sent = lane.try_send(call);
        self.lanes.insert(key, lane);
        sent.is_err().then(|| busy(id))
    }

    fn start_lane(&self, key: &(SocketAddress, LaneKind)) -> Option<Sender<Call>> {
        let (address, kind) = key;
        let to: SocketAddr = address.parse().ok()?;
        let timeout = match kind {
            LaneKind::Heartbeats => self.heartbeat_timeout,
            LaneKind::Others => self.timeout,
        };
        let (sender, calls) = crossbeam_channel::bounded(WAITING_CALLS);
        let lane = Lane {
            base: format!("http://{}/grebepin/v1", address.as_str()),
            agent: agent(to, timeout),
            inbox: self.inbox.clone(),
            metrics: self.metrics.clone(),
        };
        thread::Builder::new()
            .name(format!("back-end-{}", address.as_str()))
            .stack_size(STACK_BYTES)
            .spawn(move || lane.run(&calls))
            .ok()?;
        Some(sender)
    }
}

fn kind_of(request: &BackEndRequest) -> &'static str {
    match request {
        BackEndRequest::Heartbeat(_) => "heartbeat",
        BackEndRequest::Grant(_) => "grant",
        BackEndRequest::Release(_) => "release",
        BackEndRequest::Holdings(_) => "holdings",
        BackEndRequest::Drain(_) => "drain",
    }
}

fn busy(call: CallId) -> NodeInput {
    NodeInput::BackEnd {
        call,
        answer: Err(CallFailure::Busy),
    }
}

/// An agent for one lane. Lanes don't share one: its pool is searched from end to end for each call.
fn agent(address: SocketAddr, timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(IDLE_CONNECTIONS)
        .max_idle_connections_per_host(IDLE_CONNECTIONS)
        .max_idle_age(IDLE_CONNECTION_AGE)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .proxy(None)
        .build();
    ureq::Agent::with_parts(config, DefaultConnector::default(), FixedAddress(address))
}

/// Gives the one address of a lane. The library's own resolver starts a thread for each call.
#[derive(Debug)]
struct FixedAddress(SocketAddr);

impl Resolver for FixedAddress {
    fn resolve(
        &self,
        _: &ureq::http::Uri,
        _: &ureq::config::Config,
        _: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let mut addresses = self.empty();
        addresses.push(self.0);
        Ok(addresses)
    }
}

/// One back end's calls of one kind, one after the other.
struct Lane {
    base: String,
    agent: ureq::Agent,
    inbox: Inbox,
    metrics: ControlMetrics,
}

impl Lane {
    fn run(&self, calls: &Receiver<Call>) {
        while let Ok(call) = calls.recv_timeout(IDLE_LIMIT) {
            let answer = self.call(&call.request);
            let result = match answer {
                Ok(_) => "answered",
                Err(_) => "failed",
            };
            let labels = [kind_of(&call.request), result];
            let counters = &self.metrics.back_end_requests;
            counters.with_label_values(&labels).inc();
            let input = NodeInput::BackEnd {
                call: call.id,
                answer,
            };
            if self.inbox.send(Message::Input(input)).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &BackEndRequest) -> Result<BackEndAnswer, CallFailure> {
        match request {
            BackEndRequest::Heartbeat(body) => {
                self.post("heartbeat", body).map(BackEndAnswer::Heartbeat)
            }
            BackEndRequest::Grant(body) => self.post("grant", body).map(BackEndAnswer::Grant),
            BackEndRequest::Release(body) => self.post("release", body).map(BackEndAnswer::Release),
            BackEndRequest::Holdings(group) => self
                .get(&format!("holdings?group={group}"))
                .map(BackEndAnswer::Holdings),
            BackEndRequest::Drain(body) => {
                self.post_bytes("drain", body).map(|_| BackEndAnswer::Drain)
            }
        }
    }

    fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallFailure> {
        decode(&self.post_bytes(path, body)?)
    }

    fn post_bytes(&self, path: &str, body: &impl Serialize) -> Result<Vec<u8>, CallFailure> {
        let bytes = serde_json::to_vec(body).map_err(|_| CallFailure::BadAnswer)?;
        let answer = self
            .agent
            .post(format!("{}/{path}", self.base))
            .header("content-type", "application/json")
            .send(&bytes);
        read(answer)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallFailure> {
        let answer = self.agent.get(format!("{}/{path}", self.base)).call();
        decode(&read(answer)?)
    }
}

fn read(
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Vec<u8>, CallFailure> {
    let mut answer = answer.map_err(|error| failure(&error))?;
    if !answer.status().is_success() {
        return Err(CallFailure::BadAnswer);
    }
    let limit = MAXIMUM_BACK_END_MESSAGE_BYTES as u64;
    let body = answer.body_mut().with_config().limit(limit).read_to_vec();
    body.map_err(|error| failure(&error))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallFailure> {
    serde_json::from_slice(bytes).map_err(|_| CallFailure::BadAnswer)
}

fn failure(error: &ureq::Error) -> CallFailure {
    match error {
        ureq::Error::Timeout(_) => CallFailure::TimedOut,
        ureq::Error::Io(_) | ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            CallFailure::Unreachable
        }
        _ => CallFailure::BadAnswer,
    }
}
