//! Applies, logs and counts what a server states of itself in its responses.

use std::time::Duration;

use grebepin_catalog::{InstanceId, InstanceState};
use grebepin_reactor::http::Response;
use grebepin_telemetry::{event, Event};

use crate::change_time::ChangeTime;
use crate::event_loop::EventLoop;
use crate::statement::{RateStatement, ServerStatement};

impl EventLoop {
    /// Applies what a response states of its server; its request was sent at `sent`. Returns the stated idle
    /// timeout of the connection.
    pub(crate) fn apply_statement(
        &mut self,
        server: &InstanceId,
        sent: Duration,
        response: &Response,
    ) -> Option<Duration> {
        let statement = ServerStatement::of(response, &self.names);
        self.apply_stated_rate(server, sent, statement.rate);
        if statement.is_leaving {
            self.apply_leaving(server);
        }
        if let Some(retry_after) = statement.retry_after {
            self.apply_retry_after(server, retry_after);
        }
        for field in statement.unusable {
            self.record_unusable_field(server, field);
        }
        statement.idle_timeout
    }

    /// Reports a leaving server with each such response until the directory marks the server as draining,
    /// since one report may be lost with its replica.
    fn apply_leaving(&mut self, server: &InstanceId) {
        let time = ChangeTime::immediate(self.now());
        if self.leaving.note(server, time) {
            self.load.note_overload();
            event!(Event::ServerLeaves, instance = server);
        }
        let instance = self.table.instance(server);
        if instance.is_some_and(|one| one.state == InstanceState::Ready) {
            self.load.note_leaving(server);
        }
    }

    fn apply_retry_after(&mut self, server: &InstanceId, retry_after: Duration) {
        let now = self.now();
        if !self.cooldowns.note(server, now, retry_after) {
            return;
        }
        event!(
            Event::ServerCoolsDown,
            instance = server,
            ms = retry_after.as_millis()
        );
        self.load_balancer.cooldown_requested(server);
        let instance = self.table.instance(server);
        if instance.is_some_and(|one| self.table.is_sharded(&one.service)) {
            self.load.note_cooldown(server, retry_after);
        }
        self.reassign_unsent(server);
        self.redispatch_waiting(server);
    }

    /// Dispatches requests again that are assigned to connections which are not established yet. Nothing of
    /// them was sent.
    fn reassign_unsent(&mut self, server: &InstanceId) {
        for (token, id) in self.upstreams.connecting_to(server) {
            self.drop_upstream(token);
            if self.end_attempt(id).is_none() {
                continue;
            }
            if let Some(request) = self.in_flight.get_mut(id) {
                request.attempts -= 1;
                request.tried_servers.pop();
            }
            self.dispatch(id);
        }
    }

    /// Dispatches the requests that wait for a server again, since it asked for no requests.
    fn redispatch_waiting(&mut self, server: &InstanceId) {
        let Some(instance) = self.table.instance(server) else {
            return;
        };
        let service = instance.service.clone();
        for (id, shard) in self.in_flight.awaiting_retry(&service) {
            if self.is_owner(server, &service, shard) {
                self.redispatch(id);
            }
        }
        self.services_with_capacity.insert(service);
    }

    fn apply_stated_rate(&mut self, server: &InstanceId, sent: Duration, statement: RateStatement) {
        let now = self.now();
        if let RateStatement::PerSecond(per_second) = statement {
            self.load.note_stated_rate(server, per_second);
        }
        let Some(change) = self.stated_rates.note(server, now, sent, statement) else {
            return;
        };
        event!(
            Event::ServerRateStated,
            instance = server,
            per_second = change.rate.unwrap_or(-1.0),
            before = change.before.unwrap_or(-1.0),
            gateways = self.retry_budgets.gateways()
        );
    }

    fn record_unusable_field(&mut self, server: &InstanceId, field: &'static str) {
        self.metrics.note_unusable_field(field);
        if self.unusable_fields.insert(field) {
            event!(Event::StatementUnusable, instance = server, field = field);
        }
    }
}
