//! The end of a request: sent once more, given the server's answer, or given up.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_reactor::http::Response;
use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::answers::{write_own, write_response, OwnAnswer};
use crate::crash_history::fingerprint;
use crate::flight::{Flight, FlightId, Place};
use crate::forwarding::LEAST_TIME;
use crate::refusal::Refusal;
use crate::server::{Due, Server};
use crate::verdict::{may_retry, Verdict};

/// Pause before the same owner is asked again whether it holds the key by now.
const SAME_OWNER_PAUSE: Duration = Duration::from_millis(120);

impl Server {
    /// Sends a request again where that is safe and allowed, or answers it.
    pub(crate) fn decide(
        &mut self,
        id: FlightId,
        verdict: Verdict,
        response: Option<Response>,
        server: &InstanceId,
    ) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let capacity_after = match verdict {
            Verdict::NotRun => self.capacity_after(server),
            _ => None,
        };
        let pause = self.pause_before_repeat(verdict, flight, server, capacity_after);
        // A second sending to the only server of a key would use a place that it states to have for another caller, or
        // come while it asks for no requests.
        let goes_there_again = flight
            .shard
            .is_some_and(|shard| self.owns(server, &flight.service, shard));
        let cools_down = self.cooldowns.remaining(server, now).is_some();
        let spares_owner =
            goes_there_again && (cools_down || self.stated_rates.rate(server).is_some());
        let wanted = may_retry(verdict, flight.kind())
            && !spares_owner
            && !self.is_suspect(flight)
            && flight.sendings < flight.route.maximum_attempts
            && now + pause + LEAST_TIME < flight.expires
            && (pause.is_zero() || self.is_answered_in_time(flight, server, now + pause));
        // How many gateways share the budget is known from a leader only.
        let shares_budget = self.directory.knows_gateways(now);
        if wanted && shares_budget && self.budgets.take(&flight.service, now, flight.came_back) {
            return self.send_again(id, verdict, server, pause);
        }
        match (verdict, response) {
            (Verdict::Failed, Some(response)) => self.pass_on(id, &response),
            (Verdict::NotRun | Verdict::NotOwner, _) if wanted => {
                self.refuse(id, Refusal::BudgetSpent { capacity_after });
            }
            (Verdict::NotRun | Verdict::NotOwner, _) if goes_there_again && cools_down => {
                let refusal = self.cooldown_refusal(server);
                self.refuse(id, refusal);
            }
            (Verdict::NotRun | Verdict::NotOwner, _) => {
                self.refuse(id, Refusal::NotRun { capacity_after });
            }
            _ => self.fail(id, 502, "server broke off"),
        }
    }

    /// Whether a server crashed while it ran this request: a second one is not put at risk for one try.
    fn is_suspect(&self, flight: &Flight) -> bool {
        !self.crashes.is_empty()
            && self
                .crashes
                .is_suspect(fingerprint(&flight.request, &self.names))
    }

    /// Time for which a request waits before it is sent again: none but for a key's only owner, which is likely to have
    /// a place after a time, see [`crate::backoff`], or to hold the key shortly.
    fn pause_before_repeat(
        &self,
        verdict: Verdict,
        flight: &Flight,
        server: &InstanceId,
        capacity_after: Option<Duration>,
    ) -> Duration {
        let Some(shard) = flight.shard else {
            return Duration::ZERO;
        };
        match verdict {
            Verdict::NotRun => capacity_after.unwrap_or_default(),
            Verdict::NotOwner if self.owns(server, &flight.service, shard) => SAME_OWNER_PAUSE,
            _ => Duration::ZERO,
        }
    }

    /// Whether a request that goes to a server at a time is likely to be answered within its target: to keep it any
    /// longer would take from its client the time for another try.
    fn is_answered_in_time(&self, flight: &Flight, server: &InstanceId, at: Duration) -> bool {
        let instance = self.table.instance(server);
        let expected = instance.map_or(Duration::ZERO, |one| self.balance.expected_time(one));
        at + expected <= flight.began + flight.route.target_latency
    }

    /// Time after which a server that turned a request away is likely to take one; `None` for one that is not known.
    fn capacity_after(&self, server: &InstanceId) -> Option<Duration> {
        let instance = self.table.instance(server)?;
        Some(self.balance.capacity_after(instance))
    }

    /// Whether a server is believed to own a shard.
    pub(crate) fn owns(&self, server: &InstanceId, service: &str, shard: usize) -> bool {
        let held = self.table.shard(service, shard);
        held.is_some_and(|shard| shard.owner.as_ref() == Some(server))
    }

    fn send_again(&mut self, id: FlightId, verdict: Verdict, server: &InstanceId, pause: Duration) {
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        self.metrics
            .note_retry(&flight.service, &format!("{verdict:?}"));
        event!(
            Event::RequestRetried,
            id = flight.request_id,
            instance = server,
            verdict = format!("{verdict:?}"),
            sendings = flight.sendings
        );
        match flight.shard {
            Some(shard) if !pause.is_zero() => self.await_repeat(id, verdict, shard, pause),
            _ => self.dispatch(id),
        }
    }

    /// Waits before the owner of a key is asked once more: until it is likely to have a place for the request, or to
    /// hold the key. If another becomes the owner meanwhile, that one is asked.
    fn await_repeat(&mut self, id: FlightId, verdict: Verdict, shard: usize, pause: Duration) {
        let now = self.now();
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let held = self.table.shard(&flight.service, shard);
        flight.place = match verdict {
            Verdict::NotOwner => Place::AwaitingOwner {
                fence: held.map_or(0, |shard| shard.fence),
            },
            _ => Place::AwaitingRepeat,
        };
        let due = Due::RepeatWait(id, flight.sendings);
        self.deadlines.add(now + pause, due);
    }

    /// The wait before a request is sent once more is over.
    pub(crate) fn end_repeat_wait(&mut self, id: FlightId, sendings: u32) {
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let waits = matches!(
            flight.place,
            Place::AwaitingRepeat | Place::AwaitingOwner { .. }
        );
        if waits && flight.sendings == sendings {
            flight.place = Place::Here;
            self.dispatch(id);
        }
    }

    /// The time of a request is up.
    pub(crate) fn expire(&mut self, id: FlightId) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let (was_sent, reused) = match &flight.place {
            Place::At { connection, .. } => {
                let upstream = self.upstreams.get(*connection);
                upstream.map_or((false, false), |one| (one.connected, one.reused))
            }
            _ => (false, false),
        };
        let place = flight.place.clone();
        if let (Place::At { server, since, .. }, true) = (place, was_sent) {
            self.balance
                .timed_out(&server, now, now.saturating_sub(since));
            if reused {
                self.drop_resting(&server);
            }
        }
        self.recall(id);
        match was_sent {
            // An earlier sending of a request that is not repeatable is proved not to have run.
            false => self.refuse(id, Refusal::DeadlineExpired),
            true => self.fail(id, 504, "time is up"),
        }
    }

    /// Takes a request back from the connection it is on, which is closed.
    pub(crate) fn recall(&mut self, id: FlightId) {
        let place = self.flights.get(id).map(|flight| flight.place.clone());
        let Some(Place::At {
            connection, server, ..
        }) = place
        else {
            return;
        };
        let was_sent = self
            .upstreams
            .get(connection)
            .is_some_and(|upstream| upstream.connected);
        if let (Some((_, since)), true) = (self.leave_server(id), was_sent) {
            let took = self.now().saturating_sub(since);
            self.report_work(id, &server, took);
        }
        self.drop_upstream(connection);
    }

    /// Notes that a request is no longer at its server; which that was, and since when.
    pub(crate) fn leave_server(&mut self, id: FlightId) -> Option<(InstanceId, Duration)> {
        let now = self.now();
        let flight = self.flights.get_mut(id)?;
        let place = std::mem::replace(&mut flight.place, Place::Here);
        let Place::At { server, since, .. } = place else {
            return None;
        };
        self.services_with_room.insert(flight.service.clone());
        let took = now.saturating_sub(since);
        self.metrics.note_server(&flight.service, took);
        self.balance.end(&server, now);
        Some((server, since))
    }

    /// Reports that the owner of a key worked on its request for a time, to the end or until it was given up. What a server
    /// did not run is not reported: it ends so fast that the server would seem to have room for all keys there are.
    pub(crate) fn report_work(&mut self, id: FlightId, server: &InstanceId, took: Duration) {
        let flight = self.flights.get(id);
        if flight.is_some_and(|flight| flight.shard.is_some()) {
            self.load.note_answer(server, took);
        }
    }

    /// Gives a server's answer to the client.
    pub(crate) fn pass_on(&mut self, id: FlightId, response: &Response) {
        let Some(flight) = self.flights.remove(id) else {
            return;
        };
        event!(
            Event::RequestAnswered,
            id = flight.request_id,
            route = flight.route_name,
            status = response.status,
            sendings = flight.sendings,
            instance = flight
                .tried
                .last()
                .map_or_else(String::new, ToString::to_string),
            ms = self.now().saturating_sub(flight.began).as_millis()
        );
        let took = self.now().saturating_sub(flight.began);
        self.metrics
            .note_answer(&flight.service, response.status, "", took);
        let stopping = self.stopping.is_some();
        let Some(client) = self.clients.get_mut(&flight.client) else {
            return;
        };
        let closes = !client.keeps_alive || stopping;
        write_response(client.connection.outbound(), response, closes);
        self.after_answer(flight.client, closes);
    }

    /// Gives up a request that has not run.
    pub(crate) fn refuse(&mut self, id: FlightId, refusal: Refusal) {
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let left = flight.deadline.saturating_sub(self.now());
        let answer = OwnAnswer::not_run(refusal.retry_after(Some(left)));
        self.give_up(id, answer, Event::RequestRefused, refusal.reason());
    }

    /// Gives up a request that may have run.
    pub(crate) fn fail(&mut self, id: FlightId, status: u16, reason: &str) {
        self.give_up(id, OwnAnswer::status(status), Event::RequestFailed, reason);
    }

    fn give_up(&mut self, id: FlightId, answer: OwnAnswer, what: Event, reason: &str) {
        let Some(flight) = self.flights.remove(id) else {
            return;
        };
        let took = self.now().saturating_sub(flight.began);
        event!(
            what,
            id = flight.request_id,
            route = flight.route_name,
            service = flight.service,
            status = answer.status,
            reason = reason,
            sendings = flight.sendings,
            key = flight.key.map_or(-1, i64::from),
            servers = flight.servers_tried(),
            applied = self.table.applied(),
            ms = took.as_millis()
        );
        self.metrics
            .note_answer(&flight.service, answer.status, reason, took);
        self.answer_client(flight.client, answer, &flight.request_id);
    }

    pub(crate) fn answer_client(&mut self, token: Token, answer: OwnAnswer, request_id: &str) {
        let names = self.names;
        let stopping = self.stopping.is_some();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        let closes = answer.closes || !client.keeps_alive || stopping;
        let answer = OwnAnswer { closes, ..answer };
        write_own(client.connection.outbound(), answer, request_id, &names);
        self.after_answer(token, closes);
    }

    pub(crate) fn after_answer(&mut self, token: Token, closes: bool) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        client.flight = None;
        client.closing = closes;
        client.rested_since = now;
        let open = client.flush();
        client.connection.trim();
        match open {
            true => self.take_request(token),
            false => _ = self.clients.remove(&token),
        }
    }
}
