//! A router: the product's table, flows, admission and retry budget, driven by the simulator.
//!
//! Invariant: every decision about a request is made by the product; this module only carries it out.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_holder::Request;
use grebepin_schema::{
    CancelRequest, ControlFrame, GroupId, LogIndex, RouterFrame, RouterName, ServerName,
    ServerStanding, SocketAddress, ZoneName,
};
use grebepin_traffic::{
    Admission, AdmissionConfig, ApplyOutcome, Ejection, EjectionConfig, Guards, Ramp, RetryBudget,
    RoutingTable,
};

use super::router_flows::{Exchange, Flow, Waiter};
use super::router_link::Link;
use crate::message::{RouterAnswer, RouterInput};

/// Interval between checks of the connection to the control group and of the admission queues.
const TICK: Duration = Duration::from_millis(50);

/// Output to be carried out by the simulator.
#[derive(Debug)]
pub enum RouterEffect {
    /// Send a request to a server.
    Work {
        /// Address of the server.
        address: SocketAddress,
        /// Identifies the response.
        exchange: u64,
        /// The request.
        request: Request,
    },
    /// Cancel a request at a server.
    Cancel {
        /// Address of the server.
        address: SocketAddress,
        /// Identifies the response.
        exchange: u64,
        /// The request.
        request: CancelRequest,
        /// Attempt to cancel.
        attempt: u32,
    },
    /// Set a timer.
    Timer {
        /// Time at which it fires, on the router's clock.
        at: Duration,
        /// Input delivered then.
        input: RouterInput,
    },
    /// Answer a caller.
    Answer(RouterAnswer),
    /// Open a connection to a control replica with this first frame.
    Connect {
        /// Identifies the connection.
        connection: u64,
        /// Router address of the replica.
        address: SocketAddress,
        /// First frame.
        frame: RouterFrame,
    },
    /// Send a frame on a connection.
    Send {
        /// The connection.
        connection: u64,
        /// The frame.
        frame: RouterFrame,
    },
    /// Close a connection.
    Close(u64),
    /// A new table took effect.
    InForce {
        /// Log index of the table.
        index: LogIndex,
        /// Version of its bundle.
        bundle_version: u64,
    },
}

/// Configuration of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Control group to follow.
    pub group: GroupId,
    /// Name of the router.
    pub name: RouterName,
    /// Zone of the router.
    pub zone: ZoneName,
    /// Incarnation of the router process.
    pub incarnation: u64,
    /// Router addresses of the control replicas.
    pub control_addresses: Vec<SocketAddress>,
    /// Guards of the product.
    pub guards: Guards,
    /// Whether frames of closed connections are still processed.
    pub late_frames: bool,
}

/// State of a router process.
pub struct RouterActor {
    pub(super) config: RouterConfig,
    pub(super) table: RoutingTable,
    pub(super) link: Link,
    pub(super) flows: BTreeMap<u64, Flow>,
    pub(super) exchanges: BTreeMap<u64, Exchange>,
    pub(super) waiters: BTreeMap<Waiter, u64>,
    pub(super) admissions: BTreeMap<ServerName, Admission>,
    pub(super) retry: RetryBudget,
    pub(super) ejection: Ejection,
    pub(super) draining_since: BTreeMap<ServerName, Duration>,
    pub(super) next_number: u64,
    pub(super) effects: Vec<RouterEffect>,
}

impl RouterActor {
    /// A router without table, connection or requests.
    pub fn new(config: RouterConfig) -> Self {
        Self {
            table: RoutingTable::new(config.group, config.guards),
            link: Link::new(&config),
            flows: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            waiters: BTreeMap::new(),
            admissions: BTreeMap::new(),
            retry: RetryBudget::new(20),
            ejection: Ejection::new(EjectionConfig::default()),
            draining_since: BTreeMap::new(),
            next_number: 0,
            effects: Vec::new(),
            config,
        }
    }

    /// Index of the table in force.
    pub fn table_index(&self) -> LogIndex {
        self.table.index()
    }

    /// Processes an input and returns the resulting effects.
    pub fn handle(&mut self, now: Duration, input: RouterInput) -> Vec<RouterEffect> {
        match input {
            RouterInput::Request(request) => self.begin_flow(now, request),
            RouterInput::Frame { connection, frame } => self.handle_frame(now, connection, frame),
            RouterInput::Closed(connection) => self.connection_closed(now, connection),
            RouterInput::Replied { exchange, reply } => self.handle_reply(now, exchange, reply),
            RouterInput::Cancelled { exchange, answer } => {
                self.handle_cancelled(now, exchange, answer);
            }
            RouterInput::ExchangeTimeout(exchange) => self.exchange_timed_out(now, exchange),
            RouterInput::FlowWake(flow) => self.wake_flow(now, flow),
            RouterInput::Tick => self.tick(now),
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Duration) {
        self.maintain_connection(now);
        let servers: Vec<ServerName> = self.admissions.keys().cloned().collect();
        for server in servers {
            let events = match self.admissions.get_mut(&server) {
                Some(admission) => admission.tick(now),
                None => continue,
            };
            self.admission_events(now, &server, events);
        }
        self.effects.push(RouterEffect::Timer {
            at: now + TICK,
            input: RouterInput::Tick,
        });
    }

    /// Applies a snapshot or delta to the table; reconnects when it cannot be applied.
    pub(super) fn apply_frame(&mut self, now: Duration, frame: &ControlFrame) {
        let applied = match frame {
            ControlFrame::Snapshot(snapshot) => self.table.apply_snapshot(snapshot),
            ControlFrame::Delta(delta) => self.table.apply_delta(delta),
            ControlFrame::Current(_) | ControlFrame::Redirect(_) => return,
        };
        match applied {
            Ok(ApplyOutcome::Applied) => self.table_changed(now),
            Ok(ApplyOutcome::Stale) => {}
            Err(_) => self.reconnect(now),
        }
    }

    fn table_changed(&mut self, now: Duration) {
        self.effects.push(RouterEffect::InForce {
            index: self.table.index(),
            bundle_version: self.table.bundle_version(),
        });
        let services: Vec<_> = self.table.services().cloned().collect();
        for route in services {
            self.retry.set_percent(route.service.retry.budget_percent);
            for (server, standing) in route.service.servers.iter().zip(&route.standings) {
                let config = AdmissionConfig {
                    slots: server.slots.get(),
                    waiting: route.service.queue.waiting_per_server,
                };
                self.admissions
                    .entry(server.name.clone())
                    .or_insert_with(|| Admission::new(config, Ramp::warm(), now))
                    .configure(config, now);
                match standing {
                    ServerStanding::Draining => {
                        self.draining_since
                            .entry(server.name.clone())
                            .or_insert(now);
                    }
                    _ => _ = self.draining_since.remove(&server.name),
                }
            }
        }
        self.wake_for_table(now);
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}
