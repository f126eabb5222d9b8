//! The event loop: dispatches socket events and timers, applies updates from the directory, and ends the
//! process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use grebepin_reactor::http::RequestLimits;
use grebepin_reactor::{Clock, Connection, Deadlines, StallDetector, StallSearch, TextServer};
use grebepin_telemetry::{event, Event, GatewayMetrics, Metrics};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use signal_hook::consts::{SIGHUP, SIGTERM};

use crate::client_retries::ClientRetryDetector;
use crate::clients::{Client, Clients};
use crate::cooldowns::Cooldowns;
use crate::crash_history::CrashHistory;
use crate::evacuations::Evacuations;
use crate::follow::DirectoryClient;
use crate::headers::HeaderNames;
use crate::held_memory::HeldMemory;
use crate::housekeeping::{modified_at, SETTINGS_CHECK_INTERVAL};
use crate::in_flight::{InFlightId, InFlightRequests};
use crate::leaving::LeavingServers;
use crate::link_queue::LinkQueue;
use crate::load::LoadCounts;
use crate::load_balancer::LoadBalancer;
use crate::peer_connections::PeerConnections;
use crate::peers::Peers;
use crate::reachability::Reachability;
use crate::relay::{Relay, RelayedState};
use crate::retry_budget::{RetryBudgetBound, RetryBudgets};
use crate::settings::GatewaySettings;
use crate::standstill::Standstill;
use crate::stated_rate::StatedRates;
use crate::stopping::Stopping;
use crate::table::{Splitter, Table};
use crate::upstreams::Upstreams;
use crate::warmup::WarmupTurns;
use crate::GatewayError;

const CLIENT_LISTENER: Token = Token(0);
const READINESS_LISTENER: Token = Token(1);
const METRICS_LISTENER: Token = Token(2);
const RELAY_LISTENER: Token = Token(3);
const PEER_LISTENER: Token = Token(4);
const FIRST_CONNECTION: usize = 5;

/// Capacity of the event buffer that each poll fills.
const EVENT_CAPACITY: usize = 256;

/// Longest time to block in poll, so that signals are noticed.
const MAX_POLL_TIME: Duration = Duration::from_millis(100);

/// Requests of one connection, or reads of one response, that are handled in one turn of the event loop, to spread the
/// cost of polling.
const ROUNDS_PER_TURN: usize = 16;

/// Time after which a turn of the event loop begins no further round, so that other connections and timers do not wait
/// for many connections that always have more input.
const MAX_ROUNDS_TIME: Duration = Duration::from_millis(1);

/// File descriptors reserved for files and listeners, which client and server connections never use.
const RESERVED_DESCRIPTORS: usize = 250;

/// Largest head of a request that is buffered; the configuration can only lower this limit.
const MAX_HEAD_BYTES: u64 = 32 << 20;

/// Limit on request heads until the first configuration arrives.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// Timers of the event loop. The `u32` is the request's number of attempts when the timer was set, so that a
/// timer of an earlier wait is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The request is given up.
    RequestExpiry(InFlightId),
    /// The longest wait for an owner of the key's shard is over.
    OwnerWait(InFlightId, u32),
    /// The delay before a retry at the key's owner is over.
    RetryWait(InFlightId, u32),
    /// The wait for server capacity is over, or a pause that closed the server ends.
    CapacityWait(InFlightId, u32),
    /// The longest wait for the leader's permit is over.
    PermitWait(InFlightId, u32),
    /// The connection to a server with this token must be established by now.
    ConnectTimeout(usize),
    /// The connection to another gateway with this token must be established by now.
    PeerConnectTimeout(usize),
}

