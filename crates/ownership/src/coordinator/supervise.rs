//! Looks over the services: shards of silent servers, shards without an owner, servers that leave, and
//! balance.
//!
//! Invariant: a silent server's shards are assigned elsewhere only once any lease it may hold has ended.

use std::time::Duration;

use grebepin_placement::LeastLoaded;
use grebepin_schema::{AssignShards, Assignment, Command, ServerName, ServiceName, ShardId};

use super::moves::{Move, Phase, Reason};
use super::step::Step;
use super::view::ServiceView;
use super::Coordinator;
use crate::guards::Guard;
use crate::state::{ServerIndex, ServiceState};

/// Assignments in one command.
const ASSIGNMENTS_PER_COMMAND: usize = 2_048;

/// Assignments proposed and not applied, at most.
const MAXIMUM_PENDING: usize = 16_384;

/// Shards of a leaving server that may move at once, whatever the limits on churn.
const LEAVING_AT_ONCE: usize = 64;

/// Fraction of a leaving server's shards that may move at once.
const LEAVING_FRACTION: usize = 4;

/// Heartbeats that servers get to show up before shards without an owner are handed out.
const HEARTBEATS_TO_SETTLE: u32 = 3;

/// Least time between two looks, as a fraction of a heartbeat's interval.
const LEAST_PAUSE: u32 = 40;

/// Usual time between two looks, in heartbeats.
const USUAL_PAUSE: u32 = 5;

impl Coordinator {
    /// Has the services looked over as soon as the least pause allows.
    pub(super) fn supervise_soon(&mut self, now: Duration) {
        let earliest = self.last_look + self.config.heartbeat / LEAST_PAUSE;
        self.next_look = self.next_look.min(now.max(earliest));
    }

    pub(super) fn supervise(&mut self, step: &mut Step<'_>) {
        if step.now < self.next_look {
            return;
        }
        self.last_look = step.now;
        self.next_look = step.now + self.config.heartbeat * USUAL_PAUSE;
        for (name, service) in step.state.services() {
            self.look_over(step, name, service);
        }
        self.look_at_bounds(step.now);
    }

    /// Looks again when the bound of a silent server passes.
    fn look_at_bounds(&mut self, now: Duration) {
        let silent = self
            .silent
            .iter()
            .filter_map(|server| self.links.get(server));
        let bounds = silent.map(|link| link.fenced_until());
        if let Some(bound) = bounds.filter(|bound| *bound > now).min() {
            self.next_look = self.next_look.min(bound);
        }
    }

    fn look_over(&mut self, step: &mut Step<'_>, name: &ServiceName, service: &ServiceState) {
        let view = self.view(step.now, step.state, name, service);
        let mut receivers = view.receivers(&self.load);
        let mut batch = Vec::new();
        self.take_lost(step, name, service, &view, &mut receivers, &mut batch);
        self.place_unowned(step, name, service, &view, &mut receivers, &mut batch);
        self.commit_released(step, name, service, &view, &mut receivers, &mut batch);
        self.propose_assignments(step, name, batch);
        self.start_leaving(step, name, service, &view, &mut receivers);
        self.start_balance(step, name, service);
    }

    /// Gives the shards of silent servers to others.
    fn take_lost(
        &mut self,
        step: &Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
        view: &ServiceView,
        receivers: &mut LeastLoaded,
        batch: &mut Vec<(Assignment, Option<ServerIndex>)>,
    ) {
        for lost in view.servers.iter().filter(|server| server.silent) {
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
                self.forget_move(name, shard, lost.index);
                batch.push((assignment(step, name, service, shard, next, false), next));
            }
        }
    }

    /// When every server that is well has shown up.
    pub(super) fn settled_at(&self) -> Duration {
        self.settle_since + self.config.heartbeat * HEARTBEATS_TO_SETTLE
    }

    /// Whether a server is silent and surely holds nothing any more.
    fn is_lost(&self, now: Duration, server: ServerIndex) -> bool {
        let Some(link) = self.links.get(&server) else {
            return false;
        };
        let fenced = now >= link.fenced_until() || !self.config.guards.has(Guard::FencingBound);
        fenced && link.is_silent(now, self.config.lease)
    }

    fn forget_move(&mut self, service: &ServiceName, shard: ShardId, from: ServerIndex) {
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
            self.next_look = self.next_look.min(settled_at);
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

    /// Proposes new owners of released shards: the one planned, else the least loaded, else the owner
    /// until now, even if it leaves.
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

    /// Starts moving the shards of servers that leave.
    fn start_leaving(
        &mut self,
        step: &mut Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
        view: &ServiceView,
        receivers: &mut LeastLoaded,
    ) {
        let policy = &service.service.churn;
        for leaving in view.servers.iter().filter(|server| server.leaving) {
            let entry = step.state.servers().get(leaving.index);
            let at_once = LEAVING_AT_ONCE
                .max(policy.concurrent_moves.get() as usize)
                .max(entry.owned.len() / LEAVING_FRACTION);
            let under_way = self
                .moves
                .of(name)
                .filter(|(_, planned)| planned.from == leaving.index);
            let room = at_once.saturating_sub(under_way.count());
            let free: Vec<ShardId> = self.free_shards(name, leaving.index, step, room);
            for shard in free {
                let to = receivers
                    .take()
                    .map(|position| view.servers[position].index);
                if to.is_none() && !service.removed {
                    break;
                }
                self.start(service, name, shard, leaving.index, to, Reason::Leaving);
            }
        }
    }

    /// Shards of a server that nothing is under way for.
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
        MAXIMUM_PENDING
            .checked_sub(self.pending.len() + in_batch)
            .filter(|room| *room > 0)
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
