//! Measures CPU time, bytes and messages of one coordinator with fake servers on a virtual clock.
//!
//! `cargo run --release -p grebepin-ownership --example coordinator_bench -- SERVERS SHARDS` prints one
//! row of the table in `docs/design/leases.md`. Each process measures one size, so that its resident memory
//! belongs to that size alone.

use std::collections::{BTreeMap, VecDeque};
use std::num::NonZeroU32;
use std::time::Duration;

use grebepin_ownership::{
    Applied, Coordinator, CoordinatorConfig, CoordinatorInput, CoordinatorOutput, Guards,
    OwnershipState,
};
use grebepin_schema::framing::encode;
use grebepin_schema::hashing::shard_hash;
use grebepin_schema::{
    AcceptBundle, Bundle, ChurnPolicy, Command, Epoch, GrantAnswer, GrantRequest, GroupId,
    HeartbeatAnswer, HeartbeatRequest, HeldShard, LogIndex, Nonce, QueuePolicy, ReleaseAnswer,
    ReleaseRequest, RetryPolicy, Server, ServerName, Service, ServiceName, Session, ShardId,
    SideShare, SignedBundle, Term,
};

/// Step of the virtual clock; an answer arrives one step after its request.
const STEP: Duration = Duration::from_millis(10);
/// Fewest heartbeats over which the steady state is measured. The kernel counts CPU time coarsely, so
/// short phases give inaccurate results.
const STEADY_HEARTBEATS: u32 = 750_000;
/// Longest virtual time of a phase.
const PHASE_TIMEOUT: Duration = Duration::from_secs(120);

/// A server that answers immediately and stores only its shards.
#[derive(Default)]
struct FakeServer {
    up: bool,
    nonce: u64,
    held: BTreeMap<ShardId, Epoch>,
    checksum: u64,
}

impl FakeServer {
    fn heartbeat(&mut self, renewed: bool) -> HeartbeatAnswer {
        self.nonce += 1;
        HeartbeatAnswer {
            boot: 1,
            session: Session(1),
            nonce: Nonce(self.nonce),
            renewed,
            lease_remaining_ms: if renewed { 1_000 } else { 0 },
            held: self.held.len() as u32,
            held_checksum: self.checksum,
            draining: false,
            in_flight: 0,
        }
    }

    fn grant(&mut self, request: &GrantRequest) -> GrantAnswer {
        let grants = request.grants.iter();
        let accepted: Vec<HeldShard> = grants
            .map(|grant| HeldShard {
                service: grant.service.clone(),
                shard: grant.shard,
                epoch: grant.epoch,
            })
            .collect();
        for held in &accepted {
            self.remove_shard(&held.service, held.shard);
            self.held.insert(held.shard, held.epoch);
            let hash = shard_hash(&held.service, held.shard, held.epoch);
            self.checksum = self.checksum.wrapping_add(hash);
        }
        GrantAnswer {
            boot: 1,
            session: Session(1),
            accepted,
            refused: Vec::new(),
        }
    }

    fn release(&mut self, request: ReleaseRequest) -> ReleaseAnswer {
        for held in &request.shards {
            self.remove_shard(&held.service, held.shard);
        }
        ReleaseAnswer {
            released: request.shards,
            busy: Vec::new(),
        }
    }

    fn remove_shard(&mut self, service: &ServiceName, shard: ShardId) {
        if let Some(epoch) = self.held.remove(&shard) {
            let hash = shard_hash(service, shard, epoch);
            self.checksum = self.checksum.wrapping_sub(hash);
        }
    }
}

/// Cost of one phase.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    virtual_time: Duration,
    coordinator: Duration,
    apply: Duration,
    messages: u64,
    message_bytes: u64,
    commands: u64,
    command_bytes: u64,
    assignments: u64,
}

struct Fleet {
    now: Duration,
    state: OwnershipState,
    coordinator: Coordinator,
    servers: BTreeMap<ServerName, FakeServer>,
    inputs: VecDeque<CoordinatorInput<'static>>,
    commands: VecDeque<Command>,
    index: u64,
    cost: Cost,
}

impl Fleet {
    fn new(servers: u32) -> Self {
        let config = CoordinatorConfig {
            group: GroupId(0),
            lease: Duration::from_millis(1_000),
            heartbeat: Duration::from_millis(200),
            drift_percent: 2,
            leader_lease: Duration::from_millis(300),
            guards: Guards::all(),
        };
        let fake = |number| {
            let server = FakeServer {
                up: true,
                ..FakeServer::default()
            };
            (server_name(number), server)
        };
        Self {
            now: STEP,
            state: OwnershipState::new(GroupId(0)),
            coordinator: Coordinator::new(config, Term(1), STEP),
            servers: (0..servers).map(fake).collect(),
            inputs: VecDeque::new(),
            commands: VecDeque::new(),
            index: 0,
            cost: Cost::default(),
        }
    }

