//! Measures the CPU time and bytes that a control leader spends on its routers and its table.
//!
//! `cargo run --release -p grebepin-control --example node_cost`

use std::fs;
use std::time::Duration;

use anyhow::{bail, Context};
use grebepin_bundle::{digest, public_key, sign, SigningKey};
use grebepin_control::{
    AdminRequest, ConnectionId, ControlNode, ControlTiming, NodeConfig, NodeGuards, NodeInput,
    NodeOutput, ReplyId,
};
use grebepin_ownership::OwnershipState;
use grebepin_schema::framing::encode;
use grebepin_schema::{
    AcceptBundle, AssignShards, Assignment, Command, ControlFrame, DrainServerRequest, Epoch,
    FollowRequest, FoundRequest, GroupId, LogIndex, MemberRole, ReplicaId, RouterFrame,
    ServiceName, ShardId, SignedBundle, SocketAddress, TrustedOperator,
};
use grebepin_storage::SimulatedDisk;
use serde_json::json;

const CHANGES: u64 = 4000;
const REPEATS: u32 = 20;
const FOLLOWERS: [u64; 4] = [1, 10, 100, 1000];
const SHARDS: [u32; 3] = [10_000, 100_000, 400_000];
const SERVERS: u32 = 100;
const ASSIGNMENTS_PER_COMMAND: usize = 4096;
const STEP: Duration = Duration::from_millis(10);

fn main() -> anyhow::Result<()> {
    println!("one change of the table, pushed to followers (one replica, simulated disk)");
    println!("followers  us/change  us/follower  bytes/follower");
    for followers in FOLLOWERS {
        measure_pushes(followers)?;
    }
    println!();
    println!("the whole table and the state's snapshot");
    println!("   shards  frame bytes  encode ms  snapshot bytes  snapshot ms");
    for shards in SHARDS {
        measure_full_table(shards)?;
    }
    Ok(())
}

/// CPU time of this thread.
fn cpu_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text
        .split_whitespace()
        .next()
        .context("schedstat is empty")?;
    Ok(Duration::from_nanos(first.parse()?))
}

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn bundle(shards: u32) -> anyhow::Result<SignedBundle> {
    let servers: Vec<_> = (0..SERVERS)
        .map(|number| {
            json!({
                "name": format!("server-{number}"), "zone": "zone-0", "side": "old", "slots": 2,
                "address": format!("10.0.{}.{}:9000", number / 250, number % 250 + 1),
                "connections": 100
            })
        })
        .collect();
    let bundle = serde_json::from_value(json!({
        "deployment": "cost",
        "version": 1,
        "services": [{
            "name": "ledger",
            "shards": shards,
            "sides": [{"side": "old", "share": 1}],
            "servers": servers,
            "classes": [{
                "name": "all", "path_prefix": "/", "repeatable": true, "priority": 0,
                "deadline_ms": 1000
            }],
            "queue": {"waiting_per_server": 10},
            "retry": {"budget_percent": 10, "attempts": 2},
            "churn": {"concurrent_moves": 4, "imbalance_percent": 10, "moves_per_minute": 100}
        }]
    }))?;
    let signature = sign(&bundle, &"rosa".parse()?, &key());
    Ok(SignedBundle {
        bundle,
        signatures: vec![signature],
    })
}

/// One replica on a simulated disk, stepped by the benchmark.
struct Driver {
    node: ControlNode<SimulatedDisk>,
    now: Duration,
    next_reply: u64,
}

impl Driver {
    fn start() -> anyhow::Result<Self> {
        let address = |port: u16| format!("127.0.0.1:{port}").parse::<SocketAddress>();
        let config = NodeConfig {
            group: GroupId(0),
            fresh_replica: ReplicaId(1),
            zone: "zone-0".parse()?,
            peer_address: address(1)?,
            router_address: address(2)?,
            admin_address: address(3)?,
            peers: Vec::new(),
            operators: vec![TrustedOperator {
                name: "rosa".parse()?,
                public_key: public_key(&key()),
            }],
            required_signatures: 1,
            timing: ControlTiming {
                snapshot_every_entries: 1_000_000,
                ..ControlTiming::default()
            },
            seed: 1,
            guards: NodeGuards::default(),
        };
        let member = config.member(ReplicaId(1), MemberRole::Voter);
        let now = Duration::from_secs(1);
        let node = ControlNode::open(config, SimulatedDisk::new(1), now)?;
        let mut driver = Self {
            node,
            now,
            next_reply: 0,
        };
        let request = FoundRequest {
            cluster: "00112233445566778899aabbccddeeff".parse()?,
            members: vec![member],
        };
        driver.ask(AdminRequest::Found(request));
        while !driver.node.is_serving() {
            driver.step(Vec::new());
        }
        Ok(driver)
    }

