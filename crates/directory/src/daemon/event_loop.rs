//! The event loop: accepts connections, passes inputs to the node and performs its outputs.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use grebepin_reactor::{
    Clock, Connection, MemoryAccount, PollHistory, StallDetector, StallSearch, TextServer,
};
use grebepin_storage::RealDisk;
use grebepin_telemetry::{event, DirectoryMetrics, Event, Metrics};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};

use super::bad_calls::BadCalls;
use super::calls::{Calls, Origin};
use super::evacuation_calls::CallSource;
use super::event_log::log_notice;
use super::feed::Feeder;
use super::housekeeping::SETTINGS_CHECK_INTERVAL;
use super::http_connection::{HttpConnection, KnownBefore};
use super::link_connection::LinkConnection;
use super::opening::{modified_at, open_node};
use super::peers::Peers;
use super::permit_relay::PermitRelay;
use super::signals::Signals;
use super::DirectoryError;
use crate::call::{Reply, UnavailableReason};
use crate::confirmed_state::ConfirmedState;
use crate::crashes::{CrashReportBuffer, MAX_REPORT_WAIT};
use crate::dialect::Dialect;
use crate::fleet::{Fleet, LoadBuffer};
use crate::link::{FromReplica, ToReplica};
use crate::node::{CallId, Node, NodeError, NodeInput, NodeOutput};
use crate::settings::DirectorySettings;

const CONTROL_LISTENER: Token = Token(0);
const LINK_LISTENER: Token = Token(1);
const METRICS_LISTENER: Token = Token(2);
const FIRST_CONNECTION: usize = 3;

/// Maximum number of events per poll.
const EVENT_BATCH: usize = 256;

/// Maximum time of one poll, so that signals are noticed.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum time of one poll while gateways still lack entries.
const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(5);

/// Maximum number of open connections of each kind, HTTP and link.
pub(super) const CONNECTION_LIMIT: usize = 3_000;

/// Maximum number of rounds in which outputs lead to new inputs before the sockets are polled again.
const MAX_NODE_ROUNDS: usize = 8;

/// State of the event loop.
pub(super) struct EventLoop<'a> {
    pub(super) settings_path: PathBuf,
    pub(super) settings: DirectorySettings,
    pub(super) settings_modified_at: Option<SystemTime>,
    pub(super) dialect: &'a dyn Dialect,
    pub(super) poll: Poll,
    pub(super) control_listener: TcpListener,
    pub(super) link_listener: TcpListener,
    pub(super) metrics_server: Option<TextServer>,
    pub(super) metrics_registry: Metrics,
    pub(super) metrics: DirectoryMetrics,
    pub(super) node: Node<RealDisk>,
    pub(super) clock: Clock,
    pub(super) standstill: StallDetector,
    /// What was known before the polls.
    pub(super) polls: PollHistory<KnownBefore>,
    /// What was known before connections were opened that wait to be accepted although no event may come for them.
    pub(super) unaccepted_since: Option<KnownBefore>,
    pub(super) next_token: usize,
    pub(super) http_connections: HashMap<Token, HttpConnection>,
    /// Memory that HTTP connections take, with the calls and replies on them.
    pub(super) call_memory: MemoryAccount,
    pub(super) stall_search: StallSearch,
    /// The search for connections that can be closed to make room for others.
    pub(super) rest_search: StallSearch,
    pub(super) ready_callers: VecDeque<Token>,
    pub(super) inbound_links: HashMap<Token, LinkConnection>,
    /// Inbound links with frames that are not yet written to the socket.
    pub(super) unsent_links: BTreeSet<Token>,
    pub(super) peers: Peers,
    pub(super) feeder: Feeder,
    pub(super) fleet: Fleet,
    pub(super) load_buffer: LoadBuffer,
    pub(super) crash_reports: CrashReportBuffer,
    /// Value of `is_fed` in the last status message to gateways.
    pub(super) announced_is_fed: bool,
    pub(super) confirmed_state: ConfirmedState,
    pub(super) permit_relay: PermitRelay,
    pub(super) bad_calls: BadCalls,
    pub(super) calls: Calls,
    pub(super) inputs: Vec<NodeInput>,
    pub(super) next_status: Duration,
    pub(super) next_settings_check: Duration,
    pub(super) signals: Signals,
}

