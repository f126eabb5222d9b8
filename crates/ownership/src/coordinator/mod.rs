//! The leader's coordinator: leases, grants, planned moves and loss of servers.
//!
//! Invariant: nothing is granted before its assignment is committed, and no shard is assigned away from
//! a server before the server has released it or any lease it may hold has ended.

mod applied;
mod balance;
mod budget;
mod grants;
mod heartbeats;
mod link;
mod load;
mod moves;
mod pending;
mod step;
mod supervise;
mod types;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_schema::{LogIndex, MachineList, ServerStatus, ServiceName, Term};

use crate::state::{OwnershipState, ServerIndex};
use balance::Balance;
use link::ServerLink;
use load::Load;
use moves::Moves;
use pending::Pending;
use step::Step;

pub use types::{CoordinatorConfig, CoordinatorInput, CoordinatorOutput};

/// State of the coordinator during one term of leadership; each term starts with a new one.
#[derive(Debug)]
pub struct Coordinator {
    config: CoordinatorConfig,
    term: Term,
    leader_since: Duration,
    links: BTreeMap<ServerIndex, ServerLink>,
    /// Index of the bundle that `links` corresponds to.
    tracked_bundle: Option<LogIndex>,
    /// Servers by the time at which their next heartbeat is due.
    due: BTreeSet<(Duration, ServerIndex)>,
    /// Servers with a failed heartbeat or without renewals; their fencing bounds schedule supervision.
    unresponsive: BTreeSet<ServerIndex>,
    /// Servers for which grants may have to be sent.
    grants_due: BTreeSet<ServerIndex>,
    /// Servers for which releases may have to be requested.
    releases_due: BTreeSet<ServerIndex>,
    /// Earliest time at which one of `releases_due` may get its next request.
    next_release: Option<Duration>,
    pending: Pending,
    moves: Moves,
    balances: BTreeMap<ServiceName, Balance>,
    load: Load,
    /// Start of the leadership, or time at which the bundle in force was first seen, whichever is
    /// later.
    settle_since: Duration,
    last_supervision: Duration,
    next_supervision: Duration,
}

impl Coordinator {
    /// Starts a term at `now`, the time at which the replica became leader. It must be called only when
    /// every entry of earlier terms is applied, which holds once the first entry of the leader's own term
    /// is applied.
    pub fn new(config: CoordinatorConfig, term: Term, now: Duration) -> Self {
        Self {
            config,
            term,
            leader_since: now,
            links: BTreeMap::new(),
            tracked_bundle: None,
            due: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            grants_due: BTreeSet::new(),
            releases_due: BTreeSet::new(),
            next_release: None,
            pending: Pending::default(),
            moves: Moves::default(),
            balances: BTreeMap::new(),
            load: Load::new(now),
            settle_since: now,
            last_supervision: now,
            next_supervision: now,
        }
    }

    /// Handles one input and returns the resulting requests and proposals. Renewals, grants and releases
    /// are sent only while `leader_lease_until > now`.
    pub fn handle(
        &mut self,
        now: Duration,
        state: &OwnershipState,
        leader_lease_until: Duration,
        input: CoordinatorInput<'_>,
    ) -> Vec<CoordinatorOutput> {
        let mut step = Step::new(now, state, leader_lease_until);
        self.track_bundle(&step);
        self.handle_input(&mut step, input);
        self.send_heartbeats(&mut step);
        self.rotate_load_window(&step);
        self.supervise(&mut step);
        self.send_releases(&mut step);
        self.send_grants(&mut step);
        step.outputs
    }

