//! A request to the owner of a key that states a rate: the leader is asked for a permit, since nobody else may serve it
//! and every place counts. Without an answer this gateway goes by its own turns, see [`crate::stated_rate`].

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};
use grebepin_directory::link::PermitRequest;
use grebepin_grants::Permit;

use crate::flight::{FlightId, Place};
use crate::forwarding::WAIT_PART;
use crate::refusal::Refusal;
use crate::server::{Due, Server};

/// Longest wait for an answer: a few round trips between zones.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);

impl Server {
    /// Whether a request may not go to a server yet, since that one states a rate.
    pub(crate) fn lacks_permit(&self, id: FlightId, server: &InstanceId) -> bool {
        let flight = self.flights.get(id);
        let is_permitted = flight.is_some_and(|flight| flight.permitted.as_ref() == Some(server));
        self.stated_rates.rate(server).is_some() && !is_permitted
    }

    /// Asks for a permit to send a request to the owner of its key.
    pub(crate) fn ask_permit(&mut self, id: FlightId, owner: &Instance) {
        let now = self.now();
        if let Some(after) = self.stated_rates.permit_refused_for(&owner.id, now) {
            let capacity_after = Some(after);
            return self.refuse(id, Refusal::RateSpent { capacity_after });
        }
        let Some(stated_rate) = self.stated_rates.rate(&owner.id) else {
            return;
        };
        let request = PermitRequest {
            id: id.0,
            server: owner.id.clone(),
            stated_rate,
        };
        if !self.directory.ask_permit(now, request) {
            return self.go_by_turns(id, owner);
        }
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        flight.place = Place::AwaitingPermit {
            server: owner.id.clone(),
        };
        let until = flight.began + flight.route.target_latency.mul_f64(WAIT_PART);
        let until = until.min(now + ANSWER_LIMIT);
        let due = Due::PermitWait(id, flight.sendings);
        self.deadlines.add(until, due);
    }

    /// The leader answered, or can't be reached.
    pub(crate) fn on_permit(&mut self, id: FlightId, permit: Option<Permit>) {
        let now = self.now();
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let Place::AwaitingPermit { server } = &flight.place else {
            return;
        };
        let server = server.clone();
        flight.place = Place::Here;
        match permit {
            Some(Permit::Given) => {
                flight.permitted = Some(server);
                self.dispatch(id);
            }
            Some(Permit::Refused { after }) => {
                self.load.note_overload();
                self.stated_rates.note_permit_refused(&server, now + after);
                let capacity_after = Some(after);
                self.refuse(id, Refusal::RateSpent { capacity_after });
            }
            None => self.go_on_without_permit(id, &server),
        }
    }

    /// The wait for the leader's answer is over.
    pub(crate) fn end_permit_wait(&mut self, id: FlightId, sendings: u32) {
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        if flight.sendings == sendings && matches!(flight.place, Place::AwaitingPermit { .. }) {
            self.on_permit(id, None);
        }
    }

    fn go_on_without_permit(&mut self, id: FlightId, server: &InstanceId) {
        match self.table.instance(server).cloned() {
            Some(owner) => self.go_by_turns(id, &owner),
            None => self.dispatch(id),
        }
    }

    /// Sends a request to the owner of its key if this gateway's own turn there is open.
    fn go_by_turns(&mut self, id: FlightId, owner: &Instance) {
        let now = self.now();
        let gateways = self.known_gateways();
        if !self.stated_rates.is_open(&owner.id, now, gateways) {
            self.load.note_overload();
            let capacity_after = self.stated_rates.capacity_after(&owner.id);
            return self.refuse(id, Refusal::RateSpent { capacity_after });
        }
        if let Some(flight) = self.flights.get_mut(id) {
            flight.permitted = Some(owner.id.clone());
        }
        self.dispatch(id);
    }
}
