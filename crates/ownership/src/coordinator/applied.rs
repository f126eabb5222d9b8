//! Effects of applied commands on grants, moves and pending proposals.

use grebepin_schema::{Command, ServerName, ServiceName, ShardId};

use super::link::ServerLink;
use super::moves::Phase;
use super::step::Step;
use super::Coordinator;
use crate::applied::{Applied, AppliedAssignment, Assigned, BootOutcome, Outcome, StandingOutcome};
use crate::state::ServerIndex;

impl Coordinator {
    pub(super) fn applied(&mut self, step: &mut Step<'_>, applied: &Applied) {
        match &applied.outcome {
            Outcome::Bundle(_) => {}
            Outcome::Assigned(assigned) => self.applied_assignments(step, assigned),
            Outcome::Standing(
                StandingOutcome::Set { server, .. } | StandingOutcome::UnknownServer { server },
            ) => self.proposal_ended(step, server),
            Outcome::Boot(BootOutcome::Registered { server }) => {
                self.proposal_ended(step, server);
                self.applied_boot(step, server);
            }
            Outcome::Boot(
                BootOutcome::Mismatch { server } | BootOutcome::UnknownServer { server },
            ) => self.proposal_ended(step, server),
        }
        self.supervise_soon(step.now);
    }

    fn applied_assignments(&mut self, step: &mut Step<'_>, assigned: &Assigned) {
        for assignment in &assigned.accepted {
            self.applied_assignment(step, assignment);
        }
        for refused in &assigned.refused {
            self.assignment_ended(&refused.service, refused.shard);
        }
        if !assigned.refused.is_empty() {
            self.drop_outdated_moves(step);
        }
    }

    fn applied_assignment(&mut self, step: &mut Step<'_>, assignment: &AppliedAssignment) {
        let shard = assignment.shard;
        self.pending.remove(&assignment.service, shard);
        self.moves.remove(&assignment.service, shard);
        let last = assignment.previous.as_ref();
        if let Some((_, link)) = last.and_then(|name| self.link_mut(step, name)) {
            link.remove_shard(shard);
            link.changed_at = step.now;
        }
        let next = assignment.server.as_ref();
        if let Some((server, link)) = next.and_then(|name| self.link_mut(step, name)) {
            link.to_grant.insert(shard);
            link.changed_at = step.now;
            self.grants_due.insert(server);
        }
    }

    /// Every shard of the server has a new epoch and has to be granted again.
    fn applied_boot(&mut self, step: &mut Step<'_>, name: &ServerName) {
        let Some((server, link)) = self.link_mut(step, name) else {
            return;
        };
        link.unheld.clear();
        link.releasing.clear();
        link.unconfirmed.clear();
        link.to_grant = step.state.servers().get(server).owned.clone();
        link.changed_at = step.now;
        self.grants_due.insert(server);
        self.drop_outdated_moves(step);
    }

    fn proposal_ended(&mut self, step: &mut Step<'_>, name: &ServerName) {
        if let Some((_, link)) = self.link_mut(step, name) {
            link.proposed = false;
        }
    }

    /// A proposed assignment had no effect, so a released shard needs another assignment.
    fn assignment_ended(&mut self, service: &ServiceName, shard: ShardId) {
        self.pending.remove(service, shard);
        if let Some(planned) = self.moves.get_mut(service, shard) {
            if planned.phase == Phase::Committing {
                planned.phase = Phase::Released;
            }
        }
    }

    pub(super) fn propose_failed(&mut self, step: &mut Step<'_>, command: &Command) {
        match command {
            Command::AcceptBundle(_) => {}
            Command::Assign(batch) => {
                for assignment in &batch.assignments {
                    self.assignment_ended(&assignment.service, assignment.shard);
                }
            }
            Command::SetStanding(change) => self.proposal_ended(step, &change.server),
            Command::RegisterBoot(boot) => self.proposal_ended(step, &boot.server),
        }
    }

    pub(super) fn drop_outdated_moves(&mut self, step: &Step<'_>) {
        for (_, shard, outdated) in self.moves.drop_outdated(step.state) {
            if let Some(link) = self.links.get_mut(&outdated.from) {
                link.releasing.remove(&shard);
                link.unheld.remove(&shard);
                link.unconfirmed.remove(&shard);
            }
        }
    }

    pub(super) fn link_mut(
        &mut self,
        step: &Step<'_>,
        name: &ServerName,
    ) -> Option<(ServerIndex, &mut ServerLink)> {
        let server = step.state.servers().find(name)?;
        Some((server, self.links.get_mut(&server)?))
    }
}