/// The gateway's event loop, with all state of the process.
pub struct EventLoop {
    pub(crate) settings_path: PathBuf,
    pub(crate) settings_modified: Option<SystemTime>,
    pub(crate) settings: GatewaySettings,
    pub(crate) names: HeaderNames,
    pub(crate) poll: Poll,
    client_listener: TcpListener,
    /// Accepts requests that other gateways forward.
    peer_listener: Option<TcpListener>,
    pub(crate) readiness_server: TextServer,
    pub(crate) metrics_server: Option<TextServer>,
    pub(crate) relay: Option<Relay>,
    pub(crate) metrics_registry: Metrics,
    pub(crate) metrics: GatewayMetrics,
    clock: Clock,
    stall_detector: StallDetector,
    pub(crate) standstill: Standstill,
    pub(crate) next_token: usize,
    pub(crate) clients: Clients,
    pub(crate) held_memory: HeldMemory,
    pub(crate) stall_search: StallSearch,
    /// The search for connections that can be closed to make room for others.
    pub(crate) rest_search: StallSearch,
    pub(crate) upstreams: Upstreams,
    pub(crate) peers: Peers,
    pub(crate) peer_connections: PeerConnections,
    pub(crate) in_flight: InFlightRequests,
    /// Services with a server that may accept more requests since their waiting requests were last
    /// dispatched.
    pub(crate) services_with_capacity: BTreeSet<String>,
    /// Connections whose input is not used up, though no event may come for it.
    pub(crate) unfinished: BTreeSet<Token>,
    pub(crate) timers: Deadlines<Timer>,
    pub(crate) table: Table,
    pub(crate) splitter: Splitter,
    pub(crate) load_balancer: LoadBalancer,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) evacuations: Evacuations,
    pub(crate) warmup: WarmupTurns,
    pub(crate) stated_rates: StatedRates,
    pub(crate) cooldowns: Cooldowns,
    pub(crate) leaving: LeavingServers,
    pub(crate) reachability: Reachability,
    /// Response header fields that held an unusable value; each is logged once.
    pub(crate) unusable_fields: BTreeSet<&'static str>,
    pub(crate) load: LoadCounts,
    pub(crate) crashes: CrashHistory,
    /// Estimate of the bytes queued on this machine's network link.
    pub(crate) link_queue: LinkQueue,
    pub(crate) client_retries: ClientRetryDetector,
    pub(crate) random: SmallRng,
    pub(crate) directory: DirectoryClient,
    pub(crate) stopping: Option<Stopping>,
    pub(crate) logged_ready: bool,
    pub(crate) logged_outdated: bool,
    pub(crate) next_housekeeping: Duration,
    pub(crate) next_settings_check: Duration,
    pub(crate) stop_requested: Arc<AtomicBool>,
    pub(crate) reload_requested: Arc<AtomicBool>,
}

