//! Grants of committed assignments, and the comparison of held shards with committed ones.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::{
    Grant, GrantAnswer, GrantRefusalReason, GrantRequest, HeartbeatAnswer, HeldShard,
    HoldingsAnswer, PreviousOwner, ReleaseRequest, ServerName, ServerStanding, ShardId,
};

use super::link::ServerLink;
use super::moves::Move;
use super::step::Step;
use super::types::CoordinatorOutput;
use super::Coordinator;
use crate::state::{OwnershipState, ServerEntry, ServerIndex};

/// Most shards in one grant or release request.
pub(super) const SHARDS_PER_REQUEST: usize = 2_000;

impl Coordinator {
    /// Sends grants to the servers for which they may be due.
    pub(super) fn send_grants(&mut self, step: &mut Step<'_>) {
        if !step.leads() {
            return;
        }
        for server in std::mem::take(&mut self.grants_due) {
            self.send_grant(step, server);
        }
    }

    fn send_grant(&mut self, step: &mut Step<'_>, server: ServerIndex) {
        let Some(link) = self.links.get(&server) else {
            return;
        };
        let entry = step.state.servers().get(server);
        let ready = link.leased && link.boot == entry.boot;
        if !ready || link.grant_in_flight || link.grant_on_hold || link.to_grant.is_empty() {
            return;
        }
        let Some(session) = link.session else {
            return;
        };
        if self.withholds_grants(step.now, step.state, server) {
            return self.supervise_soon(step.now);
        }
        let grants = self.grants_for(step.state, link, entry);
        let Some(link) = self.links.get_mut(&server).filter(|_| !grants.is_empty()) else {
            return;
        };
        link.grant_in_flight = true;
        step.outputs.push(CoordinatorOutput::Grant {
            server: link.name.clone(),
            address: link.address.clone(),
            request: GrantRequest {
                group: self.config.group,
                term: self.term,
                session,
                grants,
            },
        });
    }

    /// Whether a draining server is not granted again the shards that it lost with its lease, since another
    /// server can receive them. This also applies until the servers have had time to answer, since a new
    /// leader doesn't know at first which ones are available.
    fn withholds_grants(&self, now: Duration, state: &OwnershipState, server: ServerIndex) -> bool {
        let entry = state.servers().get(server);
        if entry.effective_standing() == ServerStanding::Active {
            return false;
        }
        let Some(service) = state.services().get(&entry.service) else {
            return false;
        };
        if now < self.settled_at() {
            return true;
        }
        let mut others = service.servers.iter();
        others.any(|&other| self.can_receive(now, state, other))
    }

    /// Grants that are due; shards that are being moved or reassigned are excluded.
    fn grants_for(
        &self,
        state: &OwnershipState,
        link: &ServerLink,
        entry: &ServerEntry,
    ) -> Vec<Grant> {
        let service = &link.service;
        let wanted = link.to_grant.iter().copied().filter(|&shard| {
            let owned = entry.owned.contains(&shard) && !link.unheld.contains(&shard);
            owned && !self.pending.contains(service, shard) && !self.moves.contains(service, shard)
        });
        let grants = wanted.filter_map(|shard| grant(state, entry, shard));
        grants.take(SHARDS_PER_REQUEST).collect()
    }

    pub(super) fn grant_answered(
        &mut self,
        step: &mut Step<'_>,
        name: &ServerName,
        answer: &GrantAnswer,
    ) {
        let Some((server, entry)) = step.state.servers().by_name(name) else {
            return;
        };
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        link.grant_in_flight = false;
        link.changed_at = step.now;
        self.grants_due.insert(server);
        if link.boot != Some(answer.boot) {
            link.grant_on_hold = true;
            return;
        }
        for held in &answer.accepted {
            if owned_epoch(step.state, entry, held.shard) == Some(held.epoch) {
                link.to_grant.remove(&held.shard);
            }
        }
        for refusal in &answer.refused {
            link.grant_on_hold = true;
            match refusal.reason {
                GrantRefusalReason::StaleEpoch => {
                    if owned_epoch(step.state, entry, refusal.shard) == Some(refusal.epoch) {
                        link.to_grant.remove(&refusal.shard);
                        link.unheld.insert(refusal.shard);
                        let released = Move::released(server, refusal.epoch);
                        self.moves.insert(&link.service, refusal.shard, released);
                    }
                }
                GrantRefusalReason::Draining => link.reports_draining = true,
                GrantRefusalReason::StaleTerm
                | GrantRefusalReason::StaleSession
                | GrantRefusalReason::NoLease => {}
            }
        }
        if link.grant_on_hold {
            self.supervise_soon(step.now);
        }
    }

