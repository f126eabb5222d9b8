//! Heartbeats: their schedule, and the handling of their answers.

use std::time::Duration;

use grebepin_schema::{
    Command, DrainRequest, HeartbeatAnswer, RegisterBoot, ServerName, ServerStanding, SetStanding,
    StandingOrigin,
};

use super::link::FAILURES_UNTIL_UNRESPONSIVE;
use super::step::Step;
use super::types::CoordinatorOutput;
use super::Coordinator;
use crate::state::{ServerEntry, ServerIndex};

impl Coordinator {
    /// Sends every heartbeat that is due.
    pub(super) fn send_heartbeats(&mut self, step: &mut Step<'_>) {
        while let Some(&(due, server)) = self.due.first() {
            if due > step.now {
                return;
            }
            self.due.pop_first();
            self.send_heartbeat(step, server, due);
        }
    }

    fn send_heartbeat(&mut self, step: &mut Step<'_>, server: ServerIndex, due: Duration) {
        let may_renew = step.leads();
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        if link.heartbeat_in_flight() || link.next_heartbeat != due {
            return;
        }
        let request = link.heartbeat(step.now, &self.config, self.term, may_renew);
        step.outputs.push(CoordinatorOutput::Heartbeat {
            server: link.name.clone(),
            address: link.address.clone(),
            request,
        });
    }

    pub(super) fn heartbeat_answered(
        &mut self,
        step: &mut Step<'_>,
        name: &ServerName,
        answer: &HeartbeatAnswer,
        sent_at: Duration,
    ) {
        let Some((server, entry)) = step.state.servers().by_name(name) else {
            return;
        };
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        let was_available = link.leased && link.failures == 0;
        if !link.answered(step.now, &self.config, entry.boot, sent_at, answer) {
            return;
        }
        self.due.insert((link.next_heartbeat, server));
        let became_available = !was_available && link.leased;
        if link.is_unresponsive(step.now, self.config.lease) {
            self.unresponsive.insert(server);
        } else {
            self.unresponsive.remove(&server);
        }
        if became_available {
            self.supervise_soon(step.now);
        }
        self.check_boot(step, server, entry);
        self.confirm_releases(step, server, sent_at);
        self.check_standing(step, server, entry, answer.draining);
        self.compare_holdings(step, server, answer, sent_at);
    }

    pub(super) fn heartbeat_failed(&mut self, step: &mut Step<'_>, name: &ServerName) {
        let Some(server) = step.state.servers().find(name) else {
            return;
        };
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        if !link.heartbeat_in_flight() {
            return;
        }
        link.failed(step.now, &self.config);
        self.due.insert((link.next_heartbeat, server));
        self.unresponsive.insert(server);
        if link.failures >= FAILURES_UNTIL_UNRESPONSIVE {
            self.supervise_soon(step.now);
        }
    }

    /// Proposes the registration of a new start, once any lease of the former process has ended.
    fn check_boot(&mut self, step: &mut Step<'_>, server: ServerIndex, entry: &ServerEntry) {
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        let Some(boot) = link.boot.filter(|_| entry.boot != link.boot) else {
            return;
        };
        if link.proposed || !link.earlier_leases_ended(step.now) {
            return;
        }
        link.proposed = true;
        step.propose(Command::RegisterBoot(RegisterBoot {
            server: link.name.clone(),
            expected_boot: entry.boot,
            boot,
        }));
    }

    /// Adapts the server's standing to the draining flag in its answer, or sends it a standing that an
    /// operator set.
    fn check_standing(
        &mut self,
        step: &mut Step<'_>,
        server: ServerIndex,
        entry: &ServerEntry,
        reports_draining: bool,
    ) {
        if entry.removed {
            return;
        }
        let active = entry.standing == ServerStanding::Active;
        match (active, entry.origin, reports_draining) {
            (true, StandingOrigin::Server, true) => {
                self.propose_standing(step, server, ServerStanding::Draining);
            }
            (false, StandingOrigin::Server, false) | (true, StandingOrigin::Operator, false) => {
                self.propose_standing(step, server, ServerStanding::Active);
            }
            (true, StandingOrigin::Operator, true) => self.send_drain(step, server, false),
            // A draining server refuses requests, so the drain request is sent only after its shards moved.
            (false, StandingOrigin::Operator, false) if entry.owned.is_empty() => {
                self.send_drain(step, server, true);
            }
            _ => {}
        }
    }

    fn propose_standing(
        &mut self,
        step: &mut Step<'_>,
        server: ServerIndex,
        standing: ServerStanding,
    ) {
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        if link.proposed {
            return;
        }
        link.proposed = true;
        step.propose(Command::SetStanding(SetStanding {
            server: link.name.clone(),
            standing,
            origin: StandingOrigin::Server,
        }));
    }

    fn send_drain(&mut self, step: &mut Step<'_>, server: ServerIndex, draining: bool) {
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        if link.drain_in_flight || !step.leads() {
            return;
        }
        link.drain_in_flight = true;
        step.outputs.push(CoordinatorOutput::Drain {
            server: link.name.clone(),
            address: link.address.clone(),
            request: DrainRequest { draining },
        });
    }
}
