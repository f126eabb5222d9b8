//! A back end that keeps the contract's core: lease by nonce, grants, releases, the epoch check.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use grebepin_schema::hashing::shard_hash;
use grebepin_schema::{
    BusyShard, Epoch, GrantAnswer, GrantRequest, HeartbeatAnswer, HeartbeatRequest, HeldShard,
    Nonce, Refusal, ReleaseAnswer, ReleaseRequest, ServiceName, Session, ShardId,
};
use rouille::{Request, Response};

/// Flags of a back end.
#[derive(Debug, clap::Args)]
pub struct BackEndArguments {
    /// Address to listen on.
    #[arg(long)]
    pub listen: String,
    /// File that receives a line for each effect: key, request id, epoch.
    #[arg(long)]
    pub effects: PathBuf,
    /// Time that one request takes, in ms.
    #[arg(long, default_value_t = 2)]
    pub service_ms: u64,
}

struct State {
    session: Session,
    lease_until: Option<Instant>,
    nonces: Vec<(Nonce, Instant)>,
    last_nonce: u64,
    held: BTreeMap<(ServiceName, ShardId), Holding>,
    effects: File,
}

struct Holding {
    epoch: Epoch,
    in_flight: u32,
    releasing: bool,
}

const NEWEST_NONCES: usize = 4;

impl State {
    fn leased(&self) -> bool {
        self.lease_until.is_some_and(|until| until > Instant::now())
    }

    fn drop_lapsed(&mut self) {
        if self.lease_until.is_some() && !self.leased() {
            self.held.clear();
            self.lease_until = None;
            self.session = Session(self.session.0 + 1);
        }
    }
}

struct BackEnd {
    state: Mutex<State>,
    service_time: Duration,
}

/// Runs a back end until it is killed.
pub fn run(arguments: &BackEndArguments) -> anyhow::Result<()> {
    let state = State {
        session: Session(rand::random()),
        lease_until: None,
        nonces: Vec::new(),
        last_nonce: 0,
        held: BTreeMap::new(),
        effects: File::options()
            .append(true)
            .create(true)
            .open(&arguments.effects)?,
    };
    let service_time = Duration::from_millis(arguments.service_ms);
    let back_end = BackEnd {
        state: Mutex::new(state),
        service_time,
    };
    let server = rouille::Server::new(&arguments.listen, move |request| back_end.answer(request))
        .map_err(|error| anyhow::anyhow!("{error}"))?;
    server.run();
    Ok(())
}

