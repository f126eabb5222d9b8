//! Model of a fleet: servers that follow the protocol, a network with delays, and changes of leader.
//!
//! The replicated state is a plain value: a command counts as committed once it is applied to it.

mod server;

use std::time::Duration;

use grebepin_catalog::{Catalog, Command, InstanceId, InstanceState, SHARDS};
use grebepin_grants::{Coordinator, Grant, Heartbeat, HeartbeatOutcome, LoadSample, ServerSample};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use server::ModelServer;

use crate::support::{heartbeat, sharded_service, timing, SERVICE};

const STEP: Duration = Duration::from_millis(20);
const TICK: Duration = Duration::from_millis(100);
const SERVERS: usize = 12;

/// Time for which the new heartbeats of a server are lost, longer than its lease.
const CUT_TIME: Duration = Duration::from_secs(5);

/// Faults and load of a run.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest delay of a heartbeat in the network.
    heartbeat_delay: Duration,
    /// Longest delay of a response in the network.
    response_delay: Duration,
    /// Fraction by which servers' clocks run slow at most.
    slow_clock: f64,
    /// Mean time between two changes of leader; zero for none.
    leader_every: Duration,
    /// Mean time between two servers that crash or drain; zero for none.
    crash_every: Duration,
    /// Mean time between two restarts of a server under its earlier name; zero for none.
    restart_every: Duration,
    /// Whether servers only drain and never crash.
    only_drains: bool,
    /// Fraction of the heartbeats of which a copy arrives as well, with a delay of its own.
    copies: f64,
    /// Mean time between two servers whose new heartbeats are lost for `CUT_TIME`; zero for none.
    cut_every: Duration,
    /// Mean time between two servers that gateways report as leaving; zero for none.
    leave_every: Duration,
    /// Mean time between two heartbeats of other writers with the address of a server; zero for none.
    claims_every: Duration,
    /// Whether gateways report load that is uneven among shards and servers.
    pub skewed_load: bool,
    /// Whether a new leader takes leases of earlier leaders into account.
    bounds_earlier_leases: bool,
    /// Whether an earlier leader keeps granting after its successor began.
    two_leaders: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_delay: Duration::from_millis(3_000),
            response_delay: Duration::from_millis(900),
            slow_clock: 0.02,
            leader_every: Duration::from_secs(7),
            crash_every: Duration::from_secs(4),
            restart_every: Duration::ZERO,
            only_drains: false,
            copies: 0.0,
            cut_every: Duration::ZERO,
            leave_every: Duration::ZERO,
            claims_every: Duration::ZERO,
            skewed_load: false,
            bounds_earlier_leases: true,
            two_leaders: false,
        }
    }
}

impl Settings {
    pub fn stable() -> Self {
        Self {
            heartbeat_delay: Duration::from_millis(20),
            response_delay: Duration::from_millis(20),
            leader_every: Duration::ZERO,
            crash_every: Duration::ZERO,
            ..Self::default()
        }
    }

    pub fn stable_with_moving_load() -> Self {
        Self {
            skewed_load: true,
            ..Self::stable()
        }
    }

    pub fn stable_with_drains() -> Self {
        Self {
            crash_every: Duration::from_secs(2),
            only_drains: true,
            ..Self::stable()
        }
    }

    /// Servers crash and restart at once under their names, besides all other faults.
    pub fn restarts() -> Self {
        Self {
            restart_every: Duration::from_millis(700),
            skewed_load: true,
            ..Self::default()
        }
    }

    /// Heartbeats arrive late and twice, at leaders that follow each other quickly, while servers are cut off and
    /// leave.
    pub fn late_heartbeats() -> Self {
        Self {
            heartbeat_delay: Duration::from_secs(8),
            leader_every: Duration::from_millis(2_500),
            crash_every: Duration::from_secs(1),
            restart_every: Duration::from_secs(3),
            only_drains: true,
            copies: 0.5,
            cut_every: Duration::from_millis(500),
            leave_every: Duration::from_millis(700),
            skewed_load: true,
            ..Self::default()
        }
    }

    pub fn stable_with_restarts() -> Self {
        Self {
            restart_every: Duration::from_secs(3),
            ..Self::stable()
        }
    }

    /// Other writers send heartbeats with the servers' addresses.
    pub fn stable_with_other_writers() -> Self {
        Self {
            claims_every: Duration::from_millis(100),
            ..Self::stable()
        }
    }

    /// Other writers send heartbeats with the servers' addresses, besides all other faults.
    pub fn other_writers() -> Self {
        Self {
            claims_every: Duration::from_millis(100),
            cut_every: Duration::from_secs(1),
            copies: 0.2,
            skewed_load: true,
            ..Self::default()
        }
    }

    pub fn moving_load() -> Self {
        Self {
            skewed_load: true,
            ..Self::default()
        }
    }

