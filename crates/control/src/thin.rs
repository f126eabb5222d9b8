//! A control process without replication: one process that keeps its state in memory.
//!
//! Stands in for the replicated control group until that is composed. It never grants a shard before
//! the previous owner released it or its lease ran out.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use grebepin_placement::{assign_orphans, Candidate};
use grebepin_schema::framing::{read_frame, write_frame};
use grebepin_schema::{
    ControlFrame, ControlSettings, Epoch, Grant, GrantAnswer, GrantRequest, GroupId,
    HeartbeatAnswer, HeartbeatRequest, HeldShard, LeaseRenewal, LogIndex, ReleaseAnswer,
    ReleaseRequest, RouterFrame, Server, ServerName, ServerStanding, Service, ServiceTable,
    ShardId, ShardOwner, SignedBundle, Table, TableSnapshot, Term,
};

const HEARTBEAT: Duration = Duration::from_millis(200);
const LEASE: Duration = Duration::from_millis(1000);
const PUSH_INTERVAL: Duration = Duration::from_millis(5);
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const GROUP: GroupId = GroupId(0);
const TERM: Term = Term(1);

/// Why the process could not run.
#[derive(Debug, thiserror::Error)]
pub enum ThinError {
    /// The settings file cannot be read.
    #[error("settings file: {0}")]
    Read(#[from] std::io::Error),
    /// The settings file does not fit the schema.
    #[error("settings file: {0}")]
    Settings(#[from] toml::de::Error),
    /// The admin address cannot be listened on.
    #[error("admin_address {0} cannot be listened on")]
    Listen(String),
}

struct ServerState {
    service: Service,
    server: Server,
    last_answer: Option<HeartbeatAnswer>,
    last_renewal: Option<Instant>,
    lost: bool,
}

#[derive(Default)]
struct State {
    index: u64,
    bundle: Option<SignedBundle>,
    owners: BTreeMap<String, Vec<ShardOwner>>,
    servers: BTreeMap<ServerName, ServerState>,
    /// Shards on their way: released by the owner before the new owner is named.
    moves: Vec<(String, u32, u32)>,
}

type Shared = Arc<Mutex<State>>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the process with the settings file at `path`; returns only on failure to start.
pub fn run(path: &Path) -> Result<(), ThinError> {
    let settings: ControlSettings = toml::from_str(&std::fs::read_to_string(path)?)?;
    let shared = Shared::default();
    let listener = TcpListener::bind(settings.router_address.as_str())?;
    let for_routers = Arc::clone(&shared);
    thread::spawn(move || accept_routers(&listener, &for_routers));
    let for_loss = Arc::clone(&shared);
    thread::spawn(move || watch_losses(&for_loss));
    let address = settings.admin_address.to_string();
    let server = rouille::Server::new(&address, move |request| admin(&shared, request))
        .map_err(|_| ThinError::Listen(address))?;
    server.run();
    Ok(())
}

fn admin(shared: &Shared, request: &rouille::Request) -> rouille::Response {
    match (request.method(), request.url().as_str()) {
        ("POST", "/v1/bundles") => match rouille::input::json_input::<SignedBundle>(request) {
            Ok(bundle) => {
                accept_bundle(shared, bundle);
                rouille::Response::json(&lock(shared).index)
            }
            Err(error) => rouille::Response::text(error.to_string()).with_status_code(400),
        },
        ("GET", "/v1/table") => rouille::Response::json(&snapshot(&lock(shared))),
        _ => rouille::Response::empty_404(),
    }
}

fn accept_bundle(shared: &Shared, signed: SignedBundle) {
    let mut state = lock(shared);
    state.index += 1;
    for service in &signed.bundle.services {
        for server in &service.servers {
            let known = state.servers.contains_key(&server.name);
            let entry = state.servers.entry(server.name.clone());
            entry
                .and_modify(|known| known.service = service.clone())
                .or_insert_with(|| ServerState {
                    service: service.clone(),
                    server: server.clone(),
                    last_answer: None,
                    last_renewal: None,
                    lost: false,
                });
            if !known {
                let shared = Arc::clone(shared);
                let name = server.name.clone();
                thread::spawn(move || heartbeat_loop(&shared, &name));
            }
        }
        place(&mut state, service);
    }
    state.bundle = Some(signed);
}

/// Names owners for a service's orphans, and plans moves toward the sides' shares.
fn place(state: &mut State, service: &Service) {
    let name = service.name.to_string();
    let candidates = candidates(state, service);
    let shards = service.shards.get() as usize;
    let none = ShardOwner {
        epoch: Epoch(0),
        server: None,
    };
    let mut owners = state
        .owners
        .remove(&name)
        .unwrap_or_else(|| vec![none; shards]);
    let current: Vec<Option<usize>> = owners
        .iter()
        .map(|owner| owner.server.map(|server| server as usize))
        .collect();
    let kept = without_excess(&candidates, &current);
    for (shard, server) in assign_orphans(&candidates, &kept) {
        if current[shard].is_none() {
            state.index += 1;
            owners[shard] = ShardOwner {
                epoch: Epoch(state.index),
                server: Some(server as u32),
            };
        } else {
            state
                .moves
                .push((name.clone(), shard as u32, server as u32));
        }
    }
    state.owners.insert(name, owners);
}

/// The owners with every shard above its server's share left out.
fn without_excess(candidates: &[Candidate], owners: &[Option<usize>]) -> Vec<Option<usize>> {
    let weights: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let mut left: Vec<usize> = candidates
        .iter()
        .map(|candidate| (owners.len() as f64 * candidate.weight / weights).ceil() as usize)
        .collect();
    let keep = |owner: &Option<usize>| {
        let server = (*owner)?;
        left[server] = left[server].checked_sub(1)?;
        Some(server)
    };
    owners.iter().map(keep).collect()
}

fn candidates(state: &State, service: &Service) -> Vec<Candidate> {
    let weight = |server: &Server| {
        let share = service.sides.iter().find(|side| side.side == server.side);
        share.map_or(0.0, |side| f64::from(side.share))
    };
    let lost = |server: &Server| {
        state
            .servers
            .get(&server.name)
            .is_some_and(|known| known.lost)
    };
    service
        .servers
        .iter()
        .map(|server| Candidate {
            weight: weight(server),
            eligible: weight(server) > 0.0 && !lost(server),
        })
        .collect()
}

fn watch_losses(shared: &Shared) {
    loop {
        thread::sleep(HEARTBEAT / 4);
        let mut state = lock(shared);
        let mut orphaned = Vec::new();
        for server in state.servers.values_mut() {
            let silent = server
                .last_renewal
                .is_some_and(|at| at.elapsed() > LEASE + LEASE / 50);
            if silent && !server.lost {
                server.lost = true;
                orphaned.push((server.service.clone(), server.server.name.clone()));
            }
        }
        for (service, lost) in orphaned {
            forget_owner(&mut state, &service, &lost);
            place(&mut state, &service);
        }
    }
}

fn forget_owner(state: &mut State, service: &Service, lost: &ServerName) {
    let position = service
        .servers
        .iter()
        .position(|server| &server.name == lost);
    state.index += 1;
    if let Some(owners) = state.owners.get_mut(service.name.as_str()) {
        for owner in owners.iter_mut() {
            if owner.server.map(|server| server as usize) == position {
                owner.server = None;
            }
        }
    }
}

fn heartbeat_loop(shared: &Shared, name: &ServerName) {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .build();
    let agent = ureq::Agent::new_with_config(config);
    loop {
        let started = Instant::now();
        heartbeat(shared, name, &agent);
        grant(shared, name, &agent);
        release(shared, name, &agent);
        thread::sleep(HEARTBEAT.saturating_sub(started.elapsed()));
    }
}

fn call<Q: serde::Serialize, A: serde::de::DeserializeOwned>(
    agent: &ureq::Agent,
    address: &str,
    path: &str,
    question: &Q,
) -> Option<A> {
    let url = format!("http://{address}/grebepin/v1/{path}");
    agent
        .post(&url)
        .send_json(question)
        .ok()?
        .body_mut()
        .read_json()
        .ok()
}

fn heartbeat(shared: &Shared, name: &ServerName, agent: &ureq::Agent) {
    let (address, lease) = {
        let state = lock(shared);
        let server = &state.servers[name];
        let lease = server
            .last_answer
            .as_ref()
            .filter(|_| !server.lost)
            .map(|answer| LeaseRenewal {
                session: answer.session,
                nonce: answer.nonce,
                duration_ms: LEASE.as_millis() as u64,
            });
        (server.server.address.to_string(), lease)
    };
    let sent = Instant::now();
    let renewing = lease.is_some();
    let question = HeartbeatRequest {
        group: GROUP,
        term: TERM,
        server: name.clone(),
        lease,
    };
    let answer: Option<HeartbeatAnswer> = call(agent, &address, "heartbeat", &question);
    let mut state = lock(shared);
    let Some(server) = state.servers.get_mut(name) else {
        return;
    };
    if let Some(answer) = answer {
        if renewing && answer.renewed {
            server.last_renewal = Some(sent);
        }
        server.last_answer = Some(answer);
    }
}

fn grant(shared: &Shared, name: &ServerName, agent: &ureq::Agent) {
    let Some((address, question)) = grant_request(&lock(shared), name) else {
        return;
    };
    let _: Option<GrantAnswer> = call(agent, &address, "grant", &question);
}

fn grant_request(state: &State, name: &ServerName) -> Option<(String, GrantRequest)> {
    let server = &state.servers[name];
    let answer = server
        .last_answer
        .as_ref()
        .filter(|answer| answer.lease_remaining_ms > 0)?;
    let position = server
        .service
        .servers
        .iter()
        .position(|other| &other.name == name)?;
    let owners = state.owners.get(server.service.name.as_str())?;
    let grants: Vec<Grant> = owners
        .iter()
        .enumerate()
        .filter(|(_, owner)| owner.server.map(|server| server as usize) == Some(position))
        .map(|(shard, owner)| Grant {
            service: server.service.name.clone(),
            shard: ShardId(shard as u32),
            epoch: owner.epoch,
            previous: None,
        })
        .collect();
    if grants.len() as u32 == answer.held {
        return None;
    }
    let question = GrantRequest {
        group: GROUP,
        term: TERM,
        session: answer.session,
        grants,
    };
    Some((server.server.address.to_string(), question))
}

/// Asks the server to release its shards that are to move, and names their new owners.
fn release(shared: &Shared, name: &ServerName, agent: &ureq::Agent) {
    let (address, question) = {
        let state = lock(shared);
        let server = &state.servers[name];
        let position = server
            .service
            .servers
            .iter()
            .position(|other| &other.name == name);
        let shards: Vec<HeldShard> = state
            .moves
            .iter()
            .filter(|(service, _, _)| service == server.service.name.as_str())
            .filter_map(|(service, shard, _)| {
                let owner = &state.owners[service][*shard as usize];
                let here = owner.server.map(|server| server as usize) == position;
                here.then(|| HeldShard {
                    service: server.service.name.clone(),
                    shard: ShardId(*shard),
                    epoch: owner.epoch,
                })
            })
            .collect();
        (
            server.server.address.to_string(),
            ReleaseRequest {
                group: GROUP,
                term: TERM,
                shards,
            },
        )
    };
    if question.shards.is_empty() {
        return;
    }
    let answer: Option<ReleaseAnswer> = call(agent, &address, "release", &question);
    let mut state = lock(shared);
    for released in answer.map(|answer| answer.released).unwrap_or_default() {
        finish_move(&mut state, &released);
    }
}

fn finish_move(state: &mut State, released: &HeldShard) {
    let moved = |(service, shard, _): &(String, u32, u32)| {
        service == released.service.as_str() && *shard == released.shard.0
    };
    let Some(position) = state.moves.iter().position(moved) else {
        return;
    };
    let (service, shard, server) = state.moves.swap_remove(position);
    state.index += 1;
    let epoch = Epoch(state.index);
    if let Some(owners) = state.owners.get_mut(&service) {
        owners[shard as usize] = ShardOwner {
            epoch,
            server: Some(server),
        };
    }
}

fn snapshot(state: &State) -> TableSnapshot {
    let services = state
        .bundle
        .iter()
        .flat_map(|signed| &signed.bundle.services);
    let services = services.map(|service| ServiceTable {
        service: service.clone(),
        standings: service
            .servers
            .iter()
            .map(|_| ServerStanding::Active)
            .collect(),
        owners: state
            .owners
            .get(service.name.as_str())
            .cloned()
            .unwrap_or_default(),
    });
    TableSnapshot {
        group: GROUP,
        index: LogIndex(state.index),
        table: Table {
            bundle_version: state
                .bundle
                .as_ref()
                .map_or(0, |signed| signed.bundle.version),
            bundle_digest: None,
            services: services.collect(),
        },
    }
}

fn accept_routers(listener: &TcpListener, shared: &Shared) {
    for connection in listener.incoming().flatten() {
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            let mut connection = connection;
            let follow: Result<RouterFrame, _> = read_frame(&mut connection);
            if follow.is_err() {
                return;
            }
            let mut sent = 0;
            loop {
                let table = snapshot(&lock(&shared));
                if table.index.0 > sent {
                    sent = table.index.0;
                    if write_frame(&mut connection, &ControlFrame::Snapshot(table)).is_err() {
                        return;
                    }
                }
                thread::sleep(PUSH_INTERVAL);
            }
        });
    }
}
