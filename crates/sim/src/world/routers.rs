//! Routers: connects the product's table and flows to the simulated network.

use grebepin_control::ConnectionId;
use grebepin_schema::{HistoryEvent, InForceRecord, RouterFrame, SocketAddress};

use super::controls::GROUP;
use super::World;
use crate::actors::router::{RouterActor, RouterConfig, RouterEffect};
use crate::deployment::{self, control_address, name, Port, CONTROLS, ROUTERS};
use crate::message::{CallerInput, ControlInput, Input, RouterInput, ServerInput};
use crate::network::Delivery;
use crate::process::Process;

/// Maximum number of connections per incarnation of a router, which keeps connection numbers unique.
const CONNECTIONS_PER_START: u64 = 1 << 24;

impl World {
    pub(super) fn new_router(&mut self, number: usize) -> RouterActor {
        let process = Process::Router(number);
        let addresses = (0..CONTROLS).map(|control| control_address(control, Port::Router));
        RouterActor::new(RouterConfig {
            group: GROUP,
            name: name(&process.name()),
            zone: deployment::zone_of(process),
            incarnation: self.incarnation(process),
            control_addresses: addresses.collect(),
            guards: self.guards.traffic,
            late_frames: self.scenario.late_frames,
        })
    }

    pub(super) fn run_router(&mut self, number: usize, input: RouterInput) {
        let now = self.local(Process::Router(number));
        let input = match input {
            RouterInput::Frame { connection, frame } => RouterInput::Frame {
                connection: connection_of_router(connection),
                frame,
            },
            RouterInput::Closed(connection) => {
                RouterInput::Closed(connection_of_router(connection))
            }
            other => other,
        };
        for effect in self.routers[number].handle(now, input) {
            self.carry_out_router(number, effect);
        }
    }

    fn carry_out_router(&mut self, number: usize, effect: RouterEffect) {
        let process = Process::Router(number);
        match effect {
            RouterEffect::Work {
                address,
                exchange,
                request,
            } => {
                let from = self.requester(process, number);
                let work = ServerInput::Work {
                    from,
                    exchange,
                    request,
                };
                self.send_to_server(process, &address, work);
            }
            RouterEffect::Cancel {
                address,
                exchange,
                request,
                attempt,
            } => {
                let from = self.requester(process, number);
                let cancel = ServerInput::Cancel {
                    from,
                    exchange,
                    request,
                    attempt,
                };
                self.send_to_server(process, &address, cancel);
            }
            RouterEffect::Timer { at, input } => {
                self.set_timer(process, at, Input::Router(input));
            }
            RouterEffect::Answer(answer) => {
                let input = Input::Callers(CallerInput::Answer(answer));
                self.send(process, Process::Callers, None, Delivery::Call, input);
            }
            RouterEffect::Connect {
                connection,
                address,
                frame,
            } => self.connect(number, connection, &address, frame),
            RouterEffect::Send { connection, frame } => self.send_frame(number, connection, frame),
            RouterEffect::Close(connection) => self.close(number, connection),
            RouterEffect::InForce {
                index,
                bundle_version,
            } => self.record(HistoryEvent::InForce(InForceRecord {
                router: name(&process.name()),
                incarnation: self.incarnation(process),
                index,
                bundle_version,
            })),
        }
    }

    fn send_to_server(&mut self, from: Process, address: &SocketAddress, input: ServerInput) {
        if let Some(to) = deployment::process_at(address) {
            self.send(from, to, None, Delivery::Call, Input::Server(input));
        }
    }

    fn connect(&mut self, number: usize, local: u64, address: &SocketAddress, frame: RouterFrame) {
        let Some(Process::Control(control)) = deployment::process_at(address) else {
            return;
        };
        let connection = self.connection(number, local);
        let incarnation = self.incarnation(Process::Control(control));
        self.peers_of_connections
            .insert(connection, (control, incarnation));
        self.send_frame(number, local, frame);
    }

    fn send_frame(&mut self, number: usize, local: u64, frame: RouterFrame) {
        let connection = self.connection(number, local);
        let Some(&(control, incarnation)) = self.peers_of_connections.get(&connection) else {
            return;
        };
        let input = Input::Control(ControlInput::Router {
            router: number,
            connection: ConnectionId(connection),
            frame,
        });
        let from = Process::Router(number);
        let to = Process::Control(control);
        self.send_in_order(from, to, Some(incarnation), connection, input);
    }

    fn close(&mut self, number: usize, local: u64) {
        let connection = self.connection(number, local);
        let Some((control, incarnation)) = self.peers_of_connections.remove(&connection) else {
            return;
        };
        let input = Input::Control(ControlInput::RouterClosed(ConnectionId(connection)));
        let from = Process::Router(number);
        let to = Process::Control(control);
        self.send_in_order(from, to, Some(incarnation), connection, input);
    }

    /// Connection number that is unique across routers and incarnations.
    fn connection(&self, number: usize, local: u64) -> u64 {
        let start = self.incarnation(Process::Router(number)) * ROUTERS as u64 + number as u64;
        start * CONNECTIONS_PER_START + local
    }

    /// Closes all connections to a control replica that stopped.
    pub(super) fn close_connections_to(&mut self, control: usize) {
        let known = self.peers_of_connections.iter();
        let closed: Vec<u64> = known
            .filter(|(_, (peer, _))| *peer == control)
            .map(|(connection, _)| *connection)
            .collect();
        for connection in closed {
            self.peers_of_connections.remove(&connection);
            let (router, incarnation) = router_of(connection);
            let input = Input::Router(RouterInput::Closed(connection));
            let from = Process::Control(control);
            let to = Process::Router(router);
            self.send_in_order(from, to, Some(incarnation), connection, input);
        }
    }
}

/// Router at the other end of a connection, and the incarnation that opened it.
pub(super) fn router_of(connection: u64) -> (usize, u64) {
    let start = connection / CONNECTIONS_PER_START;
    ((start % ROUTERS as u64) as usize, start / ROUTERS as u64)
}

fn connection_of_router(connection: u64) -> u64 {
    connection % CONNECTIONS_PER_START
}