impl<'a> EventLoop<'a> {
    pub(super) fn start(
        path: &Path,
        dialect: &'a dyn Dialect,
        signals: &Signals,
    ) -> Result<Self, DirectoryError> {
        // Started before the data folder is read: timeouts measured from the start of the process begin
        // here.
        let clock = Clock::start();
        let settings = DirectorySettings::load(path)?;
        let poll = Poll::new()?;
        let mut control_listener =
            TcpListener::bind(settings.bind_address(settings.control_address))?;
        let mut link_listener = TcpListener::bind(settings.bind_address(settings.link_address()))?;
        let registry = poll.registry();
        registry.register(&mut control_listener, CONTROL_LISTENER, Interest::READABLE)?;
        registry.register(&mut link_listener, LINK_LISTENER, Interest::READABLE)?;
        let metrics_ip = settings.bind_address(settings.control_address).ip();
        let metrics_port = settings.metrics_port;
        let metrics_server =
            TextServer::listen_at(metrics_ip, metrics_port, registry, METRICS_LISTENER)?;
        let metrics_registry = Metrics::new();
        let metrics = DirectoryMetrics::register(&metrics_registry)?;
        let node = open_node(&settings)?;
        let known_at_start = KnownBefore {
            at: Duration::ZERO,
            basis: node.call_basis(),
        };
        event!(
            Event::DirectoryStarted,
            node = settings.node,
            control = settings.control_address,
            bootstrap = settings.bootstrap,
            applied = node.applied(),
            last = node.consensus().last_index().0
        );
        Ok(Self {
            settings_path: path.to_owned(),
            feeder: Feeder::new(settings.link_mbps),
            peers: Peers::new(settings.bind_ip),
            settings,
            settings_modified_at: modified_at(path),
            dialect,
            poll,
            control_listener,
            link_listener,
            metrics_server,
            metrics_registry,
            metrics,
            node,
            clock,
            standstill: StallDetector::default(),
            polls: PollHistory::new(known_at_start, EVENT_BATCH),
            unaccepted_since: None,
            next_token: FIRST_CONNECTION,
            http_connections: HashMap::new(),
            call_memory: MemoryAccount::default(),
            stall_search: StallSearch::default(),
            rest_search: StallSearch::default(),
            ready_callers: VecDeque::new(),
            inbound_links: HashMap::new(),
            unsent_links: BTreeSet::new(),
            fleet: Fleet::default(),
            load_buffer: LoadBuffer::default(),
            crash_reports: CrashReportBuffer::default(),
            announced_is_fed: false,
            confirmed_state: ConfirmedState::default(),
            permit_relay: PermitRelay::default(),
            bad_calls: BadCalls::default(),
            calls: Calls::default(),
            inputs: Vec::new(),
            next_status: Duration::ZERO,
            next_settings_check: SETTINGS_CHECK_INTERVAL,
            signals: signals.clone(),
        })
    }