    /// Runs until `done` holds or the timeout ends, and returns the cost.
    fn measure(&mut self, timeout: Duration, done: impl Fn(&Fleet, Duration) -> bool) -> Cost {
        self.cost = Cost::default();
        let start = self.now;
        while !done(self, self.now - start) && self.now - start < timeout {
            self.step();
        }
        self.cost.virtual_time = self.now - start;
        self.cost
    }

    fn step(&mut self) {
        self.now += STEP;
        let commands = std::mem::take(&mut self.commands);
        let inputs = std::mem::take(&mut self.inputs);
        let start = cpu_time();
        let applied: Vec<Applied> = commands.iter().map(|command| self.apply(command)).collect();
        let after_apply = cpu_time();
        let mut outputs = Vec::new();
        let lease_until = self.now + Duration::from_millis(300);
        for applied in &applied {
            let input = CoordinatorInput::Applied(applied);
            outputs.extend(
                self.coordinator
                    .handle(self.now, &self.state, lease_until, input),
            );
        }
        for input in inputs.into_iter().chain([CoordinatorInput::Tick]) {
            outputs.extend(
                self.coordinator
                    .handle(self.now, &self.state, lease_until, input),
            );
        }
        self.cost.apply += after_apply - start;
        self.cost.coordinator += cpu_time() - after_apply;
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn apply(&mut self, command: &Command) -> Applied {
        self.index += 1;
        self.state.apply(LogIndex(self.index), command)
    }

    fn carry_out(&mut self, output: CoordinatorOutput) {
        match output {
            CoordinatorOutput::Propose(command) => {
                self.cost.commands += 1;
                self.cost.command_bytes += encode(&command).expect("encodes").len() as u64;
                if let Command::Assign(batch) = &command {
                    self.cost.assignments += batch.assignments.len() as u64;
                }
                self.commands.push_back(command);
            }
            CoordinatorOutput::Heartbeat {
                server, request, ..
            } => self.heartbeat(server, &request),
            CoordinatorOutput::Grant {
                server, request, ..
            } => {
                let fake = self.servers.get_mut(&server).expect("known");
                let answer = fake.grant(&request);
                self.count(&request, &answer);
                let input = CoordinatorInput::GrantAnswered { server, answer };
                self.inputs.push_back(input);
            }
            CoordinatorOutput::Release {
                server, request, ..
            } => {
                let fake = self.servers.get_mut(&server).expect("known");
                let answer = fake.release(request.clone());
                self.count(&request, &answer);
                let input = CoordinatorInput::ReleaseAnswered { server, answer };
                self.inputs.push_back(input);
            }
            CoordinatorOutput::Holdings { server, .. } => {
                self.inputs
                    .push_back(CoordinatorInput::HoldingsFailed { server });
            }
            CoordinatorOutput::Drain { server, .. } => {
                self.inputs
                    .push_back(CoordinatorInput::DrainDone { server });
            }
        }
    }

    fn heartbeat(&mut self, server: ServerName, request: &HeartbeatRequest) {
        let fake = self.servers.get_mut(&server).expect("known");
        if !fake.up {
            let input = CoordinatorInput::HeartbeatFailed { server };
            return self.inputs.push_back(input);
        }
        let answer = fake.heartbeat(request.lease.is_some());
        self.count(request, &answer);
        self.inputs.push_back(CoordinatorInput::HeartbeatAnswered {
            server,
            answer,
            sent_at: self.now,
        });
    }

    /// Counts a request and its answer. Bytes are those of the JSON bodies, without HTTP headers.
    fn count(&mut self, request: &impl serde::Serialize, answer: &impl serde::Serialize) {
        let size = |value: Result<Vec<u8>, serde_json::Error>| value.expect("encodes").len() as u64;
        self.cost.messages += 1;
        self.cost.message_bytes += size(serde_json::to_vec(request));
        self.cost.message_bytes += size(serde_json::to_vec(answer));
    }

    fn is_settled(&self) -> bool {
        let held: usize = self.servers.values().map(|server| server.held.len()).sum();
        let shards = self.state.bundle().map_or(0, |signed| {
            let services = signed.bundle.services.iter();
            services.map(|service| service.shards.get() as usize).sum()
        });
        held == shards && self.state.unowned_shards() == 0 && self.coordinator.moving() == 0
    }
}

fn server_name(number: u32) -> ServerName {
    format!("server-{number:05}").parse().expect("a name")
}

fn bundle(servers: u32, shards: u32) -> Bundle {
    let server = |number: u32| Server {
        name: server_name(number),
        address: format!("10.0.{}.{}:7000", number / 250, number % 250 + 1)
            .parse()
            .expect("an address"),
        zone: "zone-a".parse().expect("a name"),
        side: "new".parse().expect("a name"),
        slots: NonZeroU32::MIN,
        connections: NonZeroU32::MIN,
        weight: NonZeroU32::MIN,
    };
    let service = Service {
        name: "ledger".parse().expect("a name"),
        shards: NonZeroU32::new(shards).expect("not 0"),
        sides: vec![SideShare {
            side: "new".parse().expect("a name"),
            share: 1,
        }],
        servers: (0..servers).map(server).collect(),
        classes: Vec::new(),
        queue: QueuePolicy {
            waiting_per_server: 1,
        },
        retry: RetryPolicy {
            attempts: NonZeroU32::MIN,
            budget_percent: 0,
        },
        churn: ChurnPolicy {
            moves_per_minute: 0,
            concurrent_moves: NonZeroU32::MIN,
            imbalance_percent: 20,
        },
    };
    Bundle {
        deployment: "bench".parse().expect("a name"),
        version: 1,
        parent: None,
        note: None,
        services: vec![service],
    }
}

/// CPU time of this thread.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    Duration::from_nanos(first.and_then(|first| first.parse().ok()).unwrap_or(0))
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn main() {
    let numbers: Vec<u32> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let [servers, shards] = numbers[..] else {
        eprintln!("usage: coordinator_bench SERVERS SHARDS");
        std::process::exit(2);
    };
    measure(servers, shards);
}

fn measure(servers: u32, shards: u32) {
    let mut fleet = Fleet::new(servers);
    let first = Command::AcceptBundle(AcceptBundle {
        digest: "0".repeat(64).parse().expect("a digest"),
        signed: SignedBundle {
            bundle: bundle(servers, shards),
            signatures: Vec::new(),
        },
    });
    let memory_before = resident_bytes();
    fleet.apply(&first);
    let settle = fleet.measure(PHASE_TIMEOUT, |fleet, _| fleet.is_settled());
    let fake_bytes = u64::from(shards) * 40; // Approximate size of the fake servers' maps.
    let memory = resident_bytes().saturating_sub(memory_before + fake_bytes);
    let steady_for = Duration::from_millis(200) * (STEADY_HEARTBEATS / servers);
    let timeout = PHASE_TIMEOUT.max(steady_for);
    let steady = fleet.measure(timeout, |_, elapsed| elapsed >= steady_for);
    let index = fleet.state.table_index();
    let lost = server_name(0);
    let orphans = fleet.servers.insert(lost, FakeServer::default());
    let loss = fleet.measure(PHASE_TIMEOUT, |fleet, _| fleet.is_settled());
    let delta = fleet.state.delta_since(index).expect("kept");
    let start = cpu_time();
    let snapshot = fleet.state.snapshot();
    let snapshot_time = cpu_time() - start;
    let start = cpu_time();
    let table = encode(&fleet.state.table()).expect("encodes").len();
    let table_time = cpu_time() - start;
    let seconds = steady.virtual_time.as_secs_f64();
    println!(
        "| {servers} | {shards} | {:.2} | {:.0} | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {} | {:.1} | {:.1} | {:.2} | {:.1} | {:.0} | {:.1} | {:.0} |",
        milliseconds(steady.coordinator) / seconds / 10.0,
        steady.messages as f64 / seconds,
        steady.message_bytes as f64 / seconds / 1_000.0,
        milliseconds(settle.coordinator),
        milliseconds(settle.apply),
        milliseconds(settle.virtual_time),
        settle.command_bytes as f64 / 1e6,
        orphans.map_or(0, |server| server.held.len()),
        milliseconds(loss.coordinator),
        loss.command_bytes as f64 / 1_000.0,
        loss.virtual_time.as_secs_f64(),
        encode(&delta).expect("encodes").len() as f64 / 1_000.0,
        milliseconds(snapshot_time),
        snapshot.len() as f64 / 1e6,
        milliseconds(table_time),
    );
    eprintln!(
        "table {:.1} MB, memory {:.0} MB",
        table as f64 / 1e6,
        memory as f64 / 1e6
    );
}
