//! Planned moves of shards: release, commit, grant.
//!
//! Invariant: a shard moves only after its owner released it at the epoch at which the move began.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_schema::{Epoch, HeldShard, ReleaseAnswer, ServerName, ServiceName, ShardId};

use super::grants::{owned_epoch, SHARDS_PER_REQUEST};
use super::step::Step;
use super::Coordinator;
use crate::state::{OwnershipState, ServerIndex};

/// Release requests per heartbeat interval to a server whose shards are still busy.
const RELEASE_RETRIES_PER_HEARTBEAT: u32 = 10;

/// Phase of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The release by the owner is pending.
    Releasing,
    /// Released; the assignment to a new owner has to be proposed.
    Released,
    /// The assignment to the new owner is proposed and not applied yet.
    Committing,
}

/// Reason of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// The owner is draining or removed. The limit on moves per minute doesn't apply.
    Drain,
    /// Shares, load or reachability, within the churn limits.
    Balance,
}

/// The move of one shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Move {
    pub from: ServerIndex,
    pub epoch: Epoch,
    /// New owner. Another one is chosen if this one is not eligible when the shard is released.
    pub to: Option<ServerIndex>,
    pub reason: Reason,
    pub phase: Phase,
}

impl Move {
    /// A move that starts with the release by the owner.
    pub fn planned(
        from: ServerIndex,
        epoch: Epoch,
        to: Option<ServerIndex>,
        reason: Reason,
    ) -> Self {
        Self {
            from,
            epoch,
            to,
            reason,
            phase: Phase::Releasing,
        }
    }

    /// A move of a shard that is already released, for instance by a move of an earlier leader.
    pub fn released(from: ServerIndex, epoch: Epoch) -> Self {
        Self {
            phase: Phase::Released,
            ..Self::planned(from, epoch, None, Reason::Drain)
        }
    }
}

/// Moves in progress, by service and shard.
#[derive(Debug, Default)]
pub(super) struct Moves {
    services: BTreeMap<ServiceName, BTreeMap<ShardId, Move>>,
}

impl Moves {
    pub fn len(&self) -> usize {
        self.services.values().map(BTreeMap::len).sum()
    }

    pub fn contains(&self, service: &ServiceName, shard: ShardId) -> bool {
        let moves = self.services.get(service);
        moves.is_some_and(|moves| moves.contains_key(&shard))
    }

    /// Moves of one service.
    pub fn of(&self, service: &ServiceName) -> impl Iterator<Item = (ShardId, &Move)> {
        let moves = self.services.get(service).into_iter().flatten();
        moves.map(|(shard, planned)| (*shard, planned))
    }

    pub fn get_mut(&mut self, service: &ServiceName, shard: ShardId) -> Option<&mut Move> {
        self.services.get_mut(service)?.get_mut(&shard)
    }

    /// Adds a move, unless the shard has one in progress.
    pub fn insert(&mut self, service: &ServiceName, shard: ShardId, planned: Move) {
        let moves = match self.services.get_mut(service) {
            Some(moves) => moves,
            None => self.services.entry(service.clone()).or_default(),
        };
        moves.entry(shard).or_insert(planned);
    }

    pub fn remove(&mut self, service: &ServiceName, shard: ShardId) -> Option<Move> {
        self.services.get_mut(service)?.remove(&shard)
    }

    /// Removes and returns the moves whose shard has another owner or epoch than at their start.
    pub fn drop_outdated(&mut self, state: &OwnershipState) -> Vec<(ServiceName, ShardId, Move)> {
        let mut dropped = Vec::new();
        for (name, moves) in &mut self.services {
            let service = state.services().get(name);
            moves.retain(|&shard, planned| {
                let current = service.and_then(|service| service.shard(shard));
                let stays = current.is_some_and(|current| {
                    current.owner == Some(planned.from) && current.epoch == planned.epoch
                });
                if !stays {
                    dropped.push((name.clone(), shard, *planned));
                }
                stays
            });
        }
        dropped
    }
}

