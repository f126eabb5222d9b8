//! Input of placement for one service: which servers can receive shards, their target shares, and their
//! shard counts after all moves and assignments in progress.

use std::time::Duration;

use grebepin_placement::{target_weights, LeastLoaded};
use grebepin_schema::{MachineState, ServerStanding, ServiceName, ShardId};

use super::link::ServerLink;
use super::load::Load;
use super::Coordinator;
use crate::state::{OwnershipState, ServerEntry, ServerIndex, ServiceState};

/// One server of a service, as input of placement.
#[derive(Clone, Debug)]
pub(super) struct ServerView {
    pub index: ServerIndex,
    /// Can receive shards now.
    pub eligible: bool,
    /// Answers heartbeats, has a lease, and its boot number is registered.
    pub alive: bool,
    /// Takes part in balancing. Unlike `eligible`, this ignores the platform's list of machines.
    pub settled: bool,
    /// Its shards are moved away at once, without regard to the limit on moves per minute.
    pub draining: bool,
    /// Routers can't reach it, so its shards are moved away within the churn limits.
    pub unreachable: bool,
    pub unresponsive: bool,
    /// Target share of the shards, relative to the other servers; 0 unless it is eligible.
    pub weight: f64,
    /// Number of shards that it owns, with shards in progress counted at their next owner.
    pub count: usize,
}

/// The servers of one service, by position.
#[derive(Clone, Debug)]
pub(super) struct ServiceView {
    pub servers: Vec<ServerView>,
}

impl ServiceView {
    /// Servers that can receive shards, the least loaded first.
    pub fn receivers(&self, load: &Load) -> LeastLoaded {
        let weights = self.servers.iter().map(|server| server.weight).collect();
        let counts = self.servers.iter().map(|server| server.count).collect();
        LeastLoaded::with_loads(weights, counts, &load.of_servers(self))
    }

    pub fn is_eligible(&self, index: ServerIndex) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|server| server.index == index && server.weight > 0.0)
    }

    /// Whether a server can keep a released shard that no other server can receive.
    pub fn is_alive(&self, index: ServerIndex) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|server| server.index == index && server.alive)
    }

    /// Whether a server that isn't draining owns shards without being available: it may lose them or become
    /// available again.
    pub fn is_in_flux(&self) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|server| !server.alive && !server.draining && server.count > 0)
    }

    /// Whether every server that isn't draining can receive shards.
    pub fn all_ready(&self) -> bool {
        let mut servers = self.servers.iter();
        servers.all(|server| server.eligible || server.draining)
    }
}

impl Coordinator {
    pub(super) fn view(
        &self,
        now: Duration,
        state: &OwnershipState,
        name: &ServiceName,
        service: &ServiceState,
    ) -> ServiceView {
        let servers = service.servers.iter();
        let mut view = ServiceView {
            servers: servers
                .map(|&index| self.server_view(now, state, index))
                .collect(),
        };
        self.prefer_running_machines(state, &mut view);
        set_weights(service, &mut view);
        self.count_in_progress(state, name, service, &mut view);
        view
    }

