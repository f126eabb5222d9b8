//! Planned moves: release, commit, grant.
//!
//! Invariant: a shard moves only after its owner released it at the epoch at which the move began.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_schema::{Epoch, HeldShard, ReleaseAnswer, ServerName, ServiceName, ShardId};

use super::grants::{owned_epoch, SHARDS_PER_REQUEST};
use super::step::Step;
use super::Coordinator;
use crate::state::{OwnershipState, ServerIndex};

/// Fraction of a heartbeat's interval after which a busy shard's release is asked again.
const RELEASE_RETRY: u32 = 10;

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The owner is asked to release.
    Releasing,
    /// Released; a new owner is to be proposed.
    Released,
    /// The new owner is proposed.
    Committing,
}

/// Why a shard moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// Its owner leaves.
    Leaving,
    /// For shares, balance or reachability, within the limits on churn.
    Balance,
}

/// One shard on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Move {
    pub from: ServerIndex,
    pub epoch: Epoch,
    /// Chosen anew if it can't receive when the shard is released.
    pub to: Option<ServerIndex>,
    pub reason: Reason,
    pub phase: Phase,
}

impl Move {
    /// A move that begins with the release by its owner.
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

    /// A shard found to be released, as by an earlier leader's move.
    pub fn released(from: ServerIndex, epoch: Epoch) -> Self {
        Self {
            phase: Phase::Released,
            ..Self::planned(from, epoch, None, Reason::Leaving)
        }
    }
}

/// Moves under way, by service and shard.
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

    /// Starts a move, unless one of the shard is under way.
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

    /// Drops moves whose shard is no longer owned as when they began, and gives them.
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
            self.to_release.insert(planned.from);
        }
    }

    /// Asks for the releases that are due.
    pub(super) fn send_releases(&mut self, step: &mut Step<'_>) {
        self.next_release = None;
        if !step.leads() {
            return;
        }
        let mut later = BTreeSet::new();
        for server in std::mem::take(&mut self.to_release) {
            let Some(link) = self.links.get_mut(&server) else {
                continue;
            };
            let entry = step.state.servers().get(server);
            let is_registered = link.boot.is_some() && link.boot == entry.boot;
            if link.release_under_way || link.releasing.is_empty() || !is_registered {
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
            link.release_under_way = true;
            let (name, address) = (link.name.clone(), link.address.clone());
            self.ask_release(step, name, address, shards);
        }
        self.to_release = later;
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
        link.release_under_way = false;
        link.next_release = step.now + self.config.heartbeat / RELEASE_RETRY;
        link.changed_at = step.now;
        let still_owned = answer
            .released
            .iter()
            .filter(|held| owned_epoch(step.state, entry, held.shard) == Some(held.epoch));
        link.note_released(step.now, still_owned.map(|held| held.shard));
        self.due.insert((link.next_heartbeat, server));
        self.to_release.insert(server);
    }

    /// Goes on with moves whose release the registered start of the server confirmed.
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
            self.to_release.insert(server);
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
            link.release_under_way = false;
            link.next_release = step.now + self.config.heartbeat / RELEASE_RETRY;
            link.changed_at = step.now;
            self.to_release.insert(server);
        }
    }
}
