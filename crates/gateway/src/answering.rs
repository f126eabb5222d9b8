//! Completion of a request: it is retried, answered with the server's response, or refused or failed by the
//! gateway.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_reactor::http::Response;
use grebepin_telemetry::{age_ms, event, Event};
use mio::Token;

use crate::crash_history::fingerprint;
use crate::dispatch::MIN_TIME_LEFT;
use crate::event_loop::{EventLoop, Timer};
use crate::hop::{AnsweringGateway, HopOutcome};
use crate::http_writer::{queue_response, write_local_response, LocalResponse};
use crate::in_flight::{InFlightId, InFlightRequest, InFlightState};
use crate::refusal::Refusal;
use crate::verdict::{may_retry, Verdict};

/// Delay before a retry at the same owner, which may have acquired the key's shard by then.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(120);

impl EventLoop {
    /// Retries a request where that is safe and allowed, and answers it otherwise.
    pub(crate) fn retry_or_answer(
        &mut self,
        id: InFlightId,
        verdict: Verdict,
        response: Option<Response>,
        server: &InstanceId,
    ) {
        let now = self.now();
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let capacity_after = match verdict {
            Verdict::NotRun => self.capacity_after(server),
            _ => None,
        };
        let delay = self.retry_delay(verdict, request, server, capacity_after);
        // The only server of a key gets no retry while it states a rate, since the retry would use capacity
        // meant for another caller, nor while it asks for no requests.
        let returns_to_owner = request
            .shard
            .is_some_and(|shard| self.is_owner(server, &request.service, shard));
        let cools_down = self.cooldowns.remaining(server, now).is_some();
        let owner_is_limited =
            returns_to_owner && (cools_down || self.stated_rates.rate(server).is_some());
        let retry_allowed = may_retry(verdict, request.kind())
            && !owner_is_limited
            && !self.is_crash_suspect(request)
            && request.attempts < request.route.maximum_attempts
            && now + delay + MIN_TIME_LEFT < request.expires
            && (delay.is_zero() || self.meets_target(request, server, now + delay));
        // The number of gateways that share the retry budget is known only from a leader.
        let knows_budget_share = self.directory.knows_gateway_count(now);
        if retry_allowed
            && knows_budget_share
            && self
                .retry_budgets
                .take(&request.service, now, request.is_client_retry)
        {
            return self.retry(id, verdict, server, delay);
        }
        match (verdict, response) {
            (Verdict::Failed, Some(response)) => self.forward_response(id, &response),
            (Verdict::NotRun | Verdict::NotOwner, _) if retry_allowed => {
                self.refuse(id, Refusal::BudgetSpent { capacity_after });
            }
            (Verdict::NotRun | Verdict::NotOwner, _) if returns_to_owner && cools_down => {
                let refusal = self.cooldown_refusal(server);
                self.refuse(id, refusal);
            }
            (Verdict::NotRun | Verdict::NotOwner, _) => {
                self.refuse(id, Refusal::NotRun { capacity_after });
            }
            _ => self.fail(id, 502, "server broke off"),
        }
    }

    /// Whether a server crashed while it executed this request. Such a request is not retried, so that it
    /// does not put a second server at risk.
    fn is_crash_suspect(&self, request: &InFlightRequest) -> bool {
        !self.crashes.is_empty()
            && self
                .crashes
                .is_suspect(fingerprint(&request.message, &self.names))
    }

    /// Delay before a retry. It is zero unless the retry goes to the only owner of a key, which is likely to
    /// have a free slot after a time (see [`crate::backoff`]) or to acquire the shard shortly.
    fn retry_delay(
        &self,
        verdict: Verdict,
        request: &InFlightRequest,
        server: &InstanceId,
        capacity_after: Option<Duration>,
    ) -> Duration {
        let Some(shard) = request.shard else {
            return Duration::ZERO;
        };
        match verdict {
            Verdict::NotRun => capacity_after.unwrap_or_default(),
            Verdict::NotOwner if self.is_owner(server, &request.service, shard) => {
                OWNER_RETRY_DELAY
            }
            _ => Duration::ZERO,
        }
    }

    /// Whether a request that is sent to a server at time `at` is likely to be answered within its route's
    /// target latency. Holding it any longer would use the time that the client needs for another try.
    fn meets_target(&self, request: &InFlightRequest, server: &InstanceId, at: Duration) -> bool {
        let instance = self.table.instance(server);
        let expected = instance.map_or(Duration::ZERO, |one| self.load_balancer.expected_time(one));
        at + expected <= request.received_at + request.route.target_latency
    }

    /// Time after which a server that rejected a request is likely to accept one; `None` for an unknown
    /// server.
    fn capacity_after(&self, server: &InstanceId) -> Option<Duration> {
        let instance = self.table.instance(server)?;
        Some(self.load_balancer.capacity_after(instance))
    }

