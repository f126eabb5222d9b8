//! A router's connection to the control group.
//!
//! Invariant: at most one connection is the current one; silence on it ends it.

use std::time::Duration;

use grebepin_schema::{ControlFrame, FollowRequest, LoadReport, RouterFrame, SocketAddress};

use super::router::{RouterActor, RouterConfig, RouterEffect};

/// Silence after which a router gives a connection up.
const SILENCE: Duration = Duration::from_millis(800);

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Pause before the next attempt after one failed.
const PAUSE: Duration = Duration::from_millis(100);

/// The connection in use.
#[derive(Clone, Copy, Debug)]
struct Open {
    connection: u64,
    heard: Duration,
}

/// Where the router connects, and since when it heard nothing.
#[derive(Debug)]
pub struct Link {
    open: Option<Open>,
    next_replica: usize,
    hint: Option<SocketAddress>,
    not_before: Duration,
    next_report: Duration,
}

impl Link {
    /// No connection yet; routers begin with different replicas.
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
    /// Gives a silent connection up, and connects where there is none.
    pub(super) fn keep_link(&mut self, now: Duration) {
        if let Some(open) = self.link.open {
            if now.saturating_sub(open.heard) < SILENCE {
                return self.report(now, open.connection);
            }
            self.drop_link(now, now);
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
            heard: now,
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

    fn drop_link(&mut self, now: Duration, not_before: Duration) {
        if let Some(open) = self.link.open.take() {
            self.effects.push(RouterEffect::Close(open.connection));
        }
        self.link.not_before = not_before.max(now);
    }

    pub(super) fn connection_closed(&mut self, now: Duration, connection: u64) {
        if self.is_current(connection) {
            self.drop_link(now, now + PAUSE);
        }
    }

    /// Asks for a whole table on a new connection.
    pub(super) fn ask_again(&mut self, now: Duration) {
        self.drop_link(now, now);
    }

    pub(super) fn take_frame(&mut self, now: Duration, connection: u64, frame: ControlFrame) {
        let current = self.is_current(connection);
        if !current && !self.config.late_frames {
            return;
        }
        if current {
            self.note_heard(now);
        }
        if let (ControlFrame::Redirect(redirect), true) = (&frame, current) {
            self.link.hint = redirect.router_address.clone();
            let pause = match self.link.hint {
                Some(_) => Duration::ZERO,
                None => PAUSE,
            };
            self.drop_link(now, now + pause);
            return;
        }
        self.apply_frame(now, &frame);
    }

    /// Tells the group which table is in force. Loads are left out: moves for balance have their
    /// own tests.
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

    fn note_heard(&mut self, now: Duration) {
        if let Some(open) = &mut self.link.open {
            open.heard = now;
        }
    }
}
