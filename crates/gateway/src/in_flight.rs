//! Requests in flight: accepted from a client and not yet answered.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use grebepin_catalog::{InstanceId, RequestKind, Route, Version};
use grebepin_reactor::http::Request;
use mio::Token;

/// Identifies a request in flight within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InFlightId(pub u64);

/// State of a request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InFlightState {
    /// About to be dispatched.
    Dispatching,
    /// Waits until the key's shard has an owner with a higher fence.
    AwaitingOwner {
        /// Fence under which the shard has no usable owner; 0 if there was none.
        fence: u64,
    },
    /// Waits for the delay before a retry at the key's owner, which rejected the request.
    AwaitingRetry,
    /// Waits for the leader's permit to go to the key's owner, which states a rate.
    AwaitingPermit {
        /// Server that owns the shard of the request's key.
        server: InstanceId,
    },
    /// Waits for capacity at the key's owner, or at any server of the service.
    AwaitingCapacity,
    /// Forwarded to another gateway, or about to be.
    Forwarded {
        /// The connection to that gateway.
        connection: Token,
    },
    /// Assigned to a connection to a server.
    Assigned {
        connection: Token,
        server: InstanceId,
        /// When the request was assigned to the connection.
        since: Duration,
    },
}

/// The state by which a request was routed, for logs.
#[derive(Clone, Copy, Debug)]
pub struct RoutingState {
    /// Version of the route.
    pub version: Version,
    /// Log index of the state.
    pub applied: u64,
    /// Age of the state in milliseconds; -1 if unknown.
    pub age_ms: i64,
}

/// A request in flight.
#[derive(Debug)]
pub struct InFlightRequest {
    /// Connection of the client.
    pub client: Token,
    /// The request as it was received.
    pub message: Request,
    /// Id that the client gave this attempt; empty if it sent none.
    pub request_id: String,
    pub route_name: String,
    pub route: Arc<Route>,
    pub routed_by: RoutingState,
    /// Service that executes the request.
    pub service: String,
    /// Key of the request; `None` if it carries none.
    pub key: Option<u16>,
    /// Shard of the key; `None` for a pooled service.
    pub shard: Option<usize>,
    /// Whether the client most likely retries a request that was refused before.
    pub is_client_retry: bool,
    /// When the first byte arrived, or the earliest time at which it can have.
    pub received_at: Duration,
    /// When the client stops waiting.
    pub deadline: Duration,
    /// When the gateway gives the request up.
    pub expires: Duration,
    /// Number of attempts at a server, those of other gateways included, without those whose connection was not
    /// established.
    pub attempts: u32,
    /// Number of connections that could not be established for this request.
    pub connect_failures: u32,
    /// Start of the last attempt to connect for this request that timed out.
    pub timed_out_since: Option<Duration>,
    /// Whether another gateway forwarded it to this one.
    pub is_forwarded: bool,
    /// Whether the gateway that forwarded it asks to send it only to an owner that was heard lately.
    pub only_if_heard: bool,
    /// Other gateways that it was forwarded to, in order.
    pub tried_peers: Vec<SocketAddr>,
    /// The server or service that was out of reach when it was last forwarded; empty before.
    pub unreachable_target: String,
    /// Servers that it was assigned to, in order, including those that could not be reached.
    pub tried_servers: Vec<InstanceId>,
    /// Connections to servers that it was assigned to, in order.
    pub tried_connections: Vec<Token>,
    /// The server that the request may be sent to under the leader's permit or this gateway's turn.
    pub permitted_server: Option<InstanceId>,
    pub state: InFlightState,
}

impl InFlightRequest {
    /// Whether the request may be executed more than once.
    pub fn kind(&self) -> RequestKind {
        self.route.kind
    }

    /// Ids of [`Self::tried_servers`], for logs.
    pub fn tried_server_ids(&self) -> String {
        let ids: Vec<String> = self.tried_servers.iter().map(ToString::to_string).collect();
        ids.join(",")
    }
}

/// All requests in flight.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    next: u64,
    requests: HashMap<InFlightId, InFlightRequest>,
}

impl InFlightRequests {
    pub fn add(&mut self, request: InFlightRequest) -> InFlightId {
        self.next += 1;
        let id = InFlightId(self.next);
        self.requests.insert(id, request);
        id
    }

    pub fn get(&self, id: InFlightId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: InFlightId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    pub fn remove(&mut self, id: InFlightId) -> Option<InFlightRequest> {
        self.requests.remove(&id)
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Requests of a service that wait for capacity, ordered by priority and then by age.
    pub fn awaiting_capacity(&self, service: &str) -> Vec<InFlightId> {
        let waiting = self.requests.iter();
        let mut waiting: Vec<(u32, Duration, InFlightId)> = waiting
            .filter(|(_, one)| {
                one.state == InFlightState::AwaitingCapacity && one.service == service
            })
            .map(|(id, request)| (request.route.priority, request.received_at, *id))
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Requests of a service that wait before a retry at their key's owner, with their shards.
    pub fn awaiting_retry(&self, service: &str) -> Vec<(InFlightId, usize)> {
        let waiting = self.requests.iter();
        waiting
            .filter(|(_, one)| one.state == InFlightState::AwaitingRetry && one.service == service)
            .filter_map(|(id, one)| Some((*id, one.shard?)))
            .collect()
    }

    /// Servers of the requests that are assigned to a connection, and when each was assigned.
    pub fn assigned(&self) -> impl Iterator<Item = (&InstanceId, Duration)> {
        let states = self.requests.values().map(|request| &request.state);
        states.filter_map(|state| match state {
            InFlightState::Assigned { server, since, .. } => Some((server, *since)),
            _ => None,
        })
    }

    /// Requests that wait for an owner.
    pub fn awaiting_owner(&self) -> Vec<InFlightId> {
        let waiting = self.requests.iter();
        waiting
            .filter(|(_, request)| matches!(request.state, InFlightState::AwaitingOwner { .. }))
            .map(|(id, _)| *id)
            .collect()
    }
}