    /// Time at which the next [`CoordinatorInput::Tick`] is due.
    pub fn next_wake(&self) -> Duration {
        let wakes = [
            self.due.first().map(|(due, _)| *due),
            self.next_release,
            Some(self.load.ends()),
            Some(self.next_supervision),
        ];
        wakes
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_supervision)
    }

    /// Term of this leadership.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Status of each server, ordered by service and by position in the bundle.
    pub fn server_status(&self, now: Duration, state: &OwnershipState) -> Vec<ServerStatus> {
        let services = state.services().values();
        let servers = services.flat_map(|service| service.servers.iter());
        servers
            .map(|&index| self.status_of(now, state, index))
            .collect()
    }

    /// Number of shards that are being moved between servers.
    pub fn moving(&self) -> u32 {
        self.moves.len() as u32
    }

    /// Number of shards without an owner.
    pub fn unowned(&self, state: &OwnershipState) -> u32 {
        state.unowned_shards() as u32
    }

    fn status_of(&self, now: Duration, state: &OwnershipState, index: ServerIndex) -> ServerStatus {
        let entry = state.servers().get(index);
        let link = self.links.get(&index);
        let remaining = link.map_or(Duration::ZERO, |link| link.lease_remaining(now));
        let answered_at = link.and_then(|link| link.last_answered_at);
        let since_answer = now.saturating_sub(answered_at.unwrap_or(self.leader_since));
        ServerStatus {
            service: entry.service.clone(),
            server: entry.server.name.clone(),
            zone: entry.server.zone.clone(),
            side: entry.server.side.clone(),
            standing: entry.effective_standing(),
            shards: entry.owned.len() as u32,
            held: link.map_or(0, |link| link.held),
            lease_remaining_ms: remaining.as_millis() as u64,
            last_heard_ms: since_answer.as_millis() as u64,
        }
    }

    fn handle_input(&mut self, step: &mut Step<'_>, input: CoordinatorInput<'_>) {
        use CoordinatorInput as Input;
        match input {
            Input::Tick => {}
            Input::HeartbeatAnswered {
                server,
                answer,
                sent_at,
            } => self.heartbeat_answered(step, &server, &answer, sent_at),
            Input::HeartbeatFailed { server } => self.heartbeat_failed(step, &server),
            Input::GrantAnswered { server, answer } => {
                self.grant_answered(step, &server, &answer);
            }
            Input::GrantFailed { server } => self.grant_failed(step, &server),
            Input::ReleaseAnswered { server, answer } => {
                self.release_answered(step, &server, &answer);
            }
            Input::ReleaseFailed { server } => self.release_failed(step, &server),
            Input::HoldingsAnswered { server, answer } => {
                self.holdings_answered(step, &server, &answer);
            }
            Input::HoldingsFailed { server } => {
                if let Some((_, link)) = self.link_mut(step, &server) {
                    link.holdings_in_flight = false;
                }
            }
            Input::DrainDone { server } => {
                if let Some((_, link)) = self.link_mut(step, &server) {
                    link.drain_in_flight = false;
                }
            }
            Input::LoadReported(report) => self.load.count(step.state, report),
            Input::Machines(list) => self.update_machines(step, list),
            Input::Applied(applied) => self.applied(step, applied),
            Input::ProposeFailed(command) => self.propose_failed(step, command),
        }
    }

    /// The list is delayed, so it only affects which servers are preferred for new shards.
    fn update_machines(&mut self, step: &Step<'_>, list: &MachineList) {
        for machine in &list.machines {
            if let Some((_, link)) = self.link_mut(step, &machine.server) {
                link.machine = Some(machine.state);
            }
        }
    }

    /// Keeps one link for each server of the bundle in force, and for removed ones that own shards.
    fn track_bundle(&mut self, step: &Step<'_>) {
        let in_force = step.state.bundle_record().map(|record| record.index);
        if in_force == self.tracked_bundle {
            return;
        }
        self.tracked_bundle = in_force;
        self.settle_since = step.now;
        let servers = step.state.servers();
        self.links.retain(|&index, link| {
            let entry = servers.try_get(index);
            entry.is_some_and(|entry| entry.server.name == link.name)
        });
        for (index, entry) in servers.iter() {
            if entry.removed && entry.owned.is_empty() {
                self.links.remove(&index);
                continue;
            }
            self.track_server(step.now, index, entry);
        }
        let known = |server: &ServerIndex| self.links.contains_key(server);
        self.unresponsive.retain(known);
        self.grants_due.retain(known);
        self.releases_due.retain(known);
        self.drop_outdated_moves(step);
        self.supervise_soon(step.now);
    }

    fn track_server(
        &mut self,
        now: Duration,
        index: ServerIndex,
        entry: &crate::state::ServerEntry,
    ) {
        let Some(link) = self.links.get_mut(&index) else {
            let bound = link::unknown_bound(&self.config, self.leader_since);
            self.links.insert(index, ServerLink::new(entry, now, bound));
            self.due.insert((now, index));
            return;
        };
        link.service = entry.service.clone();
        if link.address != entry.server.address {
            link.change_address(entry.server.address.clone(), now);
            self.due.insert((now, index));
        }
    }
}
