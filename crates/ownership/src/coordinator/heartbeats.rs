//! Heartbeats: when they are due, and what their answers change.

use std::time::Duration;

use grebepin_schema::{
    Command, DrainRequest, HeartbeatAnswer, RegisterBoot, ServerName, ServerStanding, SetStanding,
    StandingOrigin,
};

use super::link::FAILURES_TO_SILENCE;
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
        if link.heartbeat_under_way() || link.next_heartbeat != due {
            return;
        }
        let request = link.heartbeat(step.now, &self.config, self.term, may_renew);
        step.out.push(CoordinatorOutput::Heartbeat {
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
        let was_able = link.leased && link.failures == 0;
        if !link.answered(step.now, &self.config, entry.boot, sent_at, answer) {
            return;
        }
        self.due.insert((link.next_heartbeat, server));
        let became_able = !was_able && link.leased;
        if link.is_silent(step.now, self.config.lease) {
            self.silent.insert(server);
        } else {
            self.silent.remove(&server);
        }
        if became_able {
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
        if !link.heartbeat_under_way() {
            return;
        }
        link.failed(step.now, &self.config);
        self.due.insert((link.next_heartbeat, server));
        self.silent.insert(server);
        if link.failures >= FAILURES_TO_SILENCE {
            self.supervise_soon(step.now);
        }
    }

    /// Registers a new start, once any lease of the one before has ended.
    fn check_boot(&mut self, step: &mut Step<'_>, server: ServerIndex, entry: &ServerEntry) {
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        let Some(boot) = link.boot.filter(|_| entry.boot != link.boot) else {
            return;
        };
        if link.proposed || !link.earlier_starts_ended(step.now) {
            return;
        }
        link.proposed = true;
        step.propose(Command::RegisterBoot(RegisterBoot {
            server: link.name.clone(),
            expected_boot: entry.boot,
            boot,
        }));
    }

    /// Brings the server's standing in line with its own wish, or tells it an operator's.
    fn check_standing(
        &mut self,
        step: &mut Step<'_>,
        server: ServerIndex,
        entry: &ServerEntry,
        wishes_to_leave: bool,
    ) {
        if entry.removed {
            return;
        }
        let active = entry.standing == ServerStanding::Active;
        match (active, entry.origin, wishes_to_leave) {
            (true, StandingOrigin::Server, true) => {
                self.propose_standing(step, server, ServerStanding::Draining);
            }
            (false, StandingOrigin::Server, false) | (true, StandingOrigin::Operator, false) => {
                self.propose_standing(step, server, ServerStanding::Active);
            }
            (true, StandingOrigin::Operator, true) => self.tell_standing(step, server, false),
            // A server that was told to leave refuses requests, so its shards move first.
            (false, StandingOrigin::Operator, false) if entry.owned.is_empty() => {
                self.tell_standing(step, server, true);
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

    fn tell_standing(&mut self, step: &mut Step<'_>, server: ServerIndex, draining: bool) {
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        if link.drain_under_way || !step.leads() {
            return;
        }
        link.drain_under_way = true;
        step.out.push(CoordinatorOutput::Drain {
            server: link.name.clone(),
            address: link.address.clone(),
            request: DrainRequest { draining },
        });
    }
}
