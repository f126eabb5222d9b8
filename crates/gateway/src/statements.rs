//! What answers state of their servers: taken over, logged and counted.

use std::time::Duration;

use grebepin_catalog::InstanceId;
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
        if let Some(retry_after) = statement.retry_after {
            self.note_retry_after(server, retry_after);
        }
        for field in statement.unusable {
            self.note_unusable(server, field);
        }
    }

    fn note_retry_after(&mut self, server: &InstanceId, retry_after: Duration) {
        let now = self.now();
        if self.cooldowns.note(server, now, retry_after) {
            event!(
                Event::ServerCoolsDown,
                instance = server,
                ms = retry_after.as_millis()
            );
        }
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
