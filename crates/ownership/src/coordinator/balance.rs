//! Planned moves within one service, according to the sides' shares, reachability and load.
//!
//! Invariant: moves start only within the service's churn limits.

use std::time::Duration;

use grebepin_placement::{rebalance_sides, Candidate, RebalancePolicy};
use grebepin_schema::{Server, ServiceName, ShardId};

use super::budget::ChurnBudget;
use super::load::LOAD_STALE_FOR;
use super::moves::{Move, Reason};
use super::step::Step;
use super::view::{position_of, weights, ServiceView};
use super::Coordinator;
use crate::state::{ServerIndex, ServiceState};

/// Most moves started in one pass of supervision.
const MOVES_PER_SUPERVISION: u32 = 256;

/// Least time between two plans of a service, in heartbeat intervals.
const HEARTBEATS_BETWEEN_PLANS: u32 = 1;

/// Time until the next plan of a service after a plan without moves, in heartbeat intervals.
const HEARTBEATS_AFTER_EMPTY_PLAN: u32 = 10;

/// Difference between a server's count and its share, in shards, up to which no plan is made.
const COUNT_SLACK: f64 = 1.0;

/// Planned moves of one service.
#[derive(Debug)]
pub(super) struct Balance {
    budget: ChurnBudget,
    next_plan: Duration,
    /// Until this time the counted load includes requests sent to the owners before the last moves.
    load_stale_until: Duration,
    /// Last load of each shard that was not stale; `None` until two full windows were counted.
    loads: Option<Vec<f64>>,
}

impl Balance {
    fn new(since: Duration) -> Self {
        Self {
            budget: ChurnBudget::new(since),
            next_plan: since,
            load_stale_until: since,
            loads: None,
        }
    }

    fn load_is_stale(&self, now: Duration) -> bool {
        self.load_stale_until > now
    }
}

impl Coordinator {
    /// Starts moves if counts or loads are unbalanced and the churn limits allow it.
    pub(super) fn start_balance(
        &mut self,
        step: &Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
    ) {
        if service.removed || !service.unowned.is_empty() {
            return;
        }
        let limit = self.balance_limit(step.now, name, service);
        if limit == 0 {
            return;
        }
        let mut view = self.view(step.now, step.state, name, service);
        if view.is_in_flux() {
            return;
        }
        set_balance_weights(service, &mut view);
        let percent = service.service.churn.imbalance_percent;
        let knows_loads = self.knows_loads(step.now, name);
        let relieves_load = knows_loads && !self.load_is_stale(step.now, name);
        if is_even(&view) && !(relieves_load && self.load.is_uneven(&view, percent)) {
            return;
        }
        let policy = RebalancePolicy {
            budget: limit as usize,
            imbalance_percent: if knows_loads { percent } else { u32::MAX },
            relieves_load,
        };
        let loads = self.last_loads(step, name, service);
        let planned = self.plan_moves(step, name, service, &view, &loads, &policy);
        self.store_loads(step.now, name, loads);
        let started = planned.len() as u32;
        for (shard, planned) in planned {
            self.start_move(name, shard, planned);
        }
        if let Some(balance) = self.balances.get_mut(name) {
            balance.budget.spend(step.now, started);
            let heartbeats = match started {
                0 => HEARTBEATS_AFTER_EMPTY_PLAN,
                _ => HEARTBEATS_BETWEEN_PLANS,
            };
            balance.next_plan = step.now + self.config.heartbeat * heartbeats;
            if started > 0 {
                balance.load_stale_until = step.now + LOAD_STALE_FOR;
            }
            self.next_supervision = self.next_supervision.min(balance.next_plan);
        }
    }

    /// Number of moves that may start now.
    fn balance_limit(&mut self, now: Duration, name: &ServiceName, service: &ServiceState) -> u32 {
        let policy = &service.service.churn;
        let balanced = |planned: &&Move| planned.reason == Reason::Balance;
        let in_progress = self.moves.of(name).filter(|(_, planned)| balanced(planned));
        let concurrent = policy.concurrent_moves.get();
        let remaining = concurrent.saturating_sub(in_progress.count() as u32);
        let since = self.leader_since;
        let balance = match self.balances.get_mut(name) {
            Some(balance) => balance,
            None => {
                let fresh = Balance::new(since);
                self.balances.entry(name.clone()).or_insert(fresh)
            }
        };
        if balance.next_plan > now {
            return 0;
        }
        let allowed = balance.budget.available(now, policy.moves_per_minute);
        remaining.min(allowed).min(MOVES_PER_SUPERVISION)
    }

    fn load_is_stale(&self, now: Duration, name: &ServiceName) -> bool {
        let balance = self.balances.get(name);
        balance.is_some_and(|balance| balance.load_is_stale(now))
    }

