//! A simulation of one replicated state with successive leaders and of servers that run the real holder.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use grebepin_holder::{Holder, HolderConfig};
use grebepin_ownership::{
    Applied, Coordinator, CoordinatorInput, CoordinatorOutput, Guards, OwnershipState,
};
use grebepin_schema::{
    Command, GroupId, HandoverAnswer, HeldShard, LoadReport, LogIndex, MachineList, ServerName,
    ServerStanding, SetStanding, ShardKey, StandingOrigin, Term,
};

use super::{config, ms, Network, LEADER_LEASE};

/// Timeout of every call to a server.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay from a proposal to its commit.
pub(super) const COMMIT_DELAY: Duration = Duration::from_millis(3);

pub struct ServerProcess {
    pub holder: Holder,
    /// Until this time the process handles no requests.
    pub frozen_until: Duration,
    pub up: bool,
    /// Clock rate in parts per million; 1,000,000 is exact.
    pub clock_rate: u64,
}

impl ServerProcess {
    pub(super) fn clock(&self, now: Duration) -> Duration {
        Duration::from_micros((now.as_micros() as u64 / 1_000) * self.clock_rate / 1_000)
    }
}

pub(super) enum Event {
    /// A copy of a request reaches a server; the answer is used only if the leader still waits for it.
    Request(u64, CoordinatorOutput),
    Answer(u64, CoordinatorInput<'static>),
    Timeout(u64, CoordinatorInput<'static>),
    Commit(Term),
}

pub struct World {
    pub now: Duration,
    pub state: OwnershipState,
    pub coordinator: Coordinator,
    pub term: Term,
    pub servers: BTreeMap<ServerName, ServerProcess>,
    /// Former processes that are unreachable and keep their shards until their leases end.
    isolated: Vec<(ServerName, ServerProcess)>,
    pub network: Network,
    pub leader_lease_until: Option<Duration>,
    /// The former leader, which keeps sending until its lease ends.
    former: Option<(Coordinator, OwnershipState, Duration)>,
    guards: Guards,
    index: u64,
    boots: u64,
    pub(super) proposals: VecDeque<Command>,
    pub(super) queue: BTreeMap<(Duration, u64), Event>,
    /// Calls for whose answers the leader waits, with the time at which they were sent.
    pub(super) open_calls: BTreeMap<u64, Duration>,
    pub(super) next_call: u64,
    pub assignments: u64,
    pub sent: BTreeMap<&'static str, u64>,
}

impl World {
    pub fn new(network: Network, guards: Guards) -> Self {
        Self {
            now: ms(5_000),
            state: OwnershipState::with_guards(GroupId(0), guards),
            coordinator: Coordinator::new(config(guards), Term(1), ms(5_000)),
            term: Term(1),
            servers: BTreeMap::new(),
            isolated: Vec::new(),
            network,
            leader_lease_until: None,
            former: None,
            guards,
            index: 1,
            boots: 0,
            proposals: VecDeque::new(),
            queue: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            next_call: 0,
            assignments: 0,
            sent: BTreeMap::new(),
        }
    }

    /// Starts or restarts a server.
    pub fn start(&mut self, name: ServerName) {
        self.boots += 1;
        // Real boot numbers are large, and sessions count from them.
        let config = HolderConfig::new(self.boots << 32);
        let clock_rate = 990_000 + self.network.below(20_000);
        let process = ServerProcess {
            holder: Holder::new(config),
            frozen_until: Duration::ZERO,
            up: true,
            clock_rate,
        };
        self.servers.insert(name, process);
    }

    /// Starts a new process of a server while the former one keeps running, unreachable.
    pub fn replace(&mut self, name: ServerName) {
        if let Some(former) = self.servers.remove(&name) {
            let isolated_name = format!("former-{}", name.as_str());
            self.isolated
                .push((isolated_name.parse().expect("a name"), former));
        }
        self.start(name);
    }

    pub fn process(&mut self, name: &ServerName) -> &mut ServerProcess {
        self.servers.get_mut(name).expect("a known server")
    }

    pub fn stop(&mut self, name: &ServerName) {
        self.process(name).up = false;
    }

    pub fn freeze(&mut self, name: &ServerName, length: Duration) {
        let until = self.now + length;
        self.process(name).frozen_until = until;
    }

    pub fn drain_by_operator(&mut self, name: &ServerName, leave: bool) -> Applied {
        let standing = match leave {
            true => ServerStanding::Draining,
            false => ServerStanding::Active,
        };
        self.commit(&Command::SetStanding(SetStanding {
            server: name.clone(),
            standing,
            origin: StandingOrigin::Operator,
        }))
    }

    /// Commits a command immediately and notifies the leader.
    pub fn commit(&mut self, command: &Command) -> Applied {
        self.index += 1;
        let applied = self.state.apply(LogIndex(self.index), command);
        if let grebepin_ownership::Outcome::Assigned(assigned) = &applied.outcome {
            self.assignments += assigned.accepted.len() as u64;
        }
        self.notify_leader(CoordinatorInput::Applied(&applied));
        applied
    }

    pub fn send_machines(&mut self, list: &MachineList) {
        self.notify_leader(CoordinatorInput::Machines(list));
    }

    pub fn send_load_report(&mut self, report: &LoadReport) {
        self.notify_leader(CoordinatorInput::LoadReported(report));
    }

    /// Starts a new leader. The former one keeps sending for `lag`, and its proposals are lost.
    pub fn change_leader(&mut self, lag: Duration) {
        self.term = Term(self.term.0 + 1);
        self.proposals.clear();
        let next = Coordinator::new(config(self.guards), self.term, self.now);
        let former = std::mem::replace(&mut self.coordinator, next);
        self.former = Some((former, self.state.clone(), self.now + lag.min(LEADER_LEASE)));
        self.open_calls.clear();
        self.notify_leader(CoordinatorInput::Tick);
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` holds or `end` is reached; returns the elapsed time if it held.
    pub fn run_until(
        &mut self,
        end: Duration,
        mut done: impl FnMut(&mut World) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            let wake = self.coordinator.next_wake().max(self.now);
            let event = self.queue.first_key_value().map(|(key, _)| key.0);
            let next = event.unwrap_or(wake).min(wake).min(self.now + ms(20));
            if next >= end {
                self.now = end;
                return None;
            }
            self.now = next;
            match self.queue.first_key_value().map(|(key, _)| *key) {
                Some(key) if key.0 <= self.now => {
                    let event = self.queue.remove(&key).expect("it was first");
                    self.handle_event(event);
                }
                _ => {
                    self.notify_leader(CoordinatorInput::Tick);
                    let wake = self.coordinator.next_wake();
                    assert!(wake > self.now, "next wake is not after the tick");
                }
            }
            self.tick_former();
            self.assert_sole_holders();
        }
        Some(self.now - start)
    }

    /// Servers that hold each shard now, isolated processes included.
    pub fn holders(&mut self) -> BTreeMap<ShardKey, Vec<ServerName>> {
        let mut holders: BTreeMap<ShardKey, Vec<ServerName>> = BTreeMap::new();
        let isolated = self
            .isolated
            .iter_mut()
            .map(|(name, former_process)| (&*name, former_process));
        for (name, process) in self.servers.iter_mut().chain(isolated) {
            if !process.up {
                continue;
            }
            let clock = process.clock(self.now);
            for held in process.holder.holdings(clock, GroupId(0)).shards {
                let key = ShardKey {
                    service: held.service,
                    shard: held.shard,
                };
                holders.entry(key).or_default().push(name.clone());
            }
        }
        holders
    }

    /// Whether each shard is held by its committed owner.
    pub fn is_settled(&mut self) -> bool {
        let holders = self.holders();
        let table = self.state.table().table;
        let mut shards = table.services.iter().flat_map(|service| {
            let owners = service.owners.iter().enumerate();
            owners.map(move |(shard, owner)| (service, shard as u32, owner))
        });
        shards.all(|(service, shard, owner)| {
            let Some(position) = owner.server else {
                return false;
            };
            let name = &service.service.servers[position as usize].name;
            let key = ShardKey {
                service: service.service.name.clone(),
                shard: grebepin_schema::ShardId(shard),
            };
            holders
                .get(&key)
                .is_some_and(|held| held.as_slice() == std::slice::from_ref(name))
        })
    }

    /// Number of shards that a server owns in the committed state.
    pub fn owned(&self, name: &ServerName) -> usize {
        let table = self.state.table().table;
        let services = table.services.iter();
        services
            .map(|service| {
                let servers = &service.service.servers;
                let position = servers.iter().position(|server| server.name == *name);
                let owners = service.owners.iter();
                owners
                    .filter(|owner| {
                        owner.server.is_some() && owner.server.map(|at| at as usize) == position
                    })
                    .count()
            })
            .sum()
    }

    fn assert_sole_holders(&mut self) {
        for (key, names) in self.holders() {
            assert!(
                names.len() < 2,
                "{key:?} held by {names:?} at {:?}",
                self.now
            );
        }
    }

    pub(super) fn notify_leader(&mut self, input: CoordinatorInput<'_>) {
        let lease_until = self.leader_lease_until.unwrap_or(self.now + LEADER_LEASE);
        let outputs = self
            .coordinator
            .handle(self.now, &self.state, lease_until, input);
        for output in outputs {
            self.carry_out(output, true);
        }
    }

    fn tick_former(&mut self) {
        let Some((mut former, state, lease_until)) = self.former.take() else {
            return;
        };
        if self.now > lease_until + ms(2_000) {
            return;
        }
        let outputs = former.handle(self.now, &state, lease_until, CoordinatorInput::Tick);
        self.former = Some((former, state, lease_until));
        for output in outputs {
            self.carry_out(output, false);
        }
    }
}