    fn step(&mut self, inputs: Vec<NodeInput>) -> Vec<NodeOutput> {
        self.now += STEP;
        self.node.handle(self.now, inputs)
    }

    fn ask(&mut self, request: AdminRequest) -> Vec<NodeOutput> {
        let reply = ReplyId(self.next_reply);
        self.next_reply += 1;
        self.step(vec![NodeInput::Admin { reply, request }])
    }
}

fn measure_pushes(followers: u64) -> anyhow::Result<()> {
    let mut driver = Driver::start()?;
    driver.ask(AdminRequest::SubmitBundle(Box::new(bundle(100)?)));
    for number in 0..followers {
        let request = FollowRequest {
            group: GroupId(0),
            have_index: LogIndex(0),
            incarnation: 1,
            router: format!("router-{number}").parse()?,
            zone: "zone-0".parse()?,
        };
        driver.step(vec![NodeInput::Router {
            connection: ConnectionId(number),
            frame: RouterFrame::Follow(request),
        }]);
    }
    let mut bytes = 0;
    let mut frames = 0;
    let before = cpu_time()?;
    let mut encoding_time = Duration::ZERO;
    for change in 0..CHANGES {
        let request = DrainServerRequest {
            server: "server-1".parse()?,
            draining: change % 2 == 0,
        };
        let outputs = driver.ask(AdminRequest::Drain(request));
        let started = cpu_time()?;
        for output in &outputs {
            if let NodeOutput::Router { frame, .. } = output {
                if matches!(frame.as_ref(), ControlFrame::Delta(_)) {
                    bytes += encode(frame.as_ref())?.len();
                    frames += 1;
                }
            }
        }
        encoding_time += cpu_time()? - started;
    }
    let spent = cpu_time()? - before - encoding_time;
    if frames == 0 {
        bail!("no delta was pushed");
    }
    let per_change = spent.as_secs_f64() * 1e6 / CHANGES as f64;
    println!(
        "{followers:>9}  {per_change:>9.1}  {:>11.2}  {:>14}",
        per_change / followers as f64,
        bytes / frames
    );
    Ok(())
}

fn measure_full_table(shards: u32) -> anyhow::Result<()> {
    let state = assigned_state(shards)?;
    let mut frame = Vec::new();
    let mut snapshot = Vec::new();
    let started = cpu_time()?;
    for _ in 0..REPEATS {
        frame = encode(&ControlFrame::Snapshot(state.table()))?;
    }
    let encoded = cpu_time()?;
    for _ in 0..REPEATS {
        snapshot = state.snapshot();
    }
    let saved = cpu_time()?;
    let milliseconds = |time: Duration| time.as_secs_f64() * 1e3 / f64::from(REPEATS);
    println!(
        "{shards:>9}  {:>11}  {:>9.1}  {:>14}  {:>11.1}",
        frame.len(),
        milliseconds(encoded - started),
        snapshot.len(),
        milliseconds(saved - encoded),
    );
    Ok(())
}

/// A state in which every shard has an owner.
fn assigned_state(shards: u32) -> anyhow::Result<OwnershipState> {
    let mut state = OwnershipState::new(GroupId(0));
    let signed = bundle(shards)?;
    let digest = digest(&signed.bundle);
    let accept = Command::AcceptBundle(AcceptBundle { signed, digest });
    let mut index = LogIndex(1);
    state.apply(index, &accept);
    let service: ServiceName = "ledger".parse()?;
    let all: Vec<u32> = (0..shards).collect();
    for batch in all.chunks(ASSIGNMENTS_PER_COMMAND) {
        let assignments = batch.iter().map(|shard| {
            Ok(Assignment {
                service: service.clone(),
                shard: ShardId(*shard),
                expected_epoch: Epoch(0),
                server: Some(format!("server-{}", shard % SERVERS).parse()?),
                released: true,
            })
        });
        let assignments = assignments.collect::<anyhow::Result<Vec<_>>>()?;
        index = LogIndex(index.0 + 1);
        state.apply(index, &Command::Assign(AssignShards { assignments }));
    }
    if state.unowned_shards() > 0 {
        bail!("{} shards have no owner", state.unowned_shards());
    }
    Ok(state)
}
