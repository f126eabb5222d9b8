//! The event loop: connections, deadlines, reloads and the end.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use grebepin_reactor::http::RequestLimits;
use grebepin_reactor::{Clock, Connection, Deadlines, StandstillWatch, TextAnswer, TextServer};
use grebepin_telemetry::{event, Event, GatewayMetrics, Metrics};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use signal_hook::consts::{SIGHUP, SIGTERM};

use crate::client_retries::ClientRetryDetector;
use crate::clients::{Client, Clients};
use crate::cooldowns::Cooldowns;
use crate::crash_history::CrashHistory;
use crate::evacuations::Evacuations;
use crate::flight::{FlightId, Flights};
use crate::follow::{Directory, Update};
use crate::headers::HeaderNames;
use crate::housekeeping::{changed_at, SETTINGS_LOOK_EVERY};
use crate::leaving::LeavingServers;
use crate::link_queue::LinkQueue;
use crate::load::LoadCounts;
use crate::load_balancer::LoadBalancer;
use crate::relay::Relay;
use crate::retry_budget::{RetryBudgetBound, RetryBudgets};
use crate::settings::GatewaySettings;
use crate::stated_rate::StatedRates;
use crate::stopping::Stopping;
use crate::table::{Splitter, Table, TableChange};
use crate::upstreams::Upstreams;
use crate::warmup::WarmupTurns;
use crate::GatewayError;

const FRONT_LISTENER: Token = Token(0);
const READY_LISTENER: Token = Token(1);
const METRICS_LISTENER: Token = Token(2);
const RELAY_LISTENER: Token = Token(3);
const FIRST_CONNECTION: usize = 4;

/// Events taken from the system at once.
const EVENT_BATCH: usize = 256;

/// Longest sleep, so that signals are noticed.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Descriptors kept free for files and listeners.
const RESERVED_DESCRIPTORS: usize = 250;

/// Largest body held in memory, whatever the configuration allows.
const MAXIMUM_BODY_BYTES: u64 = 32 << 20;

/// Smallest bound on heads, for clients that come before the configuration.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A request is given up.
    Expiry(FlightId),
    /// A request has waited long enough for its key's owner.
    OwnerWait(FlightId, u32),
    /// A request is sent to the owner of its key once more.
    RepeatWait(FlightId, u32),
    /// A request has waited long enough for room at a server.
    RoomWait(FlightId, u32),
    /// A request has waited long enough for the leader's permit.
    PermitWait(FlightId, u32),
    /// A connection to a server is not up yet.
    Connect(usize),
}

/// The process.
pub struct Server {
    pub(crate) settings_path: PathBuf,
    pub(crate) settings_changed: Option<SystemTime>,
    pub(crate) settings: GatewaySettings,
    pub(crate) names: HeaderNames,
    pub(crate) poll: Poll,
    front: TcpListener,
    pub(crate) ready: TextServer,
    pub(crate) metrics_server: Option<TextServer>,
    pub(crate) relay: Option<Relay>,
    registered: Metrics,
    pub(crate) metrics: GatewayMetrics,
    clock: Clock,
    standstill: StandstillWatch,
    pub(crate) next_token: usize,
    pub(crate) clients: Clients,
    pub(crate) upstreams: Upstreams,
    pub(crate) flights: Flights,
    /// Services of which some server has room again.
    pub(crate) services_with_room: BTreeSet<String>,
    pub(crate) deadlines: Deadlines<Due>,
    pub(crate) table: Table,
    pub(crate) splitter: Splitter,
    pub(crate) balance: LoadBalancer,
    pub(crate) budgets: RetryBudgets,
    pub(crate) zone_exits: Evacuations,
    pub(crate) warmup: WarmupTurns,
    pub(crate) stated_rates: StatedRates,
    pub(crate) cooldowns: Cooldowns,
    pub(crate) leaving: LeavingServers,
    /// Fields of answers that could not be used, each logged once.
    pub(crate) unusable_fields: BTreeSet<&'static str>,
    pub(crate) load: LoadCounts,
    pub(crate) crashes: CrashHistory,
    /// Bytes that wait for this machine's link.
    pub(crate) link_queue: LinkQueue,
    pub(crate) patience: ClientRetryDetector,
    pub(crate) random: SmallRng,
    pub(crate) directory: Directory,
    pub(crate) stopping: Option<Stopping>,
    announced_ready: bool,
    pub(crate) next_housekeeping: Duration,
    pub(crate) next_settings_look: Duration,
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) reload: Arc<AtomicBool>,
}

