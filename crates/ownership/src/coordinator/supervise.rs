//! Periodic supervision of the services: unresponsive servers, shards without an owner, draining servers
//! and balance.
//!
//! Invariant: an unresponsive server's shards are reassigned only after any lease it may hold has ended.

use std::time::Duration;

use grebepin_placement::LeastLoaded;
use grebepin_schema::{AssignShards, Assignment, Command, ServerName, ServiceName, ShardId};

use super::moves::{Move, Phase, Reason};
use super::step::Step;
use super::view::ServiceView;
use super::Coordinator;
use crate::guards::Guard;
use crate::state::{ServerIndex, ServiceState};

/// Most assignments in one command.
const ASSIGNMENTS_PER_COMMAND: usize = 2_048;

/// Most assignments that are proposed and not applied yet.
const MAX_PENDING: usize = 16_384;

/// Shards of a draining server that may always move concurrently, regardless of the churn limits.
const MINIMUM_DRAIN_MOVES: usize = 64;

/// One in this many shards of a draining server may move concurrently, if that is more.
const DRAIN_FRACTION: usize = 4;

/// Heartbeat intervals that servers have to answer before shards without an owner are assigned.
const HEARTBEATS_TO_SETTLE: u32 = 3;

/// Most passes of supervision in one heartbeat interval.
const SUPERVISIONS_PER_HEARTBEAT: u32 = 40;

/// Time between two passes of supervision without a particular reason, in heartbeat intervals.
const HEARTBEATS_BETWEEN_SUPERVISIONS: u32 = 5;

impl Coordinator {
    /// Schedules supervision for the earliest time that the minimum interval allows.
    pub(super) fn supervise_soon(&mut self, now: Duration) {
        let earliest = self.last_supervision + self.config.heartbeat / SUPERVISIONS_PER_HEARTBEAT;
        self.next_supervision = self.next_supervision.min(now.max(earliest));
    }

    pub(super) fn supervise(&mut self, step: &mut Step<'_>) {
        if step.now < self.next_supervision {
            return;
        }
        self.last_supervision = step.now;
        self.next_supervision = step.now + self.config.heartbeat * HEARTBEATS_BETWEEN_SUPERVISIONS;
        for (name, service) in step.state.services() {
            self.supervise_service(step, name, service);
        }
        self.schedule_fencing_checks(step.now);
    }

    /// Schedules supervision for the time at which the next unresponsive server is fenced.
    fn schedule_fencing_checks(&mut self, now: Duration) {
        let unresponsive = self
            .unresponsive
            .iter()
            .filter_map(|server| self.links.get(server));
        let bounds = unresponsive.map(|link| link.fenced_until());
        if let Some(bound) = bounds.filter(|bound| *bound > now).min() {
            self.next_supervision = self.next_supervision.min(bound);
        }
    }

    fn supervise_service(
        &mut self,
        step: &mut Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
    ) {
        let view = self.view(step.now, step.state, name, service);
        let mut receivers = view.receivers(&self.load);
        let mut batch = Vec::new();
        self.reassign_lost(step, name, service, &view, &mut receivers, &mut batch);
        self.place_unowned(step, name, service, &view, &mut receivers, &mut batch);
        self.commit_released(step, name, service, &view, &mut receivers, &mut batch);
        self.propose_assignments(step, name, batch);
        self.start_drains(step, name, service, &view, &mut receivers);
        self.start_balance(step, name, service);
    }

    /// Reassigns the shards of lost servers.
    fn reassign_lost(
        &mut self,
        step: &Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
        view: &ServiceView,
        receivers: &mut LeastLoaded,
        batch: &mut Vec<(Assignment, Option<ServerIndex>)>,
    ) {
        for lost in view.servers.iter().filter(|server| server.unresponsive) {
            if !self.is_lost(step.now, lost.index) {
                continue;
            }
            for &shard in &step.state.servers().get(lost.index).owned {
                if self.pending.contains(name, shard) || self.has_room(batch.len()).is_none() {
                    continue;
                }
                let next = receivers.take();
                if next.is_none() && !service.removed {
                    break;
                }
                let next = next.map(|position| view.servers[position].index);
                self.remove_move(name, shard, lost.index);
                batch.push((assignment(step, name, service, shard, next, false), next));
            }
        }
    }

    /// Time by which every available server is expected to have answered.
    pub(super) fn settled_at(&self) -> Duration {
        self.settle_since + self.config.heartbeat * HEARTBEATS_TO_SETTLE
    }

    /// Whether a server is unresponsive and certainly holds no shards any more.
    fn is_lost(&self, now: Duration, server: ServerIndex) -> bool {
        let Some(link) = self.links.get(&server) else {
            return false;
        };
        let fenced =
            now >= link.fenced_until() || !self.config.guards.is_enabled(Guard::FencingBound);
        fenced && link.is_unresponsive(now, self.config.lease)
    }

    fn remove_move(&mut self, service: &ServiceName, shard: ShardId, from: ServerIndex) {
        self.moves.remove(service, shard);
        if let Some(link) = self.links.get_mut(&from) {
            link.releasing.remove(&shard);
        }
    }