    pub(super) fn run(mut self) -> Result<(), DirectoryError> {
        let mut events = Events::with_capacity(EVENT_BATCH);
        // Applies the committed part of the log before the first status message describes the state.
        self.process_inputs()?;
        while !self.signals.stop() {
            let now = self.now();
            let max_timeout = match (self.ready_callers.is_empty(), self.feeder.is_behind) {
                (false, _) => Duration::ZERO,
                (true, true) => FEED_POLL_TIMEOUT,
                (true, false) => MAX_POLL_TIMEOUT,
            };
            let timeout = self.node.next_wake().saturating_sub(now).min(max_timeout);
            let known = KnownBefore {
                at: now,
                basis: self.node.call_basis(),
            };
            let sockets = self.http_connections.len() + self.inbound_links.len();
            self.polls.begin_poll(known, sockets);
            let polled = self.poll.poll(&mut events, Some(timeout));
            let returned = polled.is_ok().then(|| events.iter().count());
            self.polls.end_poll(returned);
            match polled {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            if let Some(stalled_for) = self.standstill.check(self.clock.now()) {
                event!(Event::StoodStill, ms = stalled_for.as_millis());
            }
            // Connections of replicas and gateways go first: many HTTP clients must not cost the leadership.
            for ready in &events {
                match self.http_connections.get_mut(&ready.token()) {
                    Some(http) => {
                        http.note_event(self.polls.before_events().at, ready.is_read_closed());
                        self.ready_callers.push_back(ready.token());
                    }
                    None => self.on_event(ready.token()),
                }
            }
            self.serve_callers();
            self.process_inputs()?;
            self.run_periodic_tasks();
        }
        event!(Event::StopRequested);
        let now = self.now();
        for http in self.http_connections.values_mut() {
            http.flush(now);
        }
        event!(Event::Stopped);
        Ok(())
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    fn on_event(&mut self, token: Token) {
        let now = self.now();
        match token {
            CONTROL_LISTENER => self.accept_callers(now),
            LINK_LISTENER => self.accept_links(now),
            token if self.inbound_links.contains_key(&token) => self.on_link(now, token),
            token
                if self
                    .metrics_server
                    .as_ref()
                    .is_some_and(|one| one.owns(token)) =>
            {
                self.on_metrics(now, token);
            }
            token if self.peers.owns(token) => {
                for frame in self.peers.on_event(now, token) {
                    self.on_peer_frame(frame);
                }
            }
            _ => {}
        }
    }

    pub(super) fn allocate_token(&mut self) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        token
    }

    fn accept_links(&mut self, now: Duration) {
        while let Ok((stream, _)) = self.link_listener.accept() {
            if self.inbound_links.len() >= CONNECTION_LIMIT {
                continue;
            }
            let token = self.allocate_token();
            if let Ok(connection) = Connection::register(stream, self.poll.registry(), token) {
                let mut link = LinkConnection::new(connection, now);
                let status = self.status(now);
                if link.send(&FromReplica::Head(status)) {
                    self.inbound_links.insert(token, link);
                }
            }
        }
    }

    fn on_link(&mut self, now: Duration, token: Token) {
        let Some(link) = self.inbound_links.get_mut(&token) else {
            return;
        };
        let frames = match link.connection.flush().is_ok() {
            true => link.take_frames(now),
            false => {
                self.inbound_links.remove(&token);
                return;
            }
        };
        match frames {
            Err(_) => _ = self.inbound_links.remove(&token),
            Ok(frames) => {
                for frame in frames {
                    self.on_link_frame(token, frame);
                }
            }
        }
    }

    fn on_link_frame(&mut self, token: Token, frame: ToReplica) {
        let now = self.now();
        match frame {
            ToReplica::Peer(frame) => self.inputs.push(NodeInput::Peer(frame)),
            ToReplica::Relay {
                id: origin,
                call,
                basis,
            } => {
                let Some(link) = self.inbound_links.get(&token) else {
                    return;
                };
                let arrived_after = self.polls.before_events().at;
                let source = call
                    .is_evacuation()
                    .then(|| CallSource::of_replica(link, origin, arrived_after));
                let id = self.calls.begin(now, Origin::Replica(token, origin));
                self.submit_call(id, call, basis, source);
            }
            ToReplica::Follow(follow) => {
                event!(
                    Event::FollowerAttached,
                    gateway = follow.node,
                    applied = follow.applied
                );
                if let Some(link) = self.inbound_links.get_mut(&token) {
                    link.gateway = follow.node;
                    link.fed_index = Some(follow.applied);
                }
                self.feeder.is_behind = true;
            }
            ToReplica::FetchState => {
                if let Some(link) = self.inbound_links.get_mut(&token) {
                    link.wants_state = true;
                }
                self.feeder.is_behind = true;
            }
            ToReplica::Report(report) => {
                self.identify_gateway(token, report.node, report.relay);
                self.load_buffer.add(&report.load);
                if !self.may_have_waited(MAX_REPORT_WAIT) {
                    self.crash_reports.add(now, &report.crashes);
                }
                self.confirm_state(token, report.sent_at_ms);
            }
            ToReplica::ReplicaReport(report) => self.on_replica_report(token, report),
            ToReplica::TakePermit(request) => self.on_permit_request(token, request),
        }
    }

    /// Whether what is read now may have waited for longer than `limit`, as after a standstill.
    pub(super) fn may_have_waited(&self, limit: Duration) -> bool {
        self.now().saturating_sub(self.polls.before_events().at) > limit
    }

    /// Records which gateway a link belongs to. A gateway that was unknown so far is sent the current status
    /// at once: the one it received on connecting may be outdated.
    fn identify_gateway(&mut self, token: Token, gateway: String, relay: String) {
        let Some(link) = self.inbound_links.get_mut(&token) else {
            return;
        };
        link.relay = relay;
        if !link.gateway.is_empty() {
            return;
        }
        link.gateway = gateway;
        let status = FromReplica::Head(self.status(self.now()));
        if self
            .inbound_links
            .get_mut(&token)
            .is_some_and(|link| !link.send(&status))
        {
            self.inbound_links.remove(&token);
        }
    }

    /// Lets the node process the inputs and performs its outputs.
    fn process_inputs(&mut self) -> Result<(), NodeError> {
        for _ in 0..MAX_NODE_ROUNDS {
            let clock = self.clock;
            let inputs = std::mem::take(&mut self.inputs);
            let outputs = self.node.handle(&mut || clock.now(), inputs)?;
            for output in outputs {
                self.feeder.is_behind |= matches!(output, NodeOutput::Applied);
                self.execute(output);
            }
            if self.inputs.is_empty() {
                break;
            }
        }
        self.update_confirmed_state();
        self.flush_links();
        if self.feeder.is_behind {
            self.feed();
        }
        Ok(())
    }

    fn execute(&mut self, output: NodeOutput) {
        match output {
            NodeOutput::Peer { address, frame } => {
                self.send_peer(&address, &ToReplica::Peer(frame));
            }
            NodeOutput::Reply { id, reply } => self.reply(id, &reply),
            NodeOutput::Items { calls, items } => {
                let reply = Reply::Items(items);
                calls.into_iter().for_each(|id| self.reply(id, &reply));
            }
            NodeOutput::Relay {
                id,
                address,
                endpoint,
                call,
                basis,
            } => self.relay(id, &address, endpoint, call, basis),
            NodeOutput::Applied => {}
            NodeOutput::StateReplaced => {
                for link in self.inbound_links.values_mut() {
                    link.fed_index = link.fed_index.map(|_| 0);
                }
            }
            NodeOutput::LeadershipChanged => {
                self.next_status = Duration::ZERO;
                self.permit_relay.reset_permits();
            }
            NodeOutput::Notice(notice) => log_notice(&notice, &self.metrics),
        }
    }

    pub(super) fn reply(&mut self, id: CallId, reply: &Reply) {
        log_if_unavailable(id, reply);
        let Some((origin, started_at)) = self.calls.end(id) else {
            return;
        };
        let no_memory = Reply::Unavailable(UnavailableReason::NoMemory);
        let reply = match self.has_memory_for_reply(origin, reply) {
            true => reply,
            false => {
                log_if_unavailable(id, &no_memory);
                &no_memory
            }
        };
        let took = self.now().saturating_sub(started_at);
        self.metrics.note_call(reply.name(), took);
        match origin {
            Origin::Replica(token, id) => {
                let frame = FromReplica::Relayed {
                    id,
                    reply: reply.clone(),
                };
                if let Some(link) = self.inbound_links.get_mut(&token) {
                    link.queue(&frame);
                    self.unsent_links.insert(token);
                }
            }
            Origin::Http(token) => {
                let rendered = self.dialect.render(reply);
                self.answer_caller(token, &rendered);
            }
        }
    }

    pub(super) fn feed(&mut self) {
        let now = self.now();
        for token in self.feeder.feed(now, &self.node, &mut self.inbound_links) {
            self.inbound_links.remove(&token);
        }
    }
}

fn log_if_unavailable(id: CallId, reply: &Reply) {
    if let Reply::Unavailable(reason) = reply {
        event!(
            Event::CallUnanswered,
            call = id.0,
            reason = format!("{reason:?}")
        );
    }
}
