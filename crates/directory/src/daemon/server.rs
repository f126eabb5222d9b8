//! The event loop.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use grebepin_reactor::{Clock, Connection, StallDetector, TextServer};
use grebepin_storage::RealDisk;
use grebepin_telemetry::{event, DirectoryMetrics, Event, Metrics};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};

use super::bad_calls::BadCalls;
use super::calls::{Calls, Origin};
use super::event_log::log_notice;
use super::feed::Feeder;
use super::housekeeping::SETTINGS_LOOK_EVERY;
use super::http_side::HttpConnection;
use super::link_side::LinkConnection;
use super::opening::{changed_at, open_node};
use super::peers::Peers;
use super::permitting::PermitRelay;
use super::signals::Signals;
use super::DirectoryError;
use crate::call::Reply;
use crate::crashes::GatheredCrashes;
use crate::dialect::{BadCall, Dialect, HttpCall};
use crate::fleet::{Fleet, Gathered};
use crate::link::{FromReplica, ToReplica};
use crate::node::{Node, NodeError, NodeInput, NodeOutput};
use crate::settings::DirectorySettings;

const CONTROL_LISTENER: Token = Token(0);
const LINK_LISTENER: Token = Token(1);
const METRICS_LISTENER: Token = Token(2);
const FIRST_CONNECTION: usize = 3;

/// Events taken from the system at once.
const EVENT_BATCH: usize = 256;

/// Callers served in one round, before replicas and gateways get their turn again.
const CALLERS_PER_ROUND: usize = 16;

/// Longest sleep, so that signals are noticed.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// Pause before gateways that could not be fed get their turn.
const FEED_PAUSE: Duration = Duration::from_millis(5);

/// Connections taken in at once.
const CONNECTION_LIMIT: usize = 3_000;

/// Rounds of inputs that follow from outputs, before the network gets its turn.
const MAXIMUM_ROUNDS: usize = 8;

/// The process.
pub(super) struct Server<'a> {
    pub(super) settings_path: PathBuf,
    pub(super) settings: DirectorySettings,
    pub(super) settings_changed: Option<SystemTime>,
    pub(super) dialect: &'a dyn Dialect,
    pub(super) poll: Poll,
    pub(super) control: TcpListener,
    pub(super) links: TcpListener,
    pub(super) metrics_server: Option<TextServer>,
    pub(super) registered: Metrics,
    pub(super) metrics: DirectoryMetrics,
    pub(super) node: Node<RealDisk>,
    pub(super) clock: Clock,
    pub(super) standstill: StallDetector,
    pub(super) next_token: usize,
    pub(super) https: HashMap<Token, HttpConnection>,
    pub(super) waiting_callers: VecDeque<Token>,
    pub(super) inbound: HashMap<Token, LinkConnection>,
    /// Links with frames that were not handed to the system yet.
    pub(super) unsent_links: BTreeSet<Token>,
    pub(super) peers: Peers,
    pub(super) feeder: Feeder,
    pub(super) fleet: Fleet,
    pub(super) gathered: Gathered,
    pub(super) gathered_crashes: GatheredCrashes,
    /// Whether gateways were last told that what they get from here is fresh.
    pub(super) announced_fed: bool,
    pub(super) permit_relay: PermitRelay,
    pub(super) bad_calls: BadCalls,
    pub(super) calls: Calls,
    pub(super) inputs: Vec<NodeInput>,
    pub(super) next_head: Duration,
    pub(super) next_settings_look: Duration,
    pub(super) signals: Signals,
}

impl<'a> Server<'a> {
    pub(super) fn start(
        path: &Path,
        dialect: &'a dyn Dialect,
        signals: &Signals,
    ) -> Result<Self, DirectoryError> {
        // Before the folder is read: waits that count from the start of the process begin here.
        let clock = Clock::start();
        let settings = DirectorySettings::load(path)?;
        let poll = Poll::new()?;
        let mut control = TcpListener::bind(settings.bind_address(settings.control_address))?;
        let mut links = TcpListener::bind(settings.bind_address(settings.link_address()))?;
        let registry = poll.registry();
        registry.register(&mut control, CONTROL_LISTENER, Interest::READABLE)?;
        registry.register(&mut links, LINK_LISTENER, Interest::READABLE)?;
        let metrics_ip = settings.bind_address(settings.control_address).ip();
        let metrics_port = settings.metrics_port;
        let metrics_server =
            TextServer::listen_at(metrics_ip, metrics_port, registry, METRICS_LISTENER)?;
        let registered = Metrics::new();
        let metrics = DirectoryMetrics::register(&registered)?;
        let node = open_node(&settings)?;
        event!(
            Event::DirectoryStarted,
            node = settings.node,
            control = settings.control_address,
            bootstrap = settings.bootstrap,
            applied = node.applied()
        );
        Ok(Self {
            settings_path: path.to_owned(),
            feeder: Feeder::new(settings.link_mbps),
            peers: Peers::new(settings.bind_ip),
            settings,
            settings_changed: changed_at(path),
            dialect,
            poll,
            control,
            links,
            metrics_server,
            registered,
            metrics,
            node,
            clock,
            standstill: StallDetector::default(),
            next_token: FIRST_CONNECTION,
            https: HashMap::new(),
            waiting_callers: VecDeque::new(),
            inbound: HashMap::new(),
            unsent_links: BTreeSet::new(),
            fleet: Fleet::default(),
            gathered: Gathered::default(),
            gathered_crashes: GatheredCrashes::default(),
            announced_fed: false,
            permit_relay: PermitRelay::default(),
            bad_calls: BadCalls::default(),
            calls: Calls::default(),
            inputs: Vec::new(),
            next_head: Duration::ZERO,
            next_settings_look: SETTINGS_LOOK_EVERY,
            signals: signals.clone(),
        })
    }

