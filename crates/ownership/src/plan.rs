//! Dry run of a bundle: computes which shards it would move, without applying it.

use std::time::Duration;

use grebepin_placement::{
    assign_orphans, rebalance_sides, target_weights, Candidate, RebalancePolicy,
};
use grebepin_schema::{
    Bundle, Server, ServerName, ServerStanding, Service, ServiceName, ServiceTable, SideName, Table,
};

use crate::state::OwnershipState;

/// Changes that a bundle would cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// One entry for each service in force or in the new bundle.
    pub services: Vec<ServicePlan>,
}

/// Changes that a bundle would cause in one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceName,
    /// Shards that would change owner.
    pub moves: u32,
    /// Least time for the moves under the churn limits; `None` if the limits allow no moves.
    pub at_least: Option<Duration>,
    /// Highest ratio of a server's shard count to its target, before the change; 1.0 is balanced.
    pub imbalance_before: f64,
    /// The same ratio after the change.
    pub imbalance_after: f64,
    /// Shard counts by server, before and after the change.
    pub servers: Vec<ServerPlan>,
    /// Risks to review before the bundle is submitted.
    pub risks: Vec<PlanRisk>,
}

/// Shard counts of one server before and after the change.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPlan {
    /// The server.
    pub server: ServerName,
    /// The server's side.
    pub side: SideName,
    /// Number of shards that it owns now.
    pub before: u32,
    /// Number of shards that it would own.
    pub after: u32,
}

/// Risk that an operator should review before a bundle is submitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanRisk {
    /// The bundle removes a server that owns shards.
    #[error("server {} is removed while it owns {shards} shards", server.as_str())]
    RemovesOwner {
        /// The server.
        server: ServerName,
        /// Number of shards that it owns.
        shards: u32,
    },
    /// The bundle removes a service.
    #[error("service {} is removed", service.as_str())]
    RemovesService {
        /// The service.
        service: ServiceName,
    },
    /// A server's address changes, so its shards are unavailable for the duration of a lease.
    #[error("server {} changes its address while it owns {shards} shards", server.as_str())]
    ChangesAddress {
        /// The server.
        server: ServerName,
        /// Number of shards that it owns.
        shards: u32,
    },
    /// No server of the service is eligible to receive shards.
    #[error("no server of service {} may receive shards", service.as_str())]
    NoReceiver {
        /// The service.
        service: ServiceName,
    },
    /// The churn limits allow no planned moves.
    #[error("the churn limits of service {} allow no move", service.as_str())]
    MovesForbidden {
        /// The service.
        service: ServiceName,
    },
}

/// Computes the changes that `bundle` would cause to the replicated state.
pub fn plan_bundle(state: &OwnershipState, bundle: &Bundle) -> Plan {
    plan_table(&state.table().table, bundle)
}

/// Computes the changes that `bundle` would cause to a routing table, assuming that every server is up.
pub fn plan_table(table: &Table, bundle: &Bundle) -> Plan {
    let listed = bundle.services.iter();
    let mut services: Vec<ServicePlan> = listed
        .map(|service| {
            let known = table.services.iter();
            let mut same = known.filter(|known| known.service.name == service.name);
            plan_service(same.next(), service)
        })
        .collect();
    let is_listed = |known: &&ServiceTable| {
        let mut listed = bundle.services.iter();
        listed.any(|service| service.name == known.service.name)
    };
    let removed = table.services.iter().filter(|known| !is_listed(known));
    services.extend(removed.map(removed_service));
    Plan { services }
}

fn plan_service(known: Option<&ServiceTable>, next: &Service) -> ServicePlan {
    let before = owners_before(known, next);
    let eligible = may_receive(known, next);
    let weights = target_weights(&next.sides, &next.servers, &eligible);
    let after = owners_after(next, &before, &weights);
    let pairs = before.iter().zip(&after);
    let moves = pairs
        .filter(|(before, after)| **before != Owner::Unowned && before.server() != **after)
        .count() as u32;
    let mut plan = ServicePlan {
        service: next.name.clone(),
        moves,
        at_least: time_for_moves(moves, next.churn.moves_per_minute),
        imbalance_before: known.map_or(1.0, imbalance_of_table),
        imbalance_after: imbalance(&counts(&after, next.servers.len()), &weights),
        servers: server_plans(known, next, &after),
        risks: Vec::new(),
    };
    plan.risks = risks(known, next, &plan, &weights);
    plan
}

