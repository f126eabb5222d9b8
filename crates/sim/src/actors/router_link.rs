//! A router's connection to the control group.
//!
//! Invariant: at most one connection is current; it is closed after [`IDLE_TIMEOUT`] without a frame.

use std::time::Duration;

use grebepin_schema::{ControlFrame, FollowRequest, LoadReport, RouterFrame, SocketAddress};

use super::router::{RouterActor, RouterConfig, RouterEffect};

/// Time without a received frame after which a router closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before reconnecting after a connection failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The current connection.
#[derive(Clone, Copy, Debug)]
struct Open {
    connection: u64,
    last_received: Duration,
}

/// State of the connection to the control group.
#[derive(Debug)]
pub struct Link {
    open: Option<Open>,
    next_replica: usize,
    hint: Option<SocketAddress>,
    not_before: Duration,
    next_report: Duration,
}

impl Link {
    /// No connection yet. The first replica depends on the length of the name and the incarnation.
    pub(super) fn new(config: &RouterConfig) -> Self {
        Self {
            open: None,
            next_replica: config.name.len() + config.incarnation as usize,
            hint: None,
            not_before: Duration::ZERO,
            next_report: REPORT_INTERVAL,
        }
    }

    fn next_address(&mut self, addresses: &[SocketAddress]) -> Option<SocketAddress> {
        if let Some(hint) = self.hint.take() {
            return Some(hint);
        }
        self.next_replica += 1;
        addresses
            .get(self.next_replica % addresses.len().max(1))
            .cloned()
    }
}

impl RouterActor {
    /// Reports on a live connection, closes an idle one, and connects when there is none.
    pub(super) fn maintain_connection(&mut self, now: Duration) {
        if let Some(open) = self.link.open {
            if now.saturating_sub(open.last_received) < IDLE_TIMEOUT {
                return self.report(now, open.connection);
            }
            self.close_link(now, now);
        }
        if now < self.link.not_before {
            return;
        }
        let Some(address) = self.link.next_address(&self.config.control_addresses) else {
            return;
        };
        let connection = self.next_number();
        self.link.open = Some(Open {
            connection,
            last_received: now,
        });
        self.effects.push(RouterEffect::Connect {
            connection,
            address,
            frame: RouterFrame::Follow(FollowRequest {
                group: self.config.group,
                router: self.config.name.clone(),
                zone: self.config.zone.clone(),
                incarnation: self.config.incarnation,
                have_index: self.table.index(),
            }),
        });
    }

    fn close_link(&mut self, now: Duration, not_before: Duration) {
        if let Some(open) = self.link.open.take() {
            self.effects.push(RouterEffect::Close(open.connection));
        }
        self.link.not_before = not_before.max(now);
    }

    pub(super) fn connection_closed(&mut self, now: Duration, connection: u64) {
        if self.is_current(connection) {
            self.close_link(now, now + RECONNECT_DELAY);
        }
    }

    /// Closes the connection, so that a new one is opened that follows from the index of the current table.
    pub(super) fn reconnect(&mut self, now: Duration) {
        self.close_link(now, now);
    }

    pub(super) fn handle_frame(&mut self, now: Duration, connection: u64, frame: ControlFrame) {
        let current = self.is_current(connection);
        if !current && !self.config.late_frames {
            return;
        }
        if current {
            self.record_receipt(now);
        }
        if let (ControlFrame::Redirect(redirect), true) = (&frame, current) {
            self.link.hint = redirect.router_address.clone();
            let pause = match self.link.hint {
                Some(_) => Duration::ZERO,
                None => RECONNECT_DELAY,
            };
            self.close_link(now, now + pause);
            return;
        }
        self.apply_frame(now, &frame);
    }

    /// Reports the index of the table in use. Loads are omitted, since rebalancing has separate tests.
    fn report(&mut self, now: Duration, connection: u64) {
        if now < self.link.next_report {
            return;
        }
        self.link.next_report = now + REPORT_INTERVAL;
        self.effects.push(RouterEffect::Send {
            connection,
            frame: RouterFrame::Report(LoadReport {
                group: self.config.group,
                router: self.config.name.clone(),
                incarnation: self.config.incarnation,
                in_force: self.table.index(),
                interval_ms: REPORT_INTERVAL.as_millis() as u64,
                servers: Vec::new(),
                shards: Vec::new(),
            }),
        });
    }

    fn is_current(&self, connection: u64) -> bool {
        self.link
            .open
            .is_some_and(|open| open.connection == connection)
    }

    fn record_receipt(&mut self, now: Duration) {
        if let Some(open) = &mut self.link.open {
            open.last_received = now;
        }
    }
}