    /// Load of each shard as counted now, or the stored one while the counted load is stale. The load
    /// belongs to the shard, so the load of moved shards counts at their new owner at once.
    fn last_loads(
        &mut self,
        step: &Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
    ) -> Vec<f64> {
        let balance = self.balances.get_mut(name);
        let stale = balance.filter(|balance| balance.load_is_stale(step.now));
        let remembered = stale.and_then(|balance| balance.loads.take());
        remembered.unwrap_or_else(|| self.load.of_shards(step.state, name, service))
    }

    /// Stores the loads used by a plan, unless fewer than two full windows were counted.
    fn store_loads(&mut self, now: Duration, name: &ServiceName, loads: Vec<f64>) {
        let is_counted = self.has_load_counts(now);
        if let Some(balance) = self.balances.get_mut(name) {
            balance.loads = is_counted.then_some(loads);
        }
    }

    /// Whether two full windows were counted since the start of this leadership.
    fn has_load_counts(&self, now: Duration) -> bool {
        now >= self.leader_since + LOAD_STALE_FOR
    }

    /// Whether loads show which servers are overloaded. Until then, counts within one side are not
    /// evened out, since a server may have few shards because others were moved away for its load.
    fn knows_loads(&self, now: Duration, name: &ServiceName) -> bool {
        let balance = self.balances.get(name);
        let remembers = balance.is_some_and(|balance| balance.loads.is_some());
        self.has_load_counts(now) && (remembers || !self.load_is_stale(now, name))
    }

    fn plan_moves(
        &self,
        step: &Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
        view: &ServiceView,
        loads: &[f64],
        policy: &RebalancePolicy,
    ) -> Vec<(ShardId, Move)> {
        let candidates: Vec<Candidate> = view
            .servers
            .iter()
            .map(|server| Candidate {
                weight: server.weight,
                eligible: server.settled || server.unreachable,
            })
            .collect();
        let owners = self.projected_owners(step, name, service);
        let sides = sides_of_servers(service);
        let planned = rebalance_sides(&candidates, &sides, &owners, loads, policy).into_iter();
        let free = planned.filter_map(|planned| {
            let shard = ShardId(planned.shard as u32);
            let epoch = service.shard(shard)?.epoch;
            let from = view.servers[planned.from].index;
            let to = view.servers[planned.to].index;
            let may_move = self.is_free(name, shard) && view.servers[planned.to].eligible;
            may_move.then(|| (shard, Move::planned(from, epoch, Some(to), Reason::Balance)))
        });
        free.collect()
    }

    /// Position of each shard's owner after all moves and assignments in progress.
    fn projected_owners(
        &self,
        step: &Step<'_>,
        name: &ServiceName,
        service: &ServiceState,
    ) -> Vec<Option<usize>> {
        let position = |index: ServerIndex| position_of(step.state, name, index);
        let shards = service.shards.iter();
        let mut owners: Vec<Option<usize>> =
            shards.map(|shard| shard.owner.and_then(position)).collect();
        for (shard, to) in self.in_progress(name) {
            if let Some(owner) = owners.get_mut(shard.0 as usize) {
                *owner = to.and_then(position);
            }
        }
        owners
    }
}

/// Position of each server's side among the service's sides.
fn sides_of_servers(service: &ServiceState) -> Vec<usize> {
    let sides = &service.service.sides;
    let servers = service.service.servers.iter();
    let side_of = |server: &Server| sides.iter().position(|side| side.side == server.side);
    servers
        .map(|server| side_of(server).unwrap_or(sides.len()))
        .collect()
}

/// Sets the weights of the servers that take part in balancing, so that the platform's list of machines
/// causes no moves.
fn set_balance_weights(service: &ServiceState, view: &mut ServiceView) {
    let settled: Vec<bool> = view.servers.iter().map(|server| server.settled).collect();
    for (server, weight) in view.servers.iter_mut().zip(weights(service, &settled)) {
        server.weight = weight;
    }
}

/// Whether the count of each server that takes part in balancing, or is unreachable, is close to its
/// share.
fn is_even(view: &ServiceView) -> bool {
    let participants = || {
        view.servers
            .iter()
            .filter(|server| server.settled || server.unreachable)
    };
    let shards: usize = participants().map(|server| server.count).sum();
    let weights: f64 = participants().map(|server| server.weight).sum();
    if weights <= 0.0 {
        return true;
    }
    participants().all(|server| {
        let share = shards as f64 * server.weight / weights;
        let slack = if share > 0.0 { COUNT_SLACK } else { 0.0 };
        (server.count as f64 - share).abs() <= slack
    })
}