/// Current owner of a shard, with respect to the next bundle.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Owner {
    Unowned,
    /// A server that the next bundle doesn't list, or that is not eligible to receive shards.
    Ineligible,
    /// Position in the next bundle's list of servers.
    Listed(usize),
}

impl Owner {
    fn server(self) -> Option<usize> {
        match self {
            Self::Listed(server) => Some(server),
            Self::Unowned | Self::Ineligible => None,
        }
    }
}

fn owners_before(known: Option<&ServiceTable>, next: &Service) -> Vec<Owner> {
    let unowned = vec![Owner::Unowned; next.shards.get() as usize];
    let Some(known) = known else {
        return unowned;
    };
    let position_in_next = |server: &Server| {
        let mut servers = next.servers.iter();
        servers.position(|next| next.name == server.name)
    };
    let known_servers = known.service.servers.iter().zip(&known.standings);
    let owners_of: Vec<Owner> = known_servers
        .map(|(server, standing)| match position_in_next(server) {
            Some(position) if *standing == ServerStanding::Active => Owner::Listed(position),
            _ => Owner::Ineligible,
        })
        .collect();
    let mut owners = unowned;
    for (owner, shard) in owners.iter_mut().zip(&known.owners) {
        let server = shard
            .server
            .and_then(|server| owners_of.get(server as usize));
        *owner = server.copied().unwrap_or(Owner::Unowned);
    }
    owners
}

/// A server keeps its standing when a new bundle is accepted, so a draining one stays ineligible.
fn may_receive(known: Option<&ServiceTable>, next: &Service) -> Vec<bool> {
    let standing = |name: &ServerName| {
        let known = known?;
        let mut servers = known.service.servers.iter().zip(&known.standings);
        let (_, standing) = servers.find(|(server, _)| server.name == *name)?;
        Some(*standing)
    };
    let servers = next.servers.iter();
    servers
        .map(|server| standing(&server.name) != Some(ServerStanding::Draining))
        .collect()
}

fn owners_after(next: &Service, before: &[Owner], weights: &[f64]) -> Vec<Option<usize>> {
    let candidates: Vec<Candidate> = weights
        .iter()
        .map(|&weight| Candidate {
            weight,
            eligible: true,
        })
        .collect();
    let mut owners: Vec<Option<usize>> = before.iter().map(|owner| owner.server()).collect();
    for (shard, server) in assign_orphans(&candidates, &owners) {
        owners[shard] = Some(server);
    }
    let names: Vec<&SideName> = next.servers.iter().map(|server| &server.side).collect();
    let side = |name: &&SideName| names.iter().position(|other| other == name).unwrap_or(0);
    let sides: Vec<usize> = names.iter().map(side).collect();
    let policy = RebalancePolicy {
        budget: owners.len(),
        imbalance_percent: next.churn.imbalance_percent,
        relieves_load: true,
    };
    for planned in rebalance_sides(&candidates, &sides, &owners, &[], &policy) {
        owners[planned.shard] = Some(planned.to);
    }
    owners
}

fn removed_service(known: &ServiceTable) -> ServicePlan {
    let owned = known.owners.iter().filter(|owner| owner.server.is_some());
    ServicePlan {
        service: known.service.name.clone(),
        moves: owned.count() as u32,
        at_least: Some(Duration::ZERO),
        imbalance_before: imbalance_of_table(known),
        imbalance_after: 1.0,
        servers: server_plans(Some(known), &known.service, &[]),
        risks: vec![PlanRisk::RemovesService {
            service: known.service.name.clone(),
        }],
    }
}

fn counts(owners: &[Option<usize>], servers: usize) -> Vec<u32> {
    let mut counts = vec![0; servers];
    for server in owners.iter().flatten() {
        counts[*server] += 1;
    }
    counts
}

fn counts_of_table(known: &ServiceTable) -> Vec<u32> {
    let owners = known.owners.iter();
    let owners: Vec<Option<usize>> = owners
        .map(|owner| owner.server.map(|server| server as usize))
        .filter(|server| server.is_none_or(|server| server < known.service.servers.len()))
        .collect();
    counts(&owners, known.service.servers.len())
}