    /// Shards that are being moved or assigned, each with its next owner.
    pub(super) fn in_progress<'a>(
        &'a self,
        name: &'a ServiceName,
    ) -> impl Iterator<Item = (ShardId, Option<ServerIndex>)> + 'a {
        let moves = self.moves.of(name);
        let moving = moves.map(|(shard, planned)| (shard, planned.to));
        let proposed = self.pending.of(name);
        moving.chain(proposed.filter(|(shard, _)| !self.moves.contains(name, *shard)))
    }

    /// Whether a server can receive shards now.
    pub(super) fn can_receive(
        &self,
        now: Duration,
        state: &OwnershipState,
        server: ServerIndex,
    ) -> bool {
        self.server_view(now, state, server).eligible && has_share(state, server)
    }

    fn server_view(&self, now: Duration, state: &OwnershipState, index: ServerIndex) -> ServerView {
        let entry = state.servers().get(index);
        let link = self.links.get(&index);
        let alive = link.is_some_and(|link| is_available(link, entry));
        let draining = entry.effective_standing() != ServerStanding::Active
            || link.is_some_and(|link| link.reports_draining);
        let reachable = link.is_some_and(|link| link.unreachable_until <= now);
        ServerView {
            index,
            eligible: alive && !draining && reachable,
            alive,
            settled: alive && !draining && reachable,
            draining,
            unreachable: alive && !draining && !reachable,
            unresponsive: link.is_some_and(|link| link.is_unresponsive(now, self.config.lease)),
            weight: 0.0,
            count: entry.owned.len(),
        }
    }

    /// Servers that the platform lists as leaving or gone are eligible only if no other server is.
    fn prefer_running_machines(&self, state: &OwnershipState, view: &mut ServiceView) {
        let listed_as_leaving = |server: &ServerView| {
            let link = self.links.get(&server.index);
            let machine = link.and_then(|link| link.machine);
            matches!(machine, Some(MachineState::Leaving | MachineState::Gone))
        };
        let mut servers = view.servers.iter();
        let has_preferred = servers.any(|server| {
            server.eligible && !listed_as_leaving(server) && has_share(state, server.index)
        });
        for server in view.servers.iter_mut().filter(|_| has_preferred) {
            server.eligible &= !listed_as_leaving(server);
        }
    }

    /// Counts shards in progress at their next owner.
    fn count_in_progress(
        &self,
        state: &OwnershipState,
        name: &ServiceName,
        service: &ServiceState,
        view: &mut ServiceView,
    ) {
        for (shard, to) in self.in_progress(name) {
            let owner = service.shard(shard).and_then(|shard| shard.owner);
            let from = owner.and_then(|owner| position_of(state, name, owner));
            if let Some(from) = from.and_then(|from| view.servers.get_mut(from)) {
                from.count = from.count.saturating_sub(1);
            }
            let to = to.and_then(|to| position_of(state, name, to));
            if let Some(to) = to.and_then(|to| view.servers.get_mut(to)) {
                to.count += 1;
            }
        }
    }
}

/// Position of a server in a service; `None` if it doesn't belong to it.
pub(super) fn position_of(
    state: &OwnershipState,
    service: &ServiceName,
    server: ServerIndex,
) -> Option<usize> {
    let entry = state.servers().try_get(server)?;
    (entry.service == *service).then_some(entry.position as usize)
}

/// Whether a server answers heartbeats, has a lease, and its boot number is registered.
fn is_available(link: &ServerLink, entry: &ServerEntry) -> bool {
    link.leased && link.failures == 0 && link.boot == entry.boot
}

/// Whether the bundle gives a server's side a share above 0.
fn has_share(state: &OwnershipState, server: ServerIndex) -> bool {
    let entry = state.servers().get(server);
    let service = state.services().get(&entry.service);
    let sides = service
        .into_iter()
        .flat_map(|service| &service.service.sides);
    let mut shares = sides.filter(|share| share.side == entry.server.side);
    shares.any(|share| share.share > 0)
}

/// Sets the weights according to the sides' shares.
fn set_weights(service: &ServiceState, view: &mut ServiceView) {
    let eligible: Vec<bool> = view.servers.iter().map(|server| server.eligible).collect();
    let weights = weights(service, &eligible);
    for (server, weight) in view.servers.iter_mut().zip(weights) {
        server.weight = weight;
    }
}

/// Weight of each server that can receive shards; removed servers follow the bundle's and have weight 0.
pub(super) fn weights(service: &ServiceState, eligible: &[bool]) -> Vec<f64> {
    let listed = &service.service;
    let mut weights = target_weights(&listed.sides, &listed.servers, eligible);
    weights.resize(service.servers.len(), 0.0);
    weights
}