    pub fn without_bound_on_earlier_leases() -> Self {
        Self {
            bounds_earlier_leases: false,
            ..Self::default()
        }
    }

    pub fn too_slow_clocks() -> Self {
        Self {
            slow_clock: 0.6,
            heartbeat_delay: Duration::from_secs(9),
            ..Self::default()
        }
    }

    pub fn two_leaders() -> Self {
        Self {
            two_leaders: true,
            ..Self::default()
        }
    }
}

#[derive(Debug)]
enum Message {
    Heartbeat(Heartbeat),
    Answer {
        to: InstanceId,
        sent: Duration,
        grant: Option<Grant>,
    },
}

/// A running model.
pub struct Fleet {
    settings: Settings,
    random: SmallRng,
    now: Duration,
    catalog: Catalog,
    leader: Coordinator,
    earlier_leader: Option<Coordinator>,
    servers: Vec<ModelServer>,
    network: Vec<(Duration, Message)>,
    started: u64,
    /// Shards held by two servers at once: time, shard, holders.
    pub overlaps: Vec<(Duration, usize, Vec<InstanceId>)>,
    /// Shards held, summed over steps.
    pub held_shards: u64,
    steps: u64,
    /// Most bytes that the rows of one response took.
    pub largest_response: usize,
}

impl Fleet {
    pub fn new(seed: u64, settings: Settings) -> Self {
        let mut fleet = Self {
            settings,
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            catalog: sharded_service(None),
            leader: Coordinator::new(timing(), Duration::ZERO),
            earlier_leader: None,
            servers: Vec::new(),
            network: Vec::new(),
            started: 0,
            overlaps: Vec::new(),
            held_shards: 0,
            steps: 0,
            largest_response: 0,
        };
        for _ in 0..SERVERS {
            fleet.start_server();
        }
        fleet
    }

    pub fn run(&mut self, duration: Duration) {
        while self.now < duration && self.overlaps.is_empty() {
            self.now += STEP;
            self.change_leader();
            self.change_servers();
            self.deliver();
            self.report_load();
            self.send_heartbeats();
            if self.now.as_millis().is_multiple_of(TICK.as_millis()) {
                let commands = self.leader.tick(self.now, &self.catalog);
                self.commit(commands);
            }
            self.check();
        }
    }

    /// Fraction of all shards that had a holder, after the first 6 s.
    pub fn held_fraction(&self) -> f64 {
        self.held_shards as f64 / (self.steps as f64 * SHARDS as f64)
    }

    /// Reports load that is uneven among shards and servers to the leader.
    fn report_load(&mut self) {
        if !self.settings.skewed_load || !self.now.as_millis().is_multiple_of(1_000) {
            return;
        }
        let hot = self.random.random_range(0..SHARDS as u16);
        let shards = (0..60).map(|number| ((hot + number) % SHARDS as u16, 5));
        let servers = self.servers.iter().enumerate();
        let sample = LoadSample {
            shards: vec![(SERVICE.to_owned(), shards.collect())],
            servers: servers
                .map(|(number, server)| ServerSample {
                    id: server.id.clone(),
                    answers: 20,
                    seconds: 1.0 + number as f32,
                    stated_rate: None,
                    cooldown: None,
                    is_leaving: false,
                })
                .collect(),
        };
        self.leader.on_load(self.now, &self.catalog, &sample);
    }

    fn happens(&mut self, every: Duration) -> bool {
        !every.is_zero() && self.random.random::<f64>() < STEP.as_secs_f64() / every.as_secs_f64()
    }

    fn delay(&mut self, longest: Duration) -> Duration {
        // Most messages are fast, few are very late.
        let part = self.random.random::<f64>();
        longest.mul_f64(part * part * part * part)
    }

    fn start_server(&mut self) {
        self.started += 1;
        let number = self.started;
        let slow = self.settings.slow_clock * self.random.random::<f64>();
        self.servers
            .push(ModelServer::new(number, 1.0 - slow, self.now));
    }

    fn change_leader(&mut self) {
        if !self.happens(self.settings.leader_every) {
            return;
        }
        let since = match self.settings.bounds_earlier_leases {
            true => self.now,
            false => Duration::ZERO,
        };
        let next = Coordinator::new(timing(), since);
        let earlier = std::mem::replace(&mut self.leader, next);
        if self.settings.two_leaders {
            self.earlier_leader = Some(earlier);
        }
    }

