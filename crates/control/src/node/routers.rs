//! Distribution of the routing table to connected routers.
//!
//! Invariant: a router's first table comes from a linearizable read; each later frame continues from the
//! index of the frame before it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use grebepin_ownership::CoordinatorInput;
use grebepin_schema::{
    ControlFrame, FollowRequest, LoadReport, LogIndex, Redirect, RouterFrame, RouterName,
    RouterStatus, SocketAddress, ZoneName,
};
use grebepin_storage::Disk;

use super::input::ConnectionId;
use super::output::NodeOutput;
use super::waiting::ReadWaiter;
use super::ControlNode;

/// Age at which a router's last report is dropped from the status.
const REPORT_EXPIRY: Duration = Duration::from_secs(30);

/// State of one router connection.
#[derive(Debug)]
struct Follower {
    request: FollowRequest,
    /// Table index last sent; none until the first read is confirmed.
    sent_index: Option<LogIndex>,
}

/// Last report of a router.
#[derive(Debug)]
struct Report {
    zone: ZoneName,
    in_force: LogIndex,
    received_at: Duration,
}

/// Connected routers and the last report of each.
#[derive(Debug)]
pub(super) struct Routers {
    followers: BTreeMap<ConnectionId, Follower>,
    reports: BTreeMap<RouterName, Report>,
    interval: Duration,
    next_current_at: Duration,
    /// Full table frame and its index, built once and shared by all routers that need it.
    cached_table: Option<(LogIndex, Arc<ControlFrame>)>,
}

impl Routers {
    pub(super) fn new(interval: Duration) -> Self {
        Self {
            followers: BTreeMap::new(),
            reports: BTreeMap::new(),
            interval,
            next_current_at: Duration::ZERO,
            cached_table: None,
        }
    }

    pub(super) fn close(&mut self, connection: ConnectionId) {
        self.followers.remove(&connection);
    }

    /// When the next [`ControlFrame::Current`] is due.
    pub(super) fn next_wake(&self) -> Duration {
        match self.followers.is_empty() {
            true => Duration::MAX,
            false => self.next_current_at,
        }
    }

    pub(super) fn count(&self) -> usize {
        self.followers.len()
    }

    fn record_report(
        &mut self,
        name: &RouterName,
        zone: &ZoneName,
        in_force: LogIndex,
        received_at: Duration,
    ) {
        let report = Report {
            zone: zone.clone(),
            in_force,
            received_at,
        };
        self.reports.insert(name.clone(), report);
    }

    fn remove_expired_reports(&mut self, now: Duration) {
        self.reports
            .retain(|_, report| now.saturating_sub(report.received_at) <= REPORT_EXPIRY);
    }

    pub(super) fn status(&self, now: Duration) -> Vec<RouterStatus> {
        let reports = self.reports.iter();
        reports
            .map(|(router, report)| RouterStatus {
                router: router.clone(),
                zone: report.zone.clone(),
                in_force: report.in_force,
                last_heard_ms: now.saturating_sub(report.received_at).as_millis() as u64,
            })
            .collect()
    }
}

impl<D: Disk> ControlNode<D> {
    pub(super) fn handle_router(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        frame: RouterFrame,
    ) {
        match frame {
            RouterFrame::Follow(request) => self.handle_follow(now, connection, request),
            RouterFrame::Report(report) => self.handle_report(now, connection, report),
        }
    }

    fn handle_follow(&mut self, now: Duration, connection: ConnectionId, request: FollowRequest) {
        if request.group != self.config.group {
            return self.redirect(connection, None);
        }
        match self.consensus.request_read(now) {
            Ok(read) => {
                let waiter = ReadWaiter::Follow(connection);
                self.waiting.add_read(read, waiter);
                let follower = Follower {
                    request,
                    sent_index: None,
                };
                self.routers.followers.insert(connection, follower);
            }
            Err(_) => {
                let leader = self.leader_member();
                let address = leader
                    .filter(|member| member.replica != self.replica)
                    .map(|member| member.router_address.clone());
                self.redirect(connection, address);
            }
        }
    }

    fn handle_report(&mut self, now: Duration, connection: ConnectionId, report: LoadReport) {
        let Some(follower) = self.routers.followers.get(&connection) else {
            return;
        };
        let zone = follower.request.zone.clone();
        self.routers
            .record_report(&report.router, &zone, report.in_force, now);
        self.coordinate(now, CoordinatorInput::LoadReported(&report));
    }

