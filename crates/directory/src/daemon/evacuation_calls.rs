//! Calls that begin or end evacuations: where each came from, how long it can have waited, and whether its caller has
//! given it up.

use std::net::SocketAddr;
use std::time::Duration;

use grebepin_telemetry::{event, Event};

use super::calls::RELAY_TIMEOUT;
use super::http_connection::{HttpConnection, ReceivedRequest};
use super::link_connection::LinkConnection;
use crate::call::{Call, CallBasis};
use crate::node::CallId;

/// Time after which an operator without a response closes the connection and sends the call to another replica.
const CALLER_PATIENCE: Duration = Duration::from_secs(1);

/// Where a call came from.
pub(super) struct CallSource {
    caller: Option<SocketAddr>,
    /// Number of the call at the replica that relays it; `None` for a call of an operator.
    relayed_call: Option<u64>,
    connected_at: Duration,
    arrived_after: Duration,
    is_closed: bool,
}

impl CallSource {
    pub(super) fn of_caller(http: &HttpConnection, received: &ReceivedRequest) -> Self {
        Self {
            caller: http.connection.peer(),
            relayed_call: None,
            connected_at: http.accepted_at,
            arrived_after: received.arrived_after,
            is_closed: http.is_closed_by_caller(),
        }
    }

    pub(super) fn of_replica(link: &LinkConnection, call: u64, arrived_after: Duration) -> Self {
        Self {
            caller: link.connection.peer(),
            relayed_call: Some(call),
            connected_at: link.accepted_at,
            arrived_after,
            is_closed: link.connection.is_read_closed(),
        }
    }

    /// Whether the caller had given the call up when it was read: the operator has closed the connection, or the replica
    /// that relayed the call has answered that the leader is silent.
    pub(super) fn has_given_up(&self, now: Duration) -> bool {
        let waited = now.saturating_sub(self.arrived_after);
        match self.relayed_call {
            None => self.is_closed && waited > CALLER_PATIENCE,
            Some(_) => waited > RELAY_TIMEOUT,
        }
    }
}

/// Logs a call that begins or ends an evacuation.
pub(super) fn log_evacuation_call(
    now: Duration,
    id: CallId,
    call: &Call,
    basis: CallBasis,
    source: &CallSource,
) {
    let Call::SetEvacuation { zone, evacuated } = call else {
        return;
    };
    let since = |start: Duration| now.saturating_sub(start).as_millis();
    event!(
        Event::EvacuationCalled,
        call = id.0,
        zone = zone,
        evacuated = evacuated,
        caller = source.caller.map_or(String::new(), |one| one.to_string()),
        origin = source
            .relayed_call
            .map_or(-1, |call| i64::try_from(call).unwrap_or(-1)),
        connection_ms = since(source.connected_at),
        waited_ms = since(source.arrived_after),
        closed = source.is_closed,
        known_call = basis
            .evacuation_call
            .map_or(-1, |number| i64::try_from(number).unwrap_or(-1))
    );
}