fn imbalance_of_table(known: &ServiceTable) -> f64 {
    let active = known.standings.iter();
    let mut eligible: Vec<bool> = active
        .map(|standing| *standing == ServerStanding::Active)
        .collect();
    eligible.resize(known.service.servers.len(), false);
    let weights = target_weights(&known.service.sides, &known.service.servers, &eligible);
    imbalance(&counts_of_table(known), &weights)
}

/// Highest ratio of a server's count to its share of all shards; 1 if no shard is owned.
fn imbalance(counts: &[u32], weights: &[f64]) -> f64 {
    let weighed = || {
        counts
            .iter()
            .zip(weights)
            .filter(|(_, weight)| **weight > 0.0)
    };
    let shards: u32 = weighed().map(|(count, _)| *count).sum();
    let weights: f64 = weighed().map(|(_, weight)| *weight).sum();
    if shards == 0 {
        return 1.0;
    }
    let share = |weight: f64| f64::from(shards) * weight / weights;
    weighed()
        .map(|(count, weight)| f64::from(*count) / share(*weight))
        .fold(0.0, f64::max)
}

fn time_for_moves(moves: u32, moves_per_minute: u32) -> Option<Duration> {
    match (moves, moves_per_minute) {
        (0, _) => Some(Duration::ZERO),
        (_, 0) => None,
        (moves, limit) => Some(Duration::from_secs(60) * moves / limit),
    }
}

/// The next bundle's servers, followed by those that it removes.
fn server_plans(
    known: Option<&ServiceTable>,
    next: &Service,
    after: &[Option<usize>],
) -> Vec<ServerPlan> {
    let after = counts(after, next.servers.len());
    let listed = next
        .servers
        .iter()
        .zip(after)
        .map(|(server, after)| ServerPlan {
            server: server.name.clone(),
            side: server.side.clone(),
            before: owned_before(known, &server.name),
            after,
        });
    let removed = removed_servers(known, next).map(|server| ServerPlan {
        server: server.name.clone(),
        side: server.side.clone(),
        before: owned_before(known, &server.name),
        after: 0,
    });
    listed.chain(removed).collect()
}

fn removed_servers<'a>(
    known: Option<&'a ServiceTable>,
    next: &'a Service,
) -> impl Iterator<Item = &'a Server> {
    let known = known.into_iter().flat_map(|known| &known.service.servers);
    known.filter(|server| next.servers.iter().all(|next| next.name != server.name))
}

fn owned_before(known: Option<&ServiceTable>, name: &ServerName) -> u32 {
    let Some(known) = known else {
        return 0;
    };
    let mut servers = known.service.servers.iter().zip(counts_of_table(known));
    let found = servers.find(|(server, _)| server.name == *name);
    found.map_or(0, |(_, count)| count)
}

fn risks(
    known: Option<&ServiceTable>,
    next: &Service,
    plan: &ServicePlan,
    weights: &[f64],
) -> Vec<PlanRisk> {
    let mut risks = Vec::new();
    for server in removed_servers(known, next) {
        let shards = owned_before(known, &server.name);
        if shards > 0 {
            risks.push(PlanRisk::RemovesOwner {
                server: server.name.clone(),
                shards,
            });
        }
    }
    for server in readdressed_servers(known, next) {
        let shards = owned_before(known, &server.name);
        if shards > 0 {
            risks.push(PlanRisk::ChangesAddress {
                server: server.name.clone(),
                shards,
            });
        }
    }
    if weights.iter().all(|weight| *weight <= 0.0) {
        risks.push(PlanRisk::NoReceiver {
            service: next.name.clone(),
        });
    }
    if plan.at_least.is_none() {
        risks.push(PlanRisk::MovesForbidden {
            service: next.name.clone(),
        });
    }
    risks
}

/// Servers whose address changes.
fn readdressed_servers<'a>(
    known: Option<&'a ServiceTable>,
    next: &'a Service,
) -> impl Iterator<Item = &'a Server> {
    let known = known.into_iter().flat_map(|known| &known.service.servers);
    known.filter(|server| {
        let mut servers = next.servers.iter();
        servers.any(|next| next.name == server.name && next.address != server.address)
    })
}
