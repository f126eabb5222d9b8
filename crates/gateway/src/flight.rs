//! Requests under way.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use grebepin_catalog::{InstanceId, RequestKind, Route};
use grebepin_reactor::http::Request;
use mio::Token;

/// Names a request under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlightId(pub u64);

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// About to be sent.
    Here,
    /// Waits for its key's shard to get an owner, or another than the one under this fence.
    AwaitingOwner {
        /// Fence that is known to be of no use; 0 for none.
        fence: u64,
    },
    /// Waits a moment before its key's owner, which turned it away, is asked once more.
    AwaitingRepeat,
    /// Waits for the leader's permit to go to its key's owner, which states a rate.
    AwaitingPermit {
        /// The owner.
        server: InstanceId,
    },
    /// Waits for room at its key's owner, or at any server of its service.
    AwaitingRoom,
    /// On a connection to a server.
    At {
        /// The connection.
        connection: Token,
        /// The server.
        server: InstanceId,
        /// When it was handed to the connection.
        since: Duration,
    },
}

/// A request under way.
#[derive(Debug)]
pub struct Flight {
    /// Connection of the client.
    pub client: Token,
    /// The request.
    pub request: Request,
    /// Id that the client gave the attempt; empty without one.
    pub request_id: String,
    /// Its route's name.
    pub route_name: String,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: String,
    /// Its key, where it carries one.
    pub key: Option<u16>,
    /// Shard of its key, for a sharded service.
    pub shard: Option<usize>,
    /// Whether its client was most likely refused before.
    pub came_back: bool,
    /// When its first byte came.
    pub began: Duration,
    /// When its client gives up.
    pub deadline: Duration,
    /// When it is given up here.
    pub expires: Duration,
    /// How often it was sent to a server.
    pub sendings: u32,
    /// How often a connection could not be made for it.
    pub unreached: u32,
    /// Servers that it was sent to.
    pub tried: Vec<InstanceId>,
    /// The server that it may go to by the leader's permit.
    pub permitted: Option<InstanceId>,
    /// Where it is.
    pub place: Place,
}

impl Flight {
    /// Whether it may run more than once.
    pub fn kind(&self) -> RequestKind {
        self.route.kind
    }

    /// Ids of the servers that it was sent to, for logs.
    pub fn servers_tried(&self) -> String {
        let ids: Vec<String> = self.tried.iter().map(ToString::to_string).collect();
        ids.join(",")
    }
}

/// All requests under way.
#[derive(Debug, Default)]
pub struct Flights {
    next: u64,
    flights: HashMap<FlightId, Flight>,
}

impl Flights {
    /// Takes in a request.
    pub fn add(&mut self, flight: Flight) -> FlightId {
        self.next += 1;
        let id = FlightId(self.next);
        self.flights.insert(id, flight);
        id
    }

    /// A request.
    pub fn get(&self, id: FlightId) -> Option<&Flight> {
        self.flights.get(&id)
    }

    /// A request, to be changed.
    pub fn get_mut(&mut self, id: FlightId) -> Option<&mut Flight> {
        self.flights.get_mut(&id)
    }

    /// Ends a request.
    pub fn remove(&mut self, id: FlightId) -> Option<Flight> {
        self.flights.remove(&id)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    /// Those of a service that wait for room, the most urgent and then the oldest first.
    pub fn awaiting_room(&self, service: &str) -> Vec<FlightId> {
        let waiting = self.flights.iter();
        let mut waiting: Vec<(u32, Duration, FlightId)> = waiting
            .filter(|(_, flight)| flight.place == Place::AwaitingRoom && flight.service == service)
            .map(|(id, flight)| (flight.route.priority, flight.began, *id))
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Those of a service that wait before their key's owner is asked once more, and their shards.
    pub fn awaiting_repeat(&self, service: &str) -> Vec<(FlightId, usize)> {
        let waiting = self.flights.iter();
        waiting
            .filter(|(_, one)| one.place == Place::AwaitingRepeat && one.service == service)
            .filter_map(|(id, one)| Some((*id, one.shard?)))
            .collect()
    }

    /// Those that wait for an owner.
    pub fn awaiting_owner(&self) -> Vec<FlightId> {
        let waiting = self.flights.iter();
        waiting
            .filter(|(_, flight)| matches!(flight.place, Place::AwaitingOwner { .. }))
            .map(|(id, _)| *id)
            .collect()
    }
}