    fn place_unowned(
        &mut self,
        step: &Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
        view: &ServiceView,
        receivers: &mut LeastLoaded,
        batch: &mut Vec<(Assignment, Option<ServerIndex>)>,
    ) {
        if service.unowned.is_empty() || service.removed {
            return;
        }
        let settled_at = self.settled_at();
        if step.now < settled_at && !view.all_ready() {
            self.next_supervision = self.next_supervision.min(settled_at);
            return;
        }
        for &shard in &service.unowned {
            if self.has_room(batch.len()).is_none() {
                return;
            }
            if self.pending.contains(name, shard) {
                continue;
            }
            let Some(position) = receivers.take() else {
                return;
            };
            let next = Some(view.servers[position].index);
            batch.push((assignment(step, name, service, shard, next, false), next));
        }
    }

    /// Proposes new owners of released shards: the planned one, else the least loaded one, else the current
    /// owner, even if it is draining.
    fn commit_released(
        &mut self,
        step: &Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
        view: &ServiceView,
        receivers: &mut LeastLoaded,
        batch: &mut Vec<(Assignment, Option<ServerIndex>)>,
    ) {
        let released: Vec<(ShardId, Move)> = self
            .moves
            .of(name)
            .filter(|(_, planned)| planned.phase == Phase::Released)
            .map(|(shard, planned)| (shard, *planned))
            .collect();
        for (shard, planned) in released {
            if self.pending.contains(name, shard) {
                continue;
            }
            let planned_to = planned.to.filter(|&to| view.is_eligible(to));
            let next = planned_to.or_else(|| {
                let mut other = || Some(view.servers[receivers.take()?].index);
                let first = other();
                first.filter(|&next| next != planned.from).or_else(other)
            });
            let back = Some(planned.from).filter(|&from| !service.removed && view.is_alive(from));
            let next = next.or(back);
            if next.is_none() && !service.removed {
                continue;
            }
            if let Some(planned) = self.moves.get_mut(name, shard) {
                planned.phase = Phase::Committing;
                planned.to = next;
            }
            batch.push((assignment(step, name, service, shard, next, true), next));
        }
    }

    /// Starts the moves of shards away from draining servers.
    fn start_drains(
        &mut self,
        step: &mut Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
        view: &ServiceView,
        receivers: &mut LeastLoaded,
    ) {
        let policy = &service.service.churn;
        for draining in view.servers.iter().filter(|server| server.draining) {
            let entry = step.state.servers().get(draining.index);
            let concurrent = MINIMUM_DRAIN_MOVES
                .max(policy.concurrent_moves.get() as usize)
                .max(entry.owned.len() / DRAIN_FRACTION);
            let in_progress = self
                .moves
                .of(name)
                .filter(|(_, planned)| planned.from == draining.index);
            let remaining = concurrent.saturating_sub(in_progress.count());
            let free: Vec<ShardId> = self.free_shards(name, draining.index, step, remaining);
            for shard in free {
                let to = receivers
                    .take()
                    .map(|position| view.servers[position].index);
                if to.is_none() && !service.removed {
                    break;
                }
                self.start(service, name, shard, draining.index, to, Reason::Drain);
            }
        }
    }

    /// Shards of a server without a move or assignment in progress.
    fn free_shards(
        &self,
        name: &ServiceName,
        server: ServerIndex,
        step: &Step<'_>,
        limit: usize,
    ) -> Vec<ShardId> {
        let owned = step.state.servers().get(server).owned.iter().copied();
        let free = owned.filter(|&shard| self.is_free(name, shard));
        free.take(limit).collect()
    }

    pub(super) fn is_free(&self, name: &ServiceName, shard: ShardId) -> bool {
        !self.moves.contains(name, shard) && !self.pending.contains(name, shard)
    }

    pub(super) fn start(
        &mut self,
        service: &ServiceState,
        name: &ServiceName,
        shard: ShardId,
        from: ServerIndex,
        to: Option<ServerIndex>,
        reason: Reason,
    ) {
        if let Some(state) = service.shard(shard) {
            self.start_move(name, shard, Move::planned(from, state.epoch, to, reason));
        }
    }

    fn has_room(&self, in_batch: usize) -> Option<usize> {
        MAX_PENDING
            .checked_sub(self.pending.len() + in_batch)
            .filter(|remaining| *remaining > 0)
    }

    fn propose_assignments(
        &mut self,
        step: &mut Step<'_>,
        name: &ServiceName,
        batch: Vec<(Assignment, Option<ServerIndex>)>,
    ) {
        let mut assignments = Vec::with_capacity(batch.len().min(ASSIGNMENTS_PER_COMMAND));
        for (assignment, next) in batch {
            self.pending.insert(name, assignment.shard, next);
            assignments.push(assignment);
            if assignments.len() == ASSIGNMENTS_PER_COMMAND {
                propose(step, std::mem::take(&mut assignments));
            }
        }
        propose(step, assignments);
    }
}

fn propose(step: &mut Step<'_>, assignments: Vec<Assignment>) {
    if !assignments.is_empty() {
        step.propose(Command::Assign(AssignShards { assignments }));
    }
}

fn assignment(
    step: &Step<'_>,
    name: &ServiceName,
    service: &ServiceState,
    shard: ShardId,
    next: Option<ServerIndex>,
    released: bool,
) -> Assignment {
    let server =
        |index: ServerIndex| -> ServerName { step.state.servers().get(index).server.name.clone() };
    Assignment {
        service: name.clone(),
        shard,
        expected_epoch: service
            .shard(shard)
            .map_or_else(Default::default, |shard| shard.epoch),
        server: next.map(server),
        released,
    }
}