    pub(super) fn run(mut self) -> Result<(), DirectoryError> {
        let mut events = Events::with_capacity(EVENT_BATCH);
        while !self.signals.stop() {
            let now = self.now();
            let longest = match (self.waiting_callers.is_empty(), self.feeder.is_behind) {
                (false, _) => Duration::ZERO,
                (true, true) => FEED_PAUSE,
                (true, false) => LONGEST_SLEEP,
            };
            let sleep = self.node.next_wake().saturating_sub(now).min(longest);
            match self.poll.poll(&mut events, Some(sleep)) {
                Ok(()) => {}
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            if let Some(stood) = self.standstill.check(self.clock.now()) {
                event!(Event::StoodStill, ms = stood.as_millis());
            }
            // Replicas and gateways first: a crowd of callers must not cost the leadership.
            for ready in &events {
                match self.https.contains_key(&ready.token()) {
                    true => self.waiting_callers.push_back(ready.token()),
                    false => self.on_event(ready.token()),
                }
            }
            self.serve_callers();
            self.turn()?;
            self.do_housekeeping();
        }
        event!(Event::StopRequested);
        for http in self.https.values_mut() {
            http.flush();
        }
        event!(Event::Stopped);
        Ok(())
    }

    /// Serves some of the callers that sent something.
    fn serve_callers(&mut self) {
        let now = self.now();
        for _ in 0..CALLERS_PER_ROUND {
            let Some(token) = self.waiting_callers.pop_front() else {
                return;
            };
            self.on_http(now, token);
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    fn on_event(&mut self, token: Token) {
        let now = self.now();
        match token {
            CONTROL_LISTENER => self.accept_callers(now),
            LINK_LISTENER => self.accept_links(now),
            token if self.inbound.contains_key(&token) => self.on_link(now, token),
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

    pub(super) fn fresh_token(&mut self) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        token
    }

    fn accept_callers(&mut self, now: Duration) {
        while let Ok((stream, _)) = self.control.accept() {
            if self.https.len() >= CONNECTION_LIMIT {
                continue;
            }
            let token = self.fresh_token();
            if let Ok(connection) = Connection::register(stream, self.poll.registry(), token) {
                self.https
                    .insert(token, HttpConnection::new(connection, now));
            }
        }
    }

    fn accept_links(&mut self, now: Duration) {
        while let Ok((stream, _)) = self.links.accept() {
            if self.inbound.len() >= CONNECTION_LIMIT {
                continue;
            }
            let token = self.fresh_token();
            if let Ok(connection) = Connection::register(stream, self.poll.registry(), token) {
                let mut link = LinkConnection::new(connection, now);
                let head = self.head(now);
                if link.send(&FromReplica::Head(head)) {
                    self.inbound.insert(token, link);
                }
            }
        }
    }

    fn on_http(&mut self, now: Duration, token: Token) {
        let Some(http) = self.https.get_mut(&token) else {
            return;
        };
        http.active = now;
        if !http.fill() || !http.flush() {
            self.https.remove(&token);
            return;
        }
        self.take_call(token);
    }

    /// Hands the next call of a connection to the node.
    fn take_call(&mut self, token: Token) {
        let now = self.now();
        let Some(http) = self.https.get_mut(&token) else {
            return;
        };
        let content_type = self.dialect.content_type();
        let request = match http.next_call() {
            Ok(None) => return,
            Ok(Some(request)) => request,
            Err(error) => {
                let error = BadCall::Malformed(error.to_string());
                self.bad_calls.note(now, "", &error, &self.metrics);
                let reply = self.dialect.render_bad_call(&error);
                http.refuse(&reply, content_type);
                self.https.remove(&token);
                return;
            }
        };
        let parsed = self.dialect.parse(HttpCall {
            method: &request.method,
            target: &request.target,
            body: &request.body,
        });
        match parsed {
            Ok(call) => {
                let id = self.calls.begin(now, Origin::Http(token));
                self.inputs.push(NodeInput::Call { id, call });
            }
            Err(error) => {
                let target = &request.target;
                self.bad_calls.note(now, target, &error, &self.metrics);
                let reply = self.dialect.render_bad_call(&error);
                if !http.answer(&reply, content_type) {
                    self.https.remove(&token);
                }
            }
        }
    }

    fn on_link(&mut self, now: Duration, token: Token) {
        let Some(link) = self.inbound.get_mut(&token) else {
            return;
        };
        let frames = match link.connection.flush().is_ok() {
            true => link.take_frames(now),
            false => {
                self.inbound.remove(&token);
                return;
            }
        };
        match frames {
            Err(_) => _ = self.inbound.remove(&token),
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
            ToReplica::Relay { id, call } => {
                let id = self.calls.begin(now, Origin::Replica(token, id));
                self.inputs.push(NodeInput::Call { id, call });
            }
            ToReplica::Follow(follow) => {
                event!(
                    Event::FollowerAttached,
                    gateway = follow.node,
                    applied = follow.applied
                );
                if let Some(link) = self.inbound.get_mut(&token) {
                    link.gateway = follow.node;
                    link.fed = Some(follow.applied);
                }
                self.feeder.is_behind = true;
            }
            ToReplica::FetchState => {
                if let Some(link) = self.inbound.get_mut(&token) {
                    link.wants_state = true;
                }
                self.feeder.is_behind = true;
            }
            ToReplica::Report(report) => {
                self.note_gateway(token, report.node, report.relay);
                self.gathered.add(&report.load);
                self.gathered_crashes.add(&report.crashes);
            }
            ToReplica::ReplicaReport(report) => self.on_replica_report(token, report),
            ToReplica::TakePermit(request) => self.on_permit_request(token, request),
        }
    }

    /// Notes which gateway a link belongs to. One that is new learns at once whether this replica leads:
    /// what it was told when it connected may be old.
    fn note_gateway(&mut self, token: Token, gateway: String, relay: String) {
        let Some(link) = self.inbound.get_mut(&token) else {
            return;
        };
        link.relay = relay;
        if !link.gateway.is_empty() {
            return;
        }
        link.gateway = gateway;
        let head = FromReplica::Head(self.head(self.now()));
        if self
            .inbound
            .get_mut(&token)
            .is_some_and(|link| !link.send(&head))
        {
            self.inbound.remove(&token);
        }
    }

    /// Lets the node work on what came in, and carries out what it says.
    fn turn(&mut self) -> Result<(), NodeError> {
        for _ in 0..MAXIMUM_ROUNDS {
            let clock = self.clock;
            let inputs = std::mem::take(&mut self.inputs);
            let outputs = self.node.handle(&mut || clock.now(), inputs)?;
            for output in outputs {
                self.feeder.is_behind |= matches!(output, NodeOutput::Applied);
                self.carry_out(output);
            }
            if self.inputs.is_empty() {
                break;
            }
        }
        self.flush_links();
        if self.feeder.is_behind {
            self.feed();
        }
        Ok(())
    }

    fn carry_out(&mut self, output: NodeOutput) {
        match output {
            NodeOutput::Peer { address, frame } => {
                self.send_peer(&address, &ToReplica::Peer(frame));
            }
            NodeOutput::Reply { id, reply } => self.reply(id, &reply),
            NodeOutput::Relay {
                id,
                address,
                endpoint,
                call,
            } => self.relay(id, &address, endpoint, call),
            NodeOutput::Applied => {}
            NodeOutput::StateReplaced => {
                for link in self.inbound.values_mut() {
                    link.fed = link.fed.map(|_| 0);
                }
            }
            NodeOutput::LeadershipChanged => {
                self.next_head = Duration::ZERO;
                self.permit_relay.begin_anew();
            }
            NodeOutput::Notice(notice) => log_notice(&notice, &self.metrics),
        }
    }

    pub(super) fn reply(&mut self, id: crate::node::CallId, reply: &Reply) {
        if let Reply::Unavailable(reason) = reply {
            event!(
                Event::CallUnanswered,
                call = id.0,
                reason = format!("{reason:?}")
            );
        }
        let Some((origin, began)) = self.calls.end(id) else {
            return;
        };
        let took = self.now().saturating_sub(began);
        self.metrics.note_call(reply.name(), took);
        match origin {
            Origin::Replica(token, id) => {
                let frame = FromReplica::Relayed {
                    id,
                    reply: reply.clone(),
                };
                if let Some(link) = self.inbound.get_mut(&token) {
                    link.queue(&frame);
                    self.unsent_links.insert(token);
                }
            }
            Origin::Http(token) => {
                let Some(http) = self.https.get_mut(&token) else {
                    return;
                };
                let rendered = self.dialect.render(reply);
                match http.answer(&rendered, self.dialect.content_type()) {
                    true => self.take_call(token),
                    false => _ = self.https.remove(&token),
                }
            }
        }
    }

    pub(super) fn feed(&mut self) {
        let now = self.now();
        for token in self.feeder.feed(now, &self.node, &mut self.inbound) {
            self.inbound.remove(&token);
        }
    }
}