impl Server {
    /// Opens the sockets.
    pub fn start(path: &Path, names: HeaderNames) -> Result<Self, GatewayError> {
        let settings = GatewaySettings::load(path)?;
        let poll = Poll::new()?;
        let mut front = TcpListener::bind(settings.bind_address(settings.front_address))?;
        let registry = poll.registry();
        registry.register(&mut front, FRONT_LISTENER, Interest::READABLE)?;
        let ready_address = settings.bind_address(settings.ready_address);
        let ready = TextServer::listen(ready_address, registry, READY_LISTENER)?;
        let metrics_ip = settings.bind_address(settings.front_address).ip();
        let metrics_port = settings.metrics_port;
        let metrics_server =
            TextServer::listen_at(metrics_ip, metrics_port, registry, METRICS_LISTENER)?;
        let relay = match settings.relay_address() {
            None => None,
            Some(address) => {
                let address = settings.bind_address(address);
                Some(Relay::listen(address, registry, RELAY_LISTENER)?)
            }
        };
        let registered = Metrics::new();
        let metrics = GatewayMetrics::register(&registered)?;
        let stop = Arc::new(AtomicBool::new(false));
        let reload = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&reload))?;
        event!(
            Event::GatewayStarted,
            node = settings.node,
            front = settings.front_address,
            seeds = settings.seeds.len()
        );
        let bound = RetryBudgetBound {
            ratio: settings.bounds.budget_ratio,
            window: Duration::from_secs_f64(settings.bounds.budget_window_s),
            slack: settings.bounds.budget_slack,
        };
        let zone_exits = Evacuations::new(settings.evacuation_bound());
        let warmup = WarmupTurns::new(&settings.node);
        let stated_rates = StatedRates::new(&settings.node);
        let leaving = LeavingServers::new(settings.drain());
        let budgets = RetryBudgets::new(bound, &settings.node);
        let link_queue = LinkQueue::new(settings.link_mbps);
        let table = Table::new(&settings.node, &settings.zone);
        Ok(Self {
            settings_path: path.to_owned(),
            settings_changed: changed_at(path),
            directory: Directory::new(&settings),
            settings,
            names,
            poll,
            front,
            ready,
            metrics_server,
            relay,
            registered,
            metrics,
            clock: Clock::start(),
            standstill: StandstillWatch::default(),
            next_token: FIRST_CONNECTION,
            clients: Clients::new(),
            upstreams: Upstreams::default(),
            flights: Flights::default(),
            services_with_room: BTreeSet::new(),
            deadlines: Deadlines::default(),
            table,
            splitter: Splitter::default(),
            balance: LoadBalancer::default(),
            budgets,
            zone_exits,
            warmup,
            stated_rates,
            cooldowns: Cooldowns::default(),
            leaving,
            unusable_fields: BTreeSet::new(),
            load: LoadCounts::default(),
            crashes: CrashHistory::default(),
            link_queue,
            patience: ClientRetryDetector::default(),
            random: SmallRng::from_os_rng(),
            stopping: None,
            announced_ready: false,
            next_housekeeping: Duration::ZERO,
            next_settings_look: SETTINGS_LOOK_EVERY,
            stop,
            reload,
        })
    }

    /// Serves until the end.
    pub fn run(mut self) -> Result<(), GatewayError> {
        let mut events = Events::with_capacity(EVENT_BATCH);
        loop {
            let sleep = self.sleep();
            match self.poll.poll(&mut events, Some(sleep)) {
                Ok(()) => {}
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            if let Some(stood) = self.standstill.look(self.clock.now()) {
                event!(Event::StoodStill, ms = stood.as_millis());
            }
            for ready in &events {
                self.on_event(ready.token());
            }
            self.on_deadlines();
            self.retry_awaiting_room();
            self.do_housekeeping();
            if self.is_over() {
                event!(Event::Stopped, flights = self.flights.len());
                return Ok(());
            }
        }
    }

    fn is_over(&self) -> bool {
        let (flights, clients) = (self.flights.len(), self.clients.len());
        let now = self.now();
        self.stopping
            .is_some_and(|stopping| stopping.is_over(now, flights, clients))
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    fn sleep(&self) -> Duration {
        let now = self.now();
        let due = self.deadlines.next().unwrap_or(now + LONGEST_SLEEP);
        due.min(self.next_housekeeping)
            .saturating_sub(now)
            .min(LONGEST_SLEEP)
    }

    fn on_event(&mut self, token: Token) {
        match token {
            FRONT_LISTENER => self.accept_clients(),
            token if self.clients.contains_key(&token) => self.on_client(token),
            token if self.upstreams.owns(token) => self.on_upstream(token),
            token if self.directory.owns(token) => self.on_directory(token),
            token if self.relay.as_ref().is_some_and(|relay| relay.owns(token)) => {
                self.on_relay(token);
            }
            RELAY_LISTENER => self.accept_relayed(),
            token if self.ready.owns(token) => self.on_probe(token),
            token
                if self
                    .metrics_server
                    .as_ref()
                    .is_some_and(|one| one.owns(token)) =>
            {
                self.on_metrics(token);
            }
            _ => {}
        }
    }

    pub(crate) fn fresh_token(&mut self) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        token
    }

    fn accept_clients(&mut self) {
        let limit = self
            .settings
            .maximum_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS);
        while let Ok((stream, _)) = self.front.accept() {
            if self.clients.len() + self.upstreams.len() >= limit {
                continue;
            }
            let now = self.now();
            let token = self.fresh_token();
            if let Ok(connection) = Connection::register(stream, self.poll.registry(), token) {
                self.clients.insert(token, Client::new(connection, now));
            }
        }
    }

    /// Whether new clients are wanted.
    fn is_ready(&self) -> bool {
        self.stopping.is_none() && self.table.is_configured()
    }

    fn on_probe(&mut self, token: Token) {
        let now = self.now();
        let status = match self.is_ready() {
            true => 200,
            false => 503,
        };
        let registry = self.poll.registry();
        let next = &mut self.next_token;
        let answer = || TextAnswer {
            status,
            body: String::new(),
        };
        self.ready.on_event(now, token, registry, next, answer);
    }

    fn on_metrics(&mut self, token: Token) {
        let now = self.now();
        self.measure(now);
        let registered = &self.registered;
        let answer = || TextAnswer {
            status: 200,
            body: registered.render().unwrap_or_default(),
        };
        if let Some(metrics) = &mut self.metrics_server {
            let registry = self.poll.registry();
            metrics.on_event(now, token, registry, &mut self.next_token, answer);
        }
    }

    /// Brings the gauges up to date.
    fn measure(&self, now: Duration) {
        let metrics = &self.metrics;
        metrics.flights.set(self.flights.len() as i64);
        metrics.client_connections.set(self.clients.len() as i64);
        metrics.server_connections.set(self.upstreams.len() as i64);
        metrics.applied_index.set(self.table.applied() as i64);
        let age = self
            .directory
            .leader_heard
            .map(|heard| now.saturating_sub(heard));
        let age = age.map_or(-1, |age| age.as_millis() as i64);
        metrics.leader_age_ms.set(age);
        let links = self.directory.link_count();
        metrics.directory_links.set(links as i64);
        let rated = self.stated_rates.len();
        metrics.servers_stating_rates.set(rated as i64);
        let cooling_down = self.cooldowns.count(now);
        metrics.servers_cooling_down.set(cooling_down as i64);
        metrics.servers_leaving.set(self.leaving.len() as i64);
        let link_wait = self.link_queue.wait(now);
        metrics.link_wait_ms.set(link_wait.as_millis() as i64);
    }

    pub(crate) fn request_limits(&self) -> RequestLimits {
        match self.table.limits() {
            Some(limits) => RequestLimits {
                head_bytes: limits.header_bytes as usize,
                body_bytes: limits.body_bytes.min(MAXIMUM_BODY_BYTES),
            },
            None => RequestLimits {
                head_bytes: DEFAULT_HEAD_BYTES,
                body_bytes: MAXIMUM_BODY_BYTES,
            },
        }
    }

    fn accept_relayed(&mut self) {
        let now = self.now();
        if let Some(relay) = &mut self.relay {
            relay.accept(now, self.poll.registry(), &mut self.next_token);
        }
    }

    /// Something came from a gateway that follows this one.
    fn on_relay(&mut self, token: Token) {
        let now = self.now();
        let is_fed = self.directory.is_fed(now);
        if let Some(relay) = &mut self.relay {
            relay.on_event(now, token, &self.table, is_fed);
        }
    }

    fn on_directory(&mut self, token: Token) {
        let now = self.now();
        let updates = self.directory.on_event(now, token, self.table.applied());
        let mut change = TableChange::default();
        let mut permits = Vec::new();
        let mut follows_log = true;
        for update in updates {
            follows_log &= !matches!(update, Update::Whole(..));
            let one = match update {
                Update::Whole(index, catalog) => self.table.replace(index, *catalog),
                Update::Entries(entries) => self.take_entries(&entries),
                Update::Permit { id, permit } => {
                    permits.push((FlightId(id), permit));
                    TableChange::default()
                }
                Update::Gateways(count) => {
                    self.budgets.set_gateways(count);
                    self.balance.set_gateways(self.budgets.gateways());
                    TableChange::default()
                }
            };
            change.servers |= one.servers;
            change.owners |= one.owners;
            change.draining.extend(one.draining);
        }
        for id in &change.draining {
            self.leaving.note(id, now);
        }
        if change.servers {
            self.note_zones(now, follows_log);
            self.warmup.update(now, self.table.cold_servers());
        }
        if change.owners {
            self.retry_awaiting_owner();
        }
        for (flight, permit) in permits {
            self.on_permit(flight, permit);
        }
        self.tell_readiness();
    }

    /// Takes over which zones are evacuated.
    fn note_zones(&mut self, now: Duration, follows_log: bool) {
        let zones = self.table.evacuated_zones();
        for news in self.zone_exits.update(now, zones, follows_log) {
            event!(
                Event::EvacuationInForce,
                zone = news.zone,
                evacuated = news.evacuated,
                applied = self.table.applied()
            );
        }
    }

    /// How many gateways share the servers; `None` until a leader told.
    pub(crate) fn known_gateways(&self) -> Option<u32> {
        let is_known = self.directory.knows_gateways(self.now());
        is_known.then(|| self.budgets.gateways())
    }

    fn take_entries(&mut self, entries: &[(u64, grebepin_catalog::Entry)]) -> TableChange {
        let change = self.table.apply(entries);
        if let Some(relay) = &mut self.relay {
            relay.feed(entries, &self.table);
        }
        let newest = entries.last().map_or(0, |(index, _)| *index);
        if newest > self.table.applied() {
            self.directory.follow_again(self.table.applied());
        }
        change
    }

    pub(crate) fn tell_readiness(&mut self) {
        let ready = self.is_ready();
        if ready != self.announced_ready {
            self.announced_ready = ready;
            event!(
                Event::GatewayReady,
                ready = ready,
                applied = self.table.applied()
            );
        }
    }

    fn on_deadlines(&mut self) {
        let now = self.now();
        while let Some(due) = self.deadlines.pop_due(now) {
            match due {
                Due::Expiry(flight) => self.expire(flight),
                Due::OwnerWait(flight, sendings) => self.end_owner_wait(flight, sendings),
                Due::RepeatWait(flight, sendings) => self.end_repeat_wait(flight, sendings),
                Due::RoomWait(flight, sendings) => self.end_room_wait(flight, sendings),
                Due::PermitWait(flight, sendings) => self.end_permit_wait(flight, sendings),
                Due::Connect(token) => self.give_up_connecting(Token(token)),
            }
        }
    }
}
