//! Calls to back ends over HTTP.
//!
//! Invariant: each back end has its own threads, one for heartbeats and one for all other calls, so that
//! neither a slow back end nor a large grant delays the renewal of another lease; every call gets one answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::limits::MAX_BACK_END_MESSAGE_BYTES;
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

/// Capacity of a worker's call queue.
const CALL_QUEUE_CAPACITY: usize = 16;

/// Idle time after which a worker's thread ends.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Idle connections kept by a worker; one is enough, since its calls are sequential.
const MAX_IDLE_CONNECTIONS: usize = 1;

/// Size of a connection's input and output buffers; a response's head must fit into one.
const BUFFER_BYTES: usize = 16 << 10;

/// Idle time after which a connection is closed; below the usual keep-alive timeout of back ends, so that a
/// call doesn't reuse a connection that the back end is closing.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorkerKind {
    Heartbeats,
    Others,
}

impl WorkerKind {
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

/// Sends calls to all back ends.
pub(super) struct BackEnds {
    workers: BTreeMap<(SocketAddress, WorkerKind), Sender<Call>>,
    heartbeat_timeout: Duration,
    timeout: Duration,
    inbox: Inbox,
    metrics: ControlMetrics,
}

impl BackEnds {
    /// Starts without workers. `heartbeat_timeout` applies to heartbeats, `timeout` to all other calls.
    pub(super) fn new(
        heartbeat_timeout: Duration,
        timeout: Duration,
        inbox: Inbox,
        metrics: ControlMetrics,
    ) -> Self {
        Self {
            workers: BTreeMap::new(),
            heartbeat_timeout,
            timeout,
            inbox,
            metrics,
        }
    }

    /// Queues a call. If it can't be queued, returns the failure as an input for the node.
    pub(super) fn call(
        &mut self,
        id: CallId,
        address: SocketAddress,
        request: BackEndRequest,
    ) -> Option<NodeInput> {
        let key = (address, WorkerKind::of(&request));
        let mut call = Call { id, request };
        if let Some(worker) = self.workers.get(&key) {
            match worker.try_send(call) {
                Ok(()) => return None,
                Err(crossbeam_channel::TrySendError::Full(_)) => return Some(busy_input(id)),
                Err(crossbeam_channel::TrySendError::Disconnected(returned)) => call = returned,
            }
        }
        let Some(worker) = self.start_worker(&key) else {
            return Some(busy_input(id));
        };
        let sent = worker.try_send(call);
        self.workers.insert(key, worker);
        sent.is_err().then(|| busy_input(id))
    }

    fn start_worker(&self, key: &(SocketAddress, WorkerKind)) -> Option<Sender<Call>> {
        let (address, kind) = key;
        let to: SocketAddr = address.parse().ok()?;
        let timeout = match kind {
            WorkerKind::Heartbeats => self.heartbeat_timeout,
            WorkerKind::Others => self.timeout,
        };
        let (sender, calls) = crossbeam_channel::bounded(CALL_QUEUE_CAPACITY);
        let worker = Worker {
            base: format!("http://{}/grebepin/v1", address.as_str()),
            agent: agent(to, timeout),
            inbox: self.inbox.clone(),
            metrics: self.metrics.clone(),
        };
        thread::Builder::new()
            .name(format!("back-end-{}", address.as_str()))
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run(&calls))
            .ok()?;
        Some(sender)
    }
}

fn operation_label(request: &BackEndRequest) -> &'static str {
    match request {
        BackEndRequest::Heartbeat(_) => "heartbeat",
        BackEndRequest::Grant(_) => "grant",
        BackEndRequest::Release(_) => "release",
        BackEndRequest::Holdings(_) => "holdings",
        BackEndRequest::Drain(_) => "drain",
    }
}

fn busy_input(call: CallId) -> NodeInput {
    NodeInput::BackEnd {
        call,
        answer: Err(CallFailure::Busy),
    }
}

/// Builds the HTTP client of one worker. Workers don't share a client, because `ureq` searches its whole
/// connection pool linearly for each call.
fn agent(address: SocketAddr, timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
        .max_idle_age(MAX_IDLE_AGE)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .proxy(None)
        .build();
    ureq::Agent::with_parts(config, DefaultConnector::default(), FixedAddress(address))
}

/// Resolver that returns a worker's fixed address. The default resolver of `ureq` starts a thread for each
/// call.
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

/// Sends the calls of one back end and kind, one at a time.
struct Worker {
    base: String,
    agent: ureq::Agent,
    inbox: Inbox,
    metrics: ControlMetrics,
}

impl Worker {
    fn run(&self, calls: &Receiver<Call>) {
        while let Ok(call) = calls.recv_timeout(WORKER_IDLE_TIMEOUT) {
            let answer = self.call(&call.request);
            let result = match answer {
                Ok(_) => "answered",
                Err(_) => "failed",
            };
            let labels = [operation_label(&call.request), result];
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
    let limit = MAX_BACK_END_MESSAGE_BYTES as u64;
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