impl BackEnd {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.drop_lapsed();
        state
    }

    fn answer(&self, request: &Request) -> Response {
        match request.url().as_str() {
            "/grebepin/v1/heartbeat" => self.with_body(request, Self::heartbeat),
            "/grebepin/v1/grant" => self.with_body(request, Self::grant),
            "/grebepin/v1/release" => self.with_body(request, Self::release),
            _ => self.serve(request),
        }
    }

    fn with_body<Q, A>(&self, request: &Request, handle: fn(&Self, Q) -> A) -> Response
    where
        Q: serde::de::DeserializeOwned,
        A: serde::Serialize,
    {
        match rouille::input::json_input::<Q>(request) {
            Ok(question) => Response::json(&handle(self, question)),
            Err(error) => Response::text(error.to_string()).with_status_code(400),
        }
    }

    fn heartbeat(&self, request: HeartbeatRequest) -> HeartbeatAnswer {
        let mut state = self.lock();
        let renewed = request.lease.is_some_and(|lease| {
            let issued = state.nonces.iter().find(|(nonce, _)| *nonce == lease.nonce);
            let until = issued.map(|(_, at)| *at + Duration::from_millis(lease.duration_ms));
            let valid = lease.session == state.session && until > Some(Instant::now());
            if valid {
                state.lease_until = state.lease_until.max(until);
            }
            valid
        });
        state.last_nonce += 1;
        let nonce = Nonce(state.last_nonce);
        state.nonces.push((nonce, Instant::now()));
        if state.nonces.len() > NEWEST_NONCES {
            state.nonces.remove(0);
        }
        let remaining = state
            .lease_until
            .map(|until| until.saturating_duration_since(Instant::now()));
        HeartbeatAnswer {
            boot: 0,
            session: state.session,
            nonce,
            renewed,
            lease_remaining_ms: remaining.map_or(0, |left| left.as_millis() as u64),
            held: state.held.len() as u32,
            held_checksum: state
                .held
                .iter()
                .map(|((service, shard), holding)| shard_hash(service, *shard, holding.epoch))
                .fold(0, u64::wrapping_add),
            draining: false,
            in_flight: state.held.values().map(|holding| holding.in_flight).sum(),
        }
    }

    fn grant(&self, request: GrantRequest) -> GrantAnswer {
        let mut state = self.lock();
        let valid = request.session == state.session && state.leased();
        let mut accepted = Vec::new();
        for grant in request.grants.into_iter().filter(|_| valid) {
            let place = (grant.service.clone(), grant.shard);
            let newer = state
                .held
                .get(&place)
                .is_none_or(|held| held.epoch < grant.epoch);
            if newer {
                let holding = Holding {
                    epoch: grant.epoch,
                    in_flight: 0,
                    releasing: false,
                };
                state.held.insert(place, holding);
            }
            accepted.push(HeldShard {
                service: grant.service,
                shard: grant.shard,
                epoch: grant.epoch,
            });
        }
        GrantAnswer {
            boot: 0,
            session: state.session,
            accepted,
            refused: Vec::new(),
        }
    }

    fn release(&self, request: ReleaseRequest) -> ReleaseAnswer {
        let mut state = self.lock();
        let mut answer = ReleaseAnswer {
            released: Vec::new(),
            busy: Vec::new(),
        };
        for shard in request.shards {
            let place = (shard.service.clone(), shard.shard);
            let in_flight = match state.held.get_mut(&place) {
                Some(held) if held.epoch == shard.epoch => {
                    held.releasing = true;
                    held.in_flight
                }
                _ => 0,
            };
            if in_flight == 0 {
                state.held.remove(&place);
                answer.released.push(shard);
            } else {
                answer.busy.push(BusyShard {
                    service: shard.service,
                    shard: shard.shard,
                    epoch: shard.epoch,
                    in_flight,
                });
            }
        }
        answer
    }

    fn serve(&self, request: &Request) -> Response {
        let Some((place, epoch)) = addressed_shard(request) else {
            return refuse(Refusal::BadRequest);
        };
        if let Err(refusal) = self.begin(&place, epoch) {
            return refuse(refusal);
        }
        std::thread::sleep(self.service_time);
        let key = request.header("Grebepin-Key").unwrap_or_default();
        let id = request.header("Grebepin-Request-Id").unwrap_or_default();
        let mut body = Vec::new();
        if let Some(mut data) = request.data() {
            data.read_to_end(&mut body).ok();
        }
        match self.finish(&place, epoch, &format!("{key} {id} {}\n", epoch.0)) {
            Ok(()) => Response::text(format!("done {id}"))
                .with_additional_header("Grebepin-Request-Id", id.to_string()),
            Err(refusal) => refuse(refusal),
        }
    }

    fn begin(&self, place: &(ServiceName, ShardId), epoch: Epoch) -> Result<(), Refusal> {
        let mut state = self.lock();
        if !state.leased() {
            return Err(Refusal::NoLease);
        }
        let held = state.held.get_mut(place).filter(|held| held.epoch == epoch);
        let held = held.ok_or(Refusal::WrongEpoch)?;
        if held.releasing {
            return Err(Refusal::Releasing);
        }
        held.in_flight += 1;
        Ok(())
    }

    /// Checks lease and epoch again, then makes the effect.
    fn finish(
        &self,
        place: &(ServiceName, ShardId),
        epoch: Epoch,
        line: &str,
    ) -> Result<(), Refusal> {
        let mut state = self.lock();
        let held = state.held.get_mut(place).filter(|held| held.epoch == epoch);
        let held = held.ok_or(Refusal::WrongEpoch)?;
        held.in_flight -= 1;
        state
            .effects
            .write_all(line.as_bytes())
            .map_err(|_| Refusal::Shed)
    }
}

fn addressed_shard(request: &Request) -> Option<((ServiceName, ShardId), Epoch)> {
    let service = request.header("Grebepin-Service")?.parse().ok()?;
    let shard = ShardId(request.header("Grebepin-Shard")?.parse().ok()?);
    let epoch = Epoch(request.header("Grebepin-Epoch")?.parse().ok()?);
    Some(((service, shard), epoch))
}

fn refuse(refusal: Refusal) -> Response {
    Response::empty_204()
        .with_status_code(503)
        .with_additional_header("Grebepin-Refusal", refusal.to_string())
}
