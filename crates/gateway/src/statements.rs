//! What answers state of their servers: taken over, logged and counted.

use std::time::Duration;

use grebepin_catalog::{InstanceId, InstanceState};
use grebepin_reactor::http::Response;
use grebepin_telemetry::{event, Event};

use crate::server::Server;
use crate::statement::{RateStatement, ServerStatement};

impl Server {
    /// Takes in what an answer states of its server; its request was sent at `sent`.
    pub(crate) fn note_statement(
        &mut self,
        server: &InstanceId,
        sent: Duration,
        response: &Response,
    ) {
        let statement = ServerStatement::of(response, &self.names);
        self.note_stated_rate(server, sent, statement.rate);
        if statement.is_leaving {
            self.note_leaving(server);
        }
        if let Some(retry_after) = statement.retry_after {
            self.note_retry_after(server, retry_after);
        }
        for field in statement.unusable {
            self.note_unusable(server, field);
        }
    }

    /// Reports it with each such answer, until the directory says so itself: one report may be lost with its replica.
    fn note_leaving(&mut self, server: &InstanceId) {
        if self.leaving.note(server, self.now()) {
            self.load.note_overload();
            event!(Event::ServerLeaves, instance = server);
        }
        let instance = self.table.instance(server);
        if instance.is_some_and(|one| one.state == InstanceState::Ready) {
            self.load.note_leaving(server);
        }
    }

    fn note_retry_after(&mut self, server: &InstanceId, retry_after: Duration) {
        let now = self.now();
        if !self.cooldowns.note(server, now, retry_after) {
            return;
        }
        event!(
            Event::ServerCoolsDown,
            instance = server,
            ms = retry_after.as_millis()
        );
        self.balance.cooldown_requested(server);
        let instance = self.table.instance(server);
        if instance.is_some_and(|one| self.table.is_sharded(&one.service)) {
            self.load.note_cooldown(server, retry_after);
        }
        self.take_back_unsent(server);
        self.look_again_for(server);
    }

    /// Takes requests back from connections to a server that are not up yet: nothing of them was sent.
    fn take_back_unsent(&mut self, server: &InstanceId) {
        for (token, id) in self.upstreams.connecting_to(server) {
            self.drop_upstream(token);
            if self.leave_server(id).is_none() {
                continue;
            }
            if let Some(flight) = self.flights.get_mut(id) {
                flight.sendings -= 1;
                flight.tried.pop();
            }
            self.dispatch(id);
        }
    }

    /// Requests that wait for a server find out at once that it takes none.
    fn look_again_for(&mut self, server: &InstanceId) {
        let Some(instance) = self.table.instance(server) else {
            return;
        };
        let service = instance.service.clone();
        for (id, shard) in self.flights.awaiting_repeat(&service) {
            if self.owns(server, &service, shard) {
                self.redispatch(id);
            }
        }
        self.services_with_room.insert(service);
    }

    fn note_stated_rate(&mut self, server: &InstanceId, sent: Duration, statement: RateStatement) {
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
            gateways = self.budgets.gateways()
        );
    }

    fn note_unusable(&mut self, server: &InstanceId, field: &'static str) {
        self.metrics.note_unusable_field(field);
        if self.unusable_fields.insert(field) {
            event!(Event::StatementUnusable, instance = server, field = field);
        }
    }
}
