//! How old the applied state is, as answered to reports of gateways and replicas.

use std::time::Duration;

use mio::Token;

use super::event_loop::EventLoop;
use crate::confirmed_state::Confirmation;
use crate::link::FromReplica;

/// Age from which the applied state is not handed to gateways as current. Replicas report to the leader each 500 ms at
/// least, and acknowledged changes must be in force at gateways within 2 s.
const FED_STATE_LIMIT: Duration = Duration::from_millis(1_000);

impl EventLoop<'_> {
    /// Whether the applied state is handed to gateways as current: messages of a leader arrive, and what they say is not
    /// old. Before the first confirmation after a start only the messages count.
    pub(super) fn is_fed(&self, now: Duration) -> bool {
        let age = self.state_age(now);
        self.node.is_fed(now) && age.is_none_or(|age| age <= FED_STATE_LIMIT)
    }

    /// Whether messages of a leader arrive and the state is not confirmed as recent.
    pub(super) fn awaits_confirmation(&self, now: Duration) -> bool {
        let age = self.state_age(now);
        self.node.is_fed(now) && age.is_none_or(|age| age > FED_STATE_LIMIT / 2)
    }

    /// Time since which acknowledged changes may be missing in the applied state; `None` if it is not known.
    pub(super) fn state_age(&self, now: Duration) -> Option<Duration> {
        match self.node.holds_leader_lease(now) {
            true => Some(Duration::ZERO),
            false => self.confirmed_state.age(now),
        }
    }

    /// The answer to a report that was sent at `sent_at_ms` of its sender's clock; `None` if the age of the applied
    /// state is not known.
    pub(super) fn confirmation(&self, now: Duration, sent_at_ms: u64) -> Option<Confirmation> {
        let age = self.state_age(now)?;
        Some(Confirmation::new(sent_at_ms, age, self.node.applied()))
    }

    /// Answers a gateway's report that was sent at `sent_at_ms` of its clock.
    pub(super) fn confirm_state(&mut self, token: Token, sent_at_ms: u64) {
        let Some(confirmation) = self.confirmation(self.now(), sent_at_ms) else {
            return;
        };
        if let Some(link) = self.inbound_links.get_mut(&token) {
            link.queue(&FromReplica::Confirmed(confirmation));
            self.unsent_links.insert(token);
        }
    }

    /// Records what is known of the state that was just applied.
    pub(super) fn update_confirmed_state(&mut self) {
        let now = self.now();
        match self.node.holds_leader_lease(now) {
            true => self.confirmed_state.confirm(now),
            false => self.confirmed_state.update(self.node.applied()),
        }
    }
}
