//! One service as placement sees it: who may receive shards, what share each should own, and how many
//! it will own once everything under way is done.

use std::time::Duration;

use grebepin_placement::{target_weights, LeastLoaded};
use grebepin_schema::{MachineState, ServerStanding, ServiceName, ShardId};

use super::link::ServerLink;
use super::load::Load;
use super::Coordinator;
use crate::state::{OwnershipState, ServerEntry, ServerIndex, ServiceState};

/// One server of a service.
#[derive(Clone, Debug)]
pub(super) struct ServerView {
    pub index: ServerIndex,
    /// May receive shards now.
    pub eligible: bool,
    /// Answers and has a lease.
    pub alive: bool,
    /// Takes part in balance, even if the platform lists it as leaving.
    pub settled: bool,
    /// Gives up its shards at once.
    pub leaving: bool,
    /// Routers can't reach it, so it gives up its shards within the limits on churn.
    pub unreachable: bool,
    pub silent: bool,
    /// Share of the shards it should own, relative to the others; 0 unless it is eligible.
    pub weight: f64,
    /// Shards it owns, with those on their way counted where they go.
    pub count: usize,
}

/// The servers of one service, by position.
#[derive(Clone, Debug)]
pub(super) struct ServiceView {
    pub servers: Vec<ServerView>,
}

impl ServiceView {
    /// Receivers of shards, the least loaded first.
    pub fn receivers(&self, load: &Load) -> LeastLoaded {
        let weights = self.servers.iter().map(|server| server.weight).collect();
        let counts = self.servers.iter().map(|server| server.count).collect();
        LeastLoaded::with_loads(weights, counts, &load.of_servers(self))
    }

    pub fn is_eligible(&self, index: ServerIndex) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|server| server.index == index && server.weight > 0.0)
    }

    /// Whether a server can take back a shard that nobody else can receive.
    pub fn is_alive(&self, index: ServerIndex) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|server| server.index == index && server.alive)
    }

    /// Whether some server that is to stay owns shards and may be about to lose them or to return.
    pub fn is_in_flux(&self) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|server| !server.alive && !server.leaving && server.count > 0)
    }

    /// Whether every server in use may receive shards.
    pub fn all_ready(&self) -> bool {
        let mut servers = self.servers.iter();
        servers.all(|server| server.eligible || server.leaving)
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
        self.prefer_trusted(state, &mut view);
        set_weights(service, &mut view);
        self.count_under_way(state, name, service, &mut view);
        view
    }

    /// Shards that move or are to be assigned, each with its next owner.
    pub(super) fn under_way<'a>(
        &'a self,
        name: &'a ServiceName,
    ) -> impl Iterator<Item = (ShardId, Option<ServerIndex>)> + 'a {
        let moves = self.moves.of(name);
        let moving = moves.map(|(shard, planned)| (shard, planned.to));
        let proposed = self.pending.of(name);
        moving.chain(proposed.filter(|(shard, _)| !self.moves.contains(name, *shard)))
    }

    /// Whether a server may receive shards now.
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
        let alive = link.is_some_and(|link| is_able(link, entry));
        let leaving = entry.effective_standing() != ServerStanding::Active
            || link.is_some_and(|link| link.wishes_to_leave);
        let reachable = link.is_some_and(|link| link.unreachable_until <= now);
        ServerView {
            index,
            eligible: alive && !leaving && reachable,
            alive,
            settled: alive && !leaving && reachable,
            leaving,
            unreachable: alive && !leaving && !reachable,
            silent: link.is_some_and(|link| link.is_silent(now, self.config.lease)),
            weight: 0.0,
            count: entry.owned.len(),
        }
    }

    /// Servers that the platform lists as leaving or gone receive shards only if nobody else can.
    fn prefer_trusted(&self, state: &OwnershipState, view: &mut ServiceView) {
        let distrusted = |server: &ServerView| {
            let link = self.links.get(&server.index);
            let machine = link.and_then(|link| link.machine);
            matches!(machine, Some(MachineState::Leaving | MachineState::Gone))
        };
        let mut servers = view.servers.iter();
        let someone = servers
            .any(|server| server.eligible && !distrusted(server) && has_share(state, server.index));
        for server in view.servers.iter_mut().filter(|_| someone) {
            server.eligible &= !distrusted(server);
        }
    }

    /// Counts shards under way where they go.
    fn count_under_way(
        &self,
        state: &OwnershipState,
        name: &ServiceName,
        service: &ServiceState,
        view: &mut ServiceView,
    ) {
        for (shard, to) in self.under_way(name) {
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

/// Position of a server in its service, if it still belongs to it.
pub(super) fn position_of(
    state: &OwnershipState,
    service: &ServiceName,
    server: ServerIndex,
) -> Option<usize> {
    let entry = state.servers().try_get(server)?;
    (entry.service == *service).then_some(entry.position as usize)
}

/// Whether a server answers, has a lease, and has its start registered.
fn is_able(link: &ServerLink, entry: &ServerEntry) -> bool {
    link.leased && link.failures == 0 && link.boot == entry.boot
}

/// Whether the bundle gives a server's side any share.
fn has_share(state: &OwnershipState, server: ServerIndex) -> bool {
    let entry = state.servers().get(server);
    let service = state.services().get(&entry.service);
    let sides = service
        .into_iter()
        .flat_map(|service| &service.service.sides);
    let mut shares = sides.filter(|share| share.side == entry.server.side);
    shares.any(|share| share.share > 0)
}

/// Weights follow the sides' shares.
fn set_weights(service: &ServiceState, view: &mut ServiceView) {
    let eligible: Vec<bool> = view.servers.iter().map(|server| server.eligible).collect();
    let weights = weights(service, &eligible);
    for (server, weight) in view.servers.iter_mut().zip(weights) {
        server.weight = weight;
    }
}

/// Weight of each server that may receive; removed servers stand behind the bundle's and weigh nothing.
pub(super) fn weights(service: &ServiceState, eligible: &[bool]) -> Vec<f64> {
    let listed = &service.service;
    let mut weights = target_weights(&listed.sides, &listed.servers, eligible);
    weights.resize(service.servers.len(), 0.0);
    weights
}
