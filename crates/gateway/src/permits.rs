//! Permits for requests to the owner of a key that states a rate. The leader is asked for a permit, since no
//! other server may serve the key and none of the owner's capacity should stay unused. Without an
//! answer this gateway sends within its own turns, see [`crate::stated_rate`].

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};
use grebepin_directory::link::PermitRequest;
use grebepin_grants::Permit;

use crate::dispatch::MAX_WAIT_FRACTION;
use crate::event_loop::{EventLoop, Timer};
use crate::in_flight::{InFlightId, InFlightState};
use crate::refusal::Refusal;

/// Longest wait for a permit: a few round trips between zones.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

impl EventLoop {
    /// Whether a request may not be sent to a server yet because the server states a rate and no permit was
    /// given.
    pub(crate) fn needs_permit(&self, id: InFlightId, server: &InstanceId) -> bool {
        let request = self.in_flight.get(id);
        let is_permitted =
            request.is_some_and(|request| request.permitted_server.as_ref() == Some(server));
        self.stated_rates.rate(server).is_some() && !is_permitted
    }

    /// Requests a permit to send a request to the owner of its key.
    pub(crate) fn request_permit(&mut self, id: InFlightId, owner: &Instance) {
        let now = self.now();
        if let Some(after) = self.stated_rates.permit_refused_for(&owner.id, now) {
            let capacity_after = Some(after);
            return self.refuse(id, Refusal::RateSpent { capacity_after });
        }
        let Some(stated_rate) = self.stated_rates.rate(&owner.id) else {
            return;
        };
        let permit_request = PermitRequest {
            id: id.0,
            server: owner.id.clone(),
            stated_rate,
        };
        if !self.directory.request_permit(now, permit_request) {
            return self.dispatch_by_turn(id, owner);
        }
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        request.state = InFlightState::AwaitingPermit {
            server: owner.id.clone(),
        };
        let until = request.received_at + request.route.target_latency.mul_f64(MAX_WAIT_FRACTION);
        let until = until.min(now + PERMIT_TIMEOUT);
        let due = Timer::PermitWait(id, request.attempts);
        self.timers.add(until, due);
    }

    /// Handles the leader's answer; `None` when the leader can't be reached or did not answer in time.
    pub(crate) fn on_permit(&mut self, id: InFlightId, permit: Option<Permit>) {
        let now = self.now();
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        let InFlightState::AwaitingPermit { server } = &request.state else {
            return;
        };
        let server = server.clone();
        request.state = InFlightState::Dispatching;
        match permit {
            Some(Permit::Given) => {
                request.permitted_server = Some(server);
                self.dispatch(id);
            }
            Some(Permit::Refused { after }) => {
                self.load.note_overload();
                self.stated_rates.note_permit_refused(&server, now + after);
                let capacity_after = Some(after);
                self.refuse(id, Refusal::RateSpent { capacity_after });
            }
            None => self.proceed_without_permit(id, &server),
        }
    }

    /// The longest wait for a permit is over.
    pub(crate) fn end_permit_wait(&mut self, id: InFlightId, attempts: u32) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        if request.attempts == attempts
            && matches!(request.state, InFlightState::AwaitingPermit { .. })
        {
            self.on_permit(id, None);
        }
    }

    fn proceed_without_permit(&mut self, id: InFlightId, server: &InstanceId) {
        match self.table.instance(server).cloned() {
            Some(owner) => self.dispatch_by_turn(id, &owner),
            None => self.dispatch(id),
        }
    }

    /// Sends a request to the owner of its key if this gateway's turn there is open, and refuses it
    /// otherwise.
    fn dispatch_by_turn(&mut self, id: InFlightId, owner: &Instance) {
        let now = self.now();
        let gateways = self.gateway_count();
        if !self.stated_rates.is_open(&owner.id, now, gateways) {
            self.load.note_overload();
            let capacity_after = self.stated_rates.capacity_after(&owner.id);
            return self.refuse(id, Refusal::RateSpent { capacity_after });
        }
        if let Some(request) = self.in_flight.get_mut(id) {
            request.permitted_server = Some(owner.id.clone());
        }
        self.dispatch(id);
    }
}