    pub(super) fn grant_failed(&mut self, step: &mut Step<'_>, name: &ServerName) {
        let Some(server) = step.state.servers().find(name) else {
            return;
        };
        if let Some(link) = self.links.get_mut(&server) {
            link.grant_in_flight = false;
            link.grant_on_hold = true;
            link.changed_at = step.now;
        }
    }

    /// Schedules grants or requests the list of held shards if the held shards differ from the committed
    /// ones.
    pub(super) fn compare_holdings(
        &mut self,
        step: &mut Step<'_>,
        server: ServerIndex,
        answer: &HeartbeatAnswer,
        sent_at: Duration,
    ) {
        self.grants_due.insert(server);
        let entry = step.state.servers().get(server);
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        let as_committed =
            answer.held as usize == entry.owned.len() && answer.held_checksum == entry.checksum;
        if as_committed {
            if !link.grant_in_flight {
                link.to_grant.clear();
            }
            return;
        }
        if link.boot != entry.boot || !link.leased || link.holdings_in_flight {
            return;
        }
        if answer.held == 0 {
            let missing = entry.owned.difference(&link.unheld);
            link.to_grant.extend(missing);
            return;
        }
        let in_flux = !link.to_grant.is_empty()
            || !link.unheld.is_empty()
            || !link.releasing.is_empty()
            || !link.unconfirmed.is_empty()
            || link.grant_in_flight
            || link.changed_at >= sent_at;
        if in_flux && step.now < link.changed_at + self.config.lease {
            return;
        }
        link.holdings_in_flight = true;
        link.changed_at = step.now;
        step.outputs.push(CoordinatorOutput::Holdings {
            server: link.name.clone(),
            address: link.address.clone(),
            group: self.config.group,
        });
    }

    pub(super) fn holdings_answered(
        &mut self,
        step: &mut Step<'_>,
        name: &ServerName,
        answer: &HoldingsAnswer,
    ) {
        let Some((server, entry)) = step.state.servers().by_name(name) else {
            return;
        };
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        link.holdings_in_flight = false;
        if link.session != Some(answer.session) {
            return;
        }
        let held: BTreeMap<ShardId, &HeldShard> = answer
            .shards
            .iter()
            .filter(|held| held.service == link.service)
            .map(|held| (held.shard, held))
            .collect();
        let missing = entry.owned.iter().copied().filter(|shard| {
            let epoch = held.get(shard).map(|held| held.epoch);
            epoch != owned_epoch(step.state, entry, *shard) && !link.unheld.contains(shard)
        });
        link.to_grant = missing.collect();
        let surplus: Vec<HeldShard> = answer
            .shards
            .iter()
            .filter(|held| is_surplus(step.state, server, held))
            .take(SHARDS_PER_REQUEST)
            .cloned()
            .collect();
        let may_ask = step.leads() && !link.release_in_flight;
        if !surplus.is_empty() && may_ask {
            link.release_in_flight = true;
            let (name, address) = (link.name.clone(), link.address.clone());
            self.send_release(step, name, address, surplus);
        }
        self.grants_due.insert(server);
    }

    pub(super) fn send_release(
        &mut self,
        step: &mut Step<'_>,
        server: ServerName,
        address: grebepin_schema::SocketAddress,
        shards: Vec<HeldShard>,
    ) {
        step.outputs.push(CoordinatorOutput::Release {
            server,
            address,
            request: ReleaseRequest {
                group: self.config.group,
                term: self.term,
                shards,
            },
        });
    }
}

/// Epoch of a shard; `None` if the server doesn't own it.
pub(super) fn owned_epoch(
    state: &OwnershipState,
    entry: &ServerEntry,
    shard: ShardId,
) -> Option<grebepin_schema::Epoch> {
    let owned = entry.owned.contains(&shard);
    let service = state.services().get(&entry.service).filter(|_| owned)?;
    Some(service.shard(shard)?.epoch)
}

/// Whether a server holds a shard at an epoch that ended with an assignment to another server, or holds
/// one that doesn't exist.
fn is_surplus(state: &OwnershipState, server: ServerIndex, held: &HeldShard) -> bool {
    let service = state.services().get(&held.service);
    let Some(shard) = service.and_then(|service| service.shard(held.shard)) else {
        return true;
    };
    held.epoch < shard.epoch && shard.owner != Some(server)
}

fn grant(state: &OwnershipState, entry: &ServerEntry, shard: ShardId) -> Option<Grant> {
    let service = state.services().get(&entry.service)?;
    let committed = service.shard(shard)?;
    let previous = committed.previous.map(|previous| {
        let server = &state.servers().get(previous.server).server;
        PreviousOwner {
            server: server.name.clone(),
            address: server.address.clone(),
            epoch: previous.epoch,
            released: previous.released,
        }
    });
    Some(Grant {
        service: entry.service.clone(),
        shard,
        epoch: committed.epoch,
        previous,
    })
}