impl Coordinator {
    /// Starts moving a shard away from its owner.
    pub(super) fn start_move(&mut self, service: &ServiceName, shard: ShardId, planned: Move) {
        self.moves.insert(service, shard, planned);
        if let Some(link) = self.links.get_mut(&planned.from) {
            link.releasing.insert(shard);
            self.releases_due.insert(planned.from);
        }
    }

    /// Sends the release requests that are due.
    pub(super) fn send_releases(&mut self, step: &mut Step<'_>) {
        self.next_release = None;
        if !step.leads() {
            return;
        }
        let mut later = BTreeSet::new();
        for server in std::mem::take(&mut self.releases_due) {
            let Some(link) = self.links.get_mut(&server) else {
                continue;
            };
            let entry = step.state.servers().get(server);
            let is_registered = link.boot.is_some() && link.boot == entry.boot;
            if link.release_in_flight || link.releasing.is_empty() || !is_registered {
                continue;
            }
            if link.next_release > step.now {
                let earliest = self.next_release.unwrap_or(link.next_release);
                self.next_release = Some(earliest.min(link.next_release));
                later.insert(server);
                continue;
            }
            let owned = link.releasing.iter().filter_map(|&shard| {
                Some(HeldShard {
                    service: link.service.clone(),
                    shard,
                    epoch: owned_epoch(step.state, entry, shard)?,
                })
            });
            let shards: Vec<_> = owned.take(SHARDS_PER_REQUEST).collect();
            if shards.is_empty() {
                link.releasing.clear();
                continue;
            }
            link.release_in_flight = true;
            let (name, address) = (link.name.clone(), link.address.clone());
            self.send_release(step, name, address, shards);
        }
        self.releases_due = later;
    }

    pub(super) fn release_answered(
        &mut self,
        step: &mut Step<'_>,
        name: &ServerName,
        answer: &ReleaseAnswer,
    ) {
        let Some((server, entry)) = step.state.servers().by_name(name) else {
            return;
        };
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        link.release_in_flight = false;
        link.next_release = step.now + self.config.heartbeat / RELEASE_RETRIES_PER_HEARTBEAT;
        link.changed_at = step.now;
        let still_owned = answer
            .released
            .iter()
            .filter(|held| owned_epoch(step.state, entry, held.shard) == Some(held.epoch));
        link.record_released(step.now, still_owned.map(|held| held.shard));
        self.due.insert((link.next_heartbeat, server));
        self.releases_due.insert(server);
    }

    /// Continues the moves whose release is confirmed by a heartbeat answer with the registered boot
    /// number.
    pub(super) fn confirm_releases(
        &mut self,
        step: &mut Step<'_>,
        server: ServerIndex,
        sent_at: Duration,
    ) {
        let entry = step.state.servers().get(server);
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        if link.boot != entry.boot {
            return;
        }
        if !link.releasing.is_empty() {
            self.releases_due.insert(server);
        }
        let confirmed = link.take_confirmed(sent_at);
        if confirmed.is_empty() {
            return;
        }
        for shard in confirmed {
            let Some(epoch) = owned_epoch(step.state, entry, shard) else {
                continue;
            };
            link.to_grant.remove(&shard);
            link.unheld.insert(shard);
            match self.moves.get_mut(&link.service, shard) {
                Some(planned) if planned.phase == Phase::Releasing => {
                    planned.phase = Phase::Released;
                }
                Some(_) => {}
                None => {
                    let released = Move::released(server, epoch);
                    self.moves.insert(&link.service, shard, released);
                }
            }
        }
        self.supervise_soon(step.now);
    }

    pub(super) fn release_failed(&mut self, step: &mut Step<'_>, name: &ServerName) {
        let Some(server) = step.state.servers().find(name) else {
            return;
        };
        if let Some(link) = self.links.get_mut(&server) {
            link.release_in_flight = false;
            link.next_release = step.now + self.config.heartbeat / RELEASE_RETRIES_PER_HEARTBEAT;
            link.changed_at = step.now;
            self.releases_due.insert(server);
        }
    }
}