    /// Sends the first frame to a router once its read is confirmed and applied.
    pub(super) fn start_following(&mut self, connection: ConnectionId) {
        let Some(follower) = self.routers.followers.get(&connection) else {
            return;
        };
        let have = follower.request.have_index;
        let frame = self.frame_after(have);
        self.send_router(connection, frame);
        if let Some(follower) = self.routers.followers.get_mut(&connection) {
            follower.sent_index = Some(self.state.table_index());
        }
    }

    /// Frame that updates a router from the table at index `have` to the present one: a delta if one can be
    /// built, otherwise the full table.
    fn frame_after(&mut self, have: LogIndex) -> Arc<ControlFrame> {
        let index = self.state.table_index();
        if have == index && have > LogIndex(0) {
            return Arc::new(ControlFrame::Current(self.applied));
        }
        let delta = (have > LogIndex(0) && have < index).then(|| self.state.delta_since(have));
        match delta.flatten() {
            Some(delta) => {
                self.metrics.table_deltas += 1;
                Arc::new(ControlFrame::Delta(delta))
            }
            None => {
                self.metrics.table_snapshots += 1;
                self.full_table(index)
            }
        }
    }

    fn full_table(&mut self, index: LogIndex) -> Arc<ControlFrame> {
        if let Some((made_at, frame)) = &self.routers.cached_table {
            if *made_at == index {
                return Arc::clone(frame);
            }
        }
        let frame = Arc::new(ControlFrame::Snapshot(self.state.table()));
        self.routers.cached_table = Some((index, Arc::clone(&frame)));
        frame
    }

    /// Sends table changes to all followers, and [`ControlFrame::Current`] at intervals.
    pub(super) fn push_tables(&mut self, now: Duration) {
        if self.leadership.is_none() {
            return;
        }
        let index = self.state.table_index();
        let mut frames: BTreeMap<LogIndex, Arc<ControlFrame>> = BTreeMap::new();
        for (connection, sent) in self.followers_behind(index) {
            let frame = match frames.get(&sent) {
                Some(frame) => Arc::clone(frame),
                None => self.frame_after(sent),
            };
            frames.insert(sent, Arc::clone(&frame));
            self.send_router(connection, frame);
            if let Some(follower) = self.routers.followers.get_mut(&connection) {
                follower.sent_index = Some(index);
            }
        }
        self.send_current(now);
    }

    fn followers_behind(&self, index: LogIndex) -> Vec<(ConnectionId, LogIndex)> {
        let followers = self.routers.followers.iter();
        followers
            .filter_map(|(connection, follower)| Some((*connection, follower.sent_index?)))
            .filter(|(_, sent)| *sent < index)
            .collect()
    }

    fn send_current(&mut self, now: Duration) {
        if now < self.routers.next_current_at {
            return;
        }
        self.routers.next_current_at = now + self.routers.interval;
        self.routers.remove_expired_reports(now);
        let lease_until = self.consensus.leader_lease_until().unwrap_or_default();
        if lease_until <= now {
            return;
        }
        let frame = Arc::new(ControlFrame::Current(self.applied));
        let followers = self.routers.followers.iter();
        let started: Vec<ConnectionId> = followers
            .filter(|(_, follower)| follower.sent_index.is_some())
            .map(|(connection, _)| *connection)
            .collect();
        for connection in started {
            self.send_router(connection, Arc::clone(&frame));
        }
    }

    /// Redirects all followers to the new leader, or without an address while none is known.
    pub(super) fn redirect_routers(&mut self) {
        let leader = self.leader_member();
        let address = leader
            .filter(|member| member.replica != self.replica)
            .map(|member| member.router_address.clone());
        self.routers.cached_table = None;
        let followers = std::mem::take(&mut self.routers.followers);
        for connection in followers.into_keys() {
            self.redirect(connection, address.clone());
        }
    }

    fn redirect(&mut self, connection: ConnectionId, router_address: Option<SocketAddress>) {
        let frame = ControlFrame::Redirect(Redirect { router_address });
        self.send_router(connection, Arc::new(frame));
    }

    fn send_router(&mut self, connection: ConnectionId, frame: Arc<ControlFrame>) {
        self.outputs.push(NodeOutput::Router { connection, frame });
    }
}