    fn change_servers(&mut self) {
        if self.happens(self.settings.restart_every) {
            let number = self.random.random_range(0..self.servers.len());
            let restarted = self.servers[number].restarted(self.now);
            self.servers[number] = restarted;
        }
        if self.happens(self.settings.crash_every) {
            let number = self.random.random_range(0..self.servers.len());
            match self.random.random_range(0..3) {
                _ if self.settings.only_drains => self.servers[number].drain(),
                0 => self.servers[number].drain(),
                _ => _ = self.servers.remove(number),
            }
            self.start_server();
        }
        if self.happens(self.settings.cut_every) {
            let number = self.random.random_range(0..self.servers.len());
            self.servers[number].cut_until = self.now + CUT_TIME;
        }
        if self.happens(self.settings.leave_every) {
            let number = self.random.random_range(0..self.servers.len());
            self.commit(vec![Command::SetState {
                id: self.servers[number].id.clone(),
                state: InstanceState::Draining,
            }]);
            self.servers[number].leave(self.now);
            self.start_server();
        }
        if self.happens(self.settings.claims_every) {
            self.claim_address();
        }
        let now = self.now;
        self.servers.retain(|server| !server.has_left(now));
    }

    /// Sends a heartbeat of another writer with the address of a server, for the same service or for one that is not
    /// configured.
    fn claim_address(&mut self) {
        self.started += 1;
        let number = self.random.random_range(0..self.servers.len());
        let id = InstanceId::new(&format!("other-{}", self.started));
        let mut heartbeat = heartbeat(&id, self.servers[number].number, 1);
        heartbeat.sequence = self.random.random_range(1..1_000);
        heartbeat.draining = self.random.random();
        if self.random.random() {
            heartbeat.service = "not-configured".to_owned();
        }
        self.network.push((self.now, Message::Heartbeat(heartbeat)));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.network = later;
        for (_, message) in due {
            match message {
                Message::Heartbeat(heartbeat) => self.receive_heartbeat(&heartbeat),
                Message::Answer { to, sent, grant } => {
                    let server = self.servers.iter_mut().find(|server| server.id == to);
                    if let Some(server) = server {
                        server.receive_response(now, sent, grant);
                    }
                }
            }
        }
    }

    fn receive_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let to_earlier = self.earlier_leader.is_some() && self.random.random::<f64>() < 0.5;
        let leader = match (&mut self.earlier_leader, to_earlier) {
            (Some(earlier), true) => earlier,
            _ => &mut self.leader,
        };
        let outcome = leader.on_heartbeat(self.now, &self.catalog, heartbeat);
        let grant = match outcome {
            HeartbeatOutcome::Stale | HeartbeatOutcome::Incomplete => None,
            HeartbeatOutcome::Fresh(commands) => {
                for command in &commands {
                    self.catalog.apply(command);
                }
                leader.grant(self.now, &self.catalog, heartbeat)
            }
        };
        if let Some(grant) = &grant {
            self.largest_response = self.largest_response.max(response_bytes(grant));
        }
        let delay = self.delay(self.settings.response_delay);
        let sent = self.servers.iter().find(|server| server.id == heartbeat.id);
        let Some(sent) = sent.and_then(|server| server.sent_at(heartbeat.sequence)) else {
            return;
        };
        let to = heartbeat.id.clone();
        let answer = Message::Answer { to, sent, grant };
        self.network.push((self.now + delay, answer));
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        let mut heartbeats = Vec::new();
        for server in &mut self.servers {
            server.advance(now);
            let heartbeat = server.heartbeat(now);
            heartbeats.extend(heartbeat.filter(|_| now >= server.cut_until));
        }
        for heartbeat in heartbeats {
            if self.random.random::<f64>() < self.settings.copies {
                let delay = self
                    .settings
                    .heartbeat_delay
                    .mul_f64(self.random.random::<f64>());
                let copy = Message::Heartbeat(heartbeat.clone());
                self.network.push((now + delay, copy));
            }
            let delay = self.delay(self.settings.heartbeat_delay);
            self.network
                .push((now + delay, Message::Heartbeat(heartbeat)));
        }
    }

    fn commit(&mut self, commands: Vec<Command>) {
        for command in commands {
            self.catalog.apply(&command);
        }
    }

    fn check(&mut self) {
        let mut holders: Vec<Option<usize>> = vec![None; SHARDS];
        let mut held = 0;
        for (number, server) in self.servers.iter().enumerate() {
            for shard in server.held(self.now) {
                match holders[shard].replace(number) {
                    None => held += 1,
                    Some(other) => {
                        let other = self.servers[other].id.clone();
                        let both = vec![other, server.id.clone()];
                        self.overlaps = vec![(self.now, shard, both)];
                        return;
                    }
                }
            }
        }
        if self.now > Duration::from_secs(6) {
            self.steps += 1;
            self.held_shards += held;
        }
    }
}

/// Bytes of a grant's rows in the longest of the supported dialects.
fn response_bytes(grant: &Grant) -> usize {
    let rows = grant.rows.iter().map(|row| {
        format!(
            "[{},{},{},\"{}\"],",
            row.from, row.to, row.fence, row.handover
        )
        .len()
    });
    rows.sum()
}