impl EventLoop {
    /// Loads the settings, opens the listeners and installs the signal handlers.
    pub fn start(path: &Path, names: HeaderNames) -> Result<Self, GatewayError> {
        let settings = GatewaySettings::load(path)?;
        let poll = Poll::new()?;
        let mut client_listener = TcpListener::bind(settings.bind_address(settings.front_address))?;
        let registry = poll.registry();
        registry.register(&mut client_listener, CLIENT_LISTENER, Interest::READABLE)?;
        let ready_address = settings.bind_address(settings.ready_address);
        let readiness_server = TextServer::listen(ready_address, registry, READINESS_LISTENER)?;
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
        let peer_listener = match settings.peer_port() {
            None => None,
            Some(port) => {
                let address = SocketAddr::new(settings.front_address.ip(), port);
                let mut listener = TcpListener::bind(settings.bind_address(address))?;
                registry.register(&mut listener, PEER_LISTENER, Interest::READABLE)?;
                Some(listener)
            }
        };
        let metrics_registry = Metrics::new();
        let metrics = GatewayMetrics::register(&metrics_registry)?;
        let stop_requested = Arc::new(AtomicBool::new(false));
        let reload_requested = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&stop_requested))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&reload_requested))?;
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
        let evacuations = Evacuations::new(settings.evacuation_bound());
        let warmup = WarmupTurns::new(&settings.node);
        let stated_rates = StatedRates::new(&settings.node);
        let leaving = LeavingServers::new(settings.drain());
        let retry_budgets = RetryBudgets::new(bound, &settings.node);
        let link_queue = LinkQueue::new(settings.link_mbps);
        let reachability = Reachability::new(&settings.node);
        let peers = Peers::new(&settings.zone);
        let table = Table::new(&settings.node, &settings.zone);
        Ok(Self {
            settings_path: path.to_owned(),
            settings_modified: modified_at(path),
            directory: DirectoryClient::new(&settings),
            settings,
            names,
            poll,
            client_listener,
            peer_listener,
            readiness_server,
            metrics_server,
            relay,
            metrics_registry,
            metrics,
            clock: Clock::start(),
            stall_detector: StallDetector::default(),
            standstill: Standstill::default(),
            next_token: FIRST_CONNECTION,
            clients: Clients::new(),
            held_memory: HeldMemory::default(),
            stall_search: StallSearch::default(),
            rest_search: StallSearch::default(),
            upstreams: Upstreams::default(),
            peers,
            peer_connections: PeerConnections::default(),
            in_flight: InFlightRequests::default(),
            services_with_capacity: BTreeSet::new(),
            unfinished: BTreeSet::new(),
            timers: Deadlines::default(),
            table,
            splitter: Splitter::default(),
            load_balancer: LoadBalancer::default(),
            retry_budgets,
            evacuations,
            warmup,
            stated_rates,
            cooldowns: Cooldowns::default(),
            leaving,
            reachability,
            unusable_fields: BTreeSet::new(),
            load: LoadCounts::default(),
            crashes: CrashHistory::default(),
            link_queue,
            client_retries: ClientRetryDetector::default(),
            random: SmallRng::from_os_rng(),
            stopping: None,
            logged_ready: false,
            logged_outdated: false,
            next_housekeeping: Duration::ZERO,
            next_settings_check: SETTINGS_CHECK_INTERVAL,
            stop_requested,
            reload_requested,
        })
    }

    /// Serves requests until the shutdown is complete.
    pub fn run(mut self) -> Result<(), GatewayError> {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let timeout = self.poll_timeout();
            let was_interrupted = match self.poll.poll(&mut events, Some(timeout)) {
                Ok(()) => false,
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => true,
                Err(error) => return Err(error.into()),
            };
            for event in events.iter().filter(|event| event.is_read_closed()) {
                self.note_read_closed(event.token());
            }
            let mut ready: Vec<Token> = events.iter().map(|event| event.token()).collect();
            let is_complete = !was_interrupted && ready.len() < EVENT_CAPACITY;
            let stall = self.stall_detector.check(self.clock.now());
            if let Some(stall) = stall {
                self.note_stall(stall);
                // More sockets may be ready by now than one poll returns.
                ready.extend(self.directory.tokens());
            }
            // Changes go first: a request that waits beside one may have been sent after its acknowledgement.
            ready.sort_by_cached_key(|token| self.directory.read_order(*token));
            for token in ready {
                self.on_event(token);
            }
            if stall.is_none() {
                self.standstill.end_turn(is_complete);
            }
            self.handle_unfinished();
            self.run_timers();
            self.dispatch_awaiting_capacity();
            self.do_housekeeping();
            if self.is_shut_down() {
                event!(Event::Stopped, flights = self.in_flight.len());
                return Ok(());
            }
        }
    }

    /// Handles the end of a standstill of this length.
    fn note_stall(&mut self, stall: Duration) {
        event!(Event::StoodStill, ms = stall.as_millis());
        self.directory.note_standstill();
        let since = self.now().saturating_sub(stall);
        let sockets = self.connection_count();
        self.standstill.note(since, sockets, EVENT_CAPACITY);
    }

    /// Handles the connections whose input is not used up, in turn, each a bounded number of times.
    fn handle_unfinished(&mut self) {
        if self.unfinished.is_empty() {
            return;
        }
        let started = self.now();
        for _ in 0..ROUNDS_PER_TURN {
            if self.unfinished.is_empty() || self.now() > started + MAX_ROUNDS_TIME {
                return;
            }
            for token in std::mem::take(&mut self.unfinished) {
                self.on_event(token);
            }
        }
    }

    fn is_shut_down(&self) -> bool {
        let (in_flight, clients) = (self.in_flight.len(), self.clients.len());
        let now = self.now();
        self.stopping
            .is_some_and(|stopping| stopping.is_over(now, in_flight, clients))
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    fn poll_timeout(&self) -> Duration {
        if !self.unfinished.is_empty() {
            return Duration::ZERO;
        }
        let now = self.now();
        let due = self.timers.next().unwrap_or(now + MAX_POLL_TIME);
        due.min(self.next_housekeeping)
            .saturating_sub(now)
            .min(MAX_POLL_TIME)
    }

    /// Records that the peer of a connection closed its side.
    fn note_read_closed(&mut self, token: Token) {
        if let Some(client) = self.clients.get_mut(&token) {
            client.connection.note_read_closed();
        } else if let Some(upstream) = self.upstreams.get_mut(token) {
            upstream.connection.note_read_closed();
        } else if let Some(peer) = self.peer_connections.get_mut(token) {
            peer.connection.note_read_closed();
        }
    }

    fn on_event(&mut self, token: Token) {
        match token {
            CLIENT_LISTENER => self.accept_clients(),
            PEER_LISTENER => self.accept_peers(),
            token if self.clients.contains_key(&token) => self.on_client(token),
            token if self.upstreams.owns(token) => self.on_upstream(token),
            token if self.peer_connections.owns(token) => self.on_peer(token),
            token if self.directory.owns(token) => self.on_directory(token),
            token if self.relay.as_ref().is_some_and(|relay| relay.owns(token)) => {
                self.on_follower(token);
            }
            RELAY_LISTENER => self.accept_followers(),
            token if self.readiness_server.owns(token) => self.on_readiness_request(token),
            token
                if self
                    .metrics_server
                    .as_ref()
                    .is_some_and(|one| one.owns(token)) =>
            {
                self.on_metrics_request(token);
            }
            _ => {}
        }
    }

    pub(crate) fn allocate_token(&mut self) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        token
    }

    fn accept_clients(&mut self) {
        let limit = self.connection_capacity();
        while let Ok((stream, _)) = self.client_listener.accept() {
            self.reclaim_connections(limit);
            self.add_client(stream, limit, false);
        }
    }

    /// Accepts connections of other gateways. They may use half of the descriptors, so that own clients still
    /// connect.
    fn accept_peers(&mut self) {
        let limit = self.connection_capacity() / 2;
        while let Some(Ok((stream, _))) = self.peer_listener.as_ref().map(TcpListener::accept) {
            self.add_client(stream, limit, true);
        }
    }

    /// Adds an accepted connection unless there are `limit` already.
    fn add_client(&mut self, stream: TcpStream, limit: usize, is_peer: bool) {
        if self.connection_count() >= limit {
            return;
        }
        let now = self.now();
        let token = self.allocate_token();
        if let Ok(connection) = Connection::register(stream, self.poll.registry(), token) {
            let mut client = Client::new(connection, now, is_peer, &self.held_memory);
            if let Some(since) = self.standstill.waiting_since() {
                client.note_waiting(since);
            }
            self.clients.insert(token, client);
        }
    }

    /// Number of connections that clients, servers and other gateways may have together.
    fn connection_capacity(&self) -> usize {
        let descriptors = self.settings.maximum_descriptors;
        descriptors.saturating_sub(RESERVED_DESCRIPTORS)
    }

    pub(crate) fn connection_count(&self) -> usize {
        self.clients.len() + self.upstreams.len() + self.peer_connections.len()
    }

    pub(crate) fn request_limits(&self) -> RequestLimits {
        let memory = self.settings.memory_bounds().message as u64;
        match self.table.limits() {
            Some(limits) => RequestLimits {
                head_bytes: limits.header_bytes.min(MAX_HEAD_BYTES) as usize,
                body_bytes: limits.body_bytes.min(memory),
            },
            None => RequestLimits {
                head_bytes: DEFAULT_HEAD_BYTES,
                body_bytes: memory,
            },
        }
    }

    fn accept_followers(&mut self) {
        let now = self.now();
        if let Some(relay) = &mut self.relay {
            relay.accept(now, self.poll.registry(), &mut self.next_token);
        }
    }

    /// Handles an event on the connection of a gateway that follows this one.
    fn on_follower(&mut self, token: Token) {
        let now = self.now();
        let state = RelayedState {
            table: &self.table,
            is_fed: self.directory.is_fed(now) && !self.is_outdated(),
            age: self.directory.state_age(now),
        };
        if let Some(relay) = &mut self.relay {
            relay.on_event(now, token, state);
        }
    }

    /// Number of gateways that share the servers; `None` until a leader has reported it and the count has
    /// settled.
    pub(crate) fn gateway_count(&self) -> Option<u32> {
        let is_known = self.directory.knows_gateway_count(self.now());
        is_known.then(|| self.retry_budgets.gateways())
    }

    fn run_timers(&mut self) {
        let now = self.now();
        while let Some(due) = self.timers.pop_due(now) {
            match due {
                Timer::RequestExpiry(request) => self.expire(request),
                Timer::OwnerWait(request, attempts) => self.end_owner_wait(request, attempts),
                Timer::RetryWait(request, attempts) => self.end_retry_wait(request, attempts),
                Timer::CapacityWait(request, attempts) => self.end_capacity_wait(request, attempts),
                Timer::PermitWait(request, attempts) => self.end_permit_wait(request, attempts),
                Timer::ConnectTimeout(token) => self.on_connect_timeout(Token(token)),
                Timer::PeerConnectTimeout(token) => self.on_peer_connect_timeout(Token(token)),
            }
        }
    }
}