    /// Whether the table names a server as the owner of a shard.
    pub(crate) fn is_owner(&self, server: &InstanceId, service: &str, shard: usize) -> bool {
        let held = self.table.shard(service, shard);
        held.is_some_and(|shard| shard.owner.as_ref() == Some(server))
    }

    fn retry(&mut self, id: InFlightId, verdict: Verdict, server: &InstanceId, delay: Duration) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        self.metrics
            .note_retry(&request.service, &format!("{verdict:?}"));
        event!(
            Event::RequestRetried,
            id = request.request_id,
            instance = server,
            verdict = format!("{verdict:?}"),
            sendings = request.attempts
        );
        match request.shard {
            Some(shard) if !delay.is_zero() => self.delay_retry(id, verdict, shard, delay),
            _ => self.dispatch(id),
        }
    }

    /// Delays a retry at the owner of a key until the owner is likely to have a free slot or to hold the
    /// shard. If another server becomes the owner meanwhile, the retry goes to that one.
    fn delay_retry(&mut self, id: InFlightId, verdict: Verdict, shard: usize, delay: Duration) {
        let now = self.now();
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        let held = self.table.shard(&request.service, shard);
        request.state = match verdict {
            Verdict::NotOwner => InFlightState::AwaitingOwner {
                fence: held.map_or(0, |shard| shard.fence),
            },
            _ => InFlightState::AwaitingRetry,
        };
        let due = Timer::RetryWait(id, request.attempts);
        self.timers.add(now + delay, due);
    }

    /// Dispatches a request whose retry delay is over.
    pub(crate) fn end_retry_wait(&mut self, id: InFlightId, attempts: u32) {
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        let waits = matches!(
            request.state,
            InFlightState::AwaitingRetry | InFlightState::AwaitingOwner { .. }
        );
        if waits && request.attempts == attempts {
            request.state = InFlightState::Dispatching;
            self.dispatch(id);
        }
    }

    /// Ends a request that reached its expiry without a response.
    pub(crate) fn expire(&mut self, id: InFlightId) {
        let now = self.now();
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let (was_sent, reused) = match &request.state {
            InFlightState::Assigned { connection, .. } => {
                let upstream = self.upstreams.get(*connection);
                upstream.map_or((false, false), |one| (one.connected, one.reused))
            }
            InFlightState::Forwarded { connection } => {
                let connection = self.peer_connections.get(*connection);
                (connection.is_some_and(|one| one.connected), false)
            }
            _ => (false, false),
        };
        let state = request.state.clone();
        if let (InFlightState::Assigned { server, since, .. }, true) = (state, was_sent) {
            if self.is_heard(&server) {
                self.load_balancer
                    .timed_out(&server, now, now.saturating_sub(since));
            }
            if reused {
                self.drop_idle(&server);
            }
        }
        self.cancel_attempt(id);
        match was_sent {
            // Any earlier attempt of a request that is not repeatable is proven not to have been executed.
            false => self.refuse(id, Refusal::DeadlineExpired),
            true => self.fail(id, 504, "time is up"),
        }
    }

    /// Closes the connection that a request is on and ends the attempt.
    pub(crate) fn cancel_attempt(&mut self, id: InFlightId) {
        let state = self.in_flight.get(id).map(|request| request.state.clone());
        if let Some(InFlightState::Forwarded { connection }) = state {
            self.cancel_forwarded(connection);
            return;
        }
        let Some(InFlightState::Assigned {
            connection, server, ..
        }) = state
        else {
            return;
        };
        let was_sent = self
            .upstreams
            .get(connection)
            .is_some_and(|upstream| upstream.connected);
        if let (Some((_, since)), true) = (self.end_attempt(id), was_sent) {
            let took = self.now().saturating_sub(since);
            self.record_owner_time(id, &server, took);
        }
        self.drop_upstream(connection);
    }

    /// Ends the current attempt of a request; returns its server and the time at which the request was handed
    /// to it.
    pub(crate) fn end_attempt(&mut self, id: InFlightId) -> Option<(InstanceId, Duration)> {
        let now = self.now();
        let request = self.in_flight.get_mut(id)?;
        let state = std::mem::replace(&mut request.state, InFlightState::Dispatching);
        let InFlightState::Assigned { server, since, .. } = state else {
            return None;
        };
        self.services_with_capacity.insert(request.service.clone());
        let took = now.saturating_sub(since);
        self.metrics.note_server(&request.service, took);
        self.load_balancer.end(&server, now);
        Some((server, since))
    }

    /// Adds the time that an owner spent on a request to the load report, whether the request finished or was
    /// given up. Requests that the server did not execute are left out: they end so quickly that the server
    /// would seem to have capacity for every key. So are those to a server that is not heard: they tell about the path.
    pub(crate) fn record_owner_time(
        &mut self,
        id: InFlightId,
        server: &InstanceId,
        took: Duration,
    ) {
        let request = self.in_flight.get(id);
        if request.is_some_and(|request| request.shard.is_some()) && self.is_heard(server) {
            self.load.note_answer(server, took);
        }
    }

    /// Sends a server's response to the client.
    pub(crate) fn forward_response(&mut self, id: InFlightId, response: &Response) {
        let Some(request) = self.in_flight.remove(id) else {
            return;
        };
        event!(
            Event::RequestAnswered,
            id = request.request_id,
            route = request.route_name,
            version = request.routed_by.version.0,
            routed_applied = request.routed_by.applied,
            routed_age_ms = request.routed_by.age_ms,
            status = response.status,
            sendings = request.attempts,
            forwarded = request.is_forwarded,
            hops = request.tried_peers.len(),
            instance = request
                .tried_servers
                .last()
                .map_or_else(String::new, ToString::to_string),
            ms = self.now().saturating_sub(request.received_at).as_millis()
        );
        let took = self.now().saturating_sub(request.received_at);
        self.metrics
            .note_answer(&request.service, response.status, "", took);
        let stopping = self.stopping.is_some();
        let Some(client) = self.clients.get_mut(&request.client) else {
            return;
        };
        let closes = !client.keeps_alive || stopping;
        let gateway = client.is_peer.then_some(AnsweringGateway {
            zone: &self.settings.zone,
            attempts: request.attempts,
        });
        queue_response(&mut client.connection, response, closes, gateway);
        self.finish_response(request.client, closes);
    }

    /// Answers a request that was not executed.
    pub(crate) fn refuse(&mut self, id: InFlightId, refusal: Refusal) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let left = request.deadline.saturating_sub(self.now());
        let paths_lost = self.reachability.is_lost(&request.service);
        let response = LocalResponse {
            hop_outcome: HopOutcome::of_refusal(refusal, paths_lost),
            ..LocalResponse::not_run(refusal.retry_after(Some(left)))
        };
        self.answer_locally(id, response, Event::RequestRefused, refusal.reason());
    }

    /// Answers a request that may have been executed.
    pub(crate) fn fail(&mut self, id: InFlightId, status: u16, reason: &str) {
        self.answer_locally(
            id,
            LocalResponse::status(status),
            Event::RequestFailed,
            reason,
        );
    }

    fn answer_locally(
        &mut self,
        id: InFlightId,
        response: LocalResponse,
        what: Event,
        reason: &str,
    ) {
        let Some(request) = self.in_flight.remove(id) else {
            return;
        };
        let response = LocalResponse {
            attempts: request.attempts,
            ..response
        };
        let took = self.now().saturating_sub(request.received_at);
        event!(
            what,
            id = request.request_id,
            route = request.route_name,
            version = request.routed_by.version.0,
            service = request.service,
            status = response.status,
            reason = reason,
            sendings = request.attempts,
            key = request.key.map_or(-1, i64::from),
            servers = request.tried_server_ids(),
            forwarded = request.is_forwarded,
            hops = request.tried_peers.len(),
            routed_applied = request.routed_by.applied,
            routed_age_ms = request.routed_by.age_ms,
            applied = self.table.applied(),
            state_age_ms = self.state_age_ms(),
            silence_ms = age_ms(self.reachability.silence(self.now())),
            unreachable = self.reachability.unreachable(),
            ms = took.as_millis()
        );
        self.metrics
            .note_answer(&request.service, response.status, reason, took);
        self.respond(request.client, response, &request.request_id);
    }

    pub(crate) fn respond(&mut self, token: Token, response: LocalResponse, request_id: &str) {
        let names = self.names;
        let stopping = self.stopping.is_some();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        let closes = response.closes || !client.keeps_alive || stopping;
        let response = LocalResponse { closes, ..response };
        let gateway = client.is_peer.then_some(AnsweringGateway {
            zone: &self.settings.zone,
            attempts: response.attempts,
        });
        let out = client.connection.outbound();
        write_local_response(out, response, request_id, &names, gateway);
        self.finish_response(token, closes);
    }

    /// Sends a response that was written. The next request of the connection is handled in another turn of the
    /// event loop.
    pub(crate) fn finish_response(&mut self, token: Token, closes: bool) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        client.begin_response(now);
        client.closing = closes;
        let open = client.flush(now);
        client.connection.trim();
        match (open, client.has_input()) {
            (true, true) => _ = self.unfinished.insert(token),
            (true, false) => {}
            (false, _) => _ = self.clients.remove(&token),
        }
    }
}
