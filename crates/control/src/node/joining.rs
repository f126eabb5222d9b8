//! Join requests of a replica that starts with an empty data directory.
//!
//! Invariant: only a replica that never had a copy of the log sends join requests; a removed replica doesn't
//! rejoin.

use std::time::Duration;

use grebepin_schema::{JoinRequest, JoinResponse, MemberRole, PeerFrame, SocketAddress};
use grebepin_storage::Disk;

use super::config::NodeConfig;
use super::output::Notice;
use super::ControlNode;

/// Maximum number of redirects followed per retry interval, so that two replicas that redirect to each other
/// don't cause a busy loop.
const REDIRECTS_PER_INTERVAL: u32 = 10;

/// State of the join retries.
#[derive(Debug)]
pub(super) struct Joining {
    active: bool,
    retry_at: Duration,
    interval: Duration,
    /// Index into the configured peers of the next one to ask.
    next_peer: usize,
    leader_hint: Option<SocketAddress>,
    /// Whether the first answer was logged; later ones aren't.
    announced: bool,
}

impl Joining {
    pub(super) fn new(config: &NodeConfig) -> Self {
        Self {
            active: !config.peers.is_empty(),
            retry_at: Duration::ZERO,
            interval: config.timing.election_timeout,
            next_peer: 0,
            leader_hint: None,
            announced: false,
        }
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.active.then_some(self.retry_at)
    }

    fn next_address(&mut self, peers: &[SocketAddress]) -> Option<SocketAddress> {
        if let Some(leader_hint) = self.leader_hint.take() {
            return Some(leader_hint);
        }
        let address = peers.get(self.next_peer % peers.len().max(1)).cloned();
        self.next_peer = self.next_peer.wrapping_add(1);
        address
    }
}

impl<D: Disk> ControlNode<D> {
    /// Sends the next join request when it is due, until this replica has a copy of the group's log.
    pub(super) fn retry_join(&mut self, now: Duration) {
        if self.is_founded() {
            self.joining.active = false;
        }
        if !self.joining.active || now < self.joining.retry_at {
            return;
        }
        self.joining.retry_at = now + self.joining.interval;
        let Some(address) = self.joining.next_address(&self.config.peers) else {
            return;
        };
        let request = JoinRequest {
            group: self.config.group,
            member: self.config.member(self.replica, MemberRole::Learner),
        };
        self.send_frame(address, PeerFrame::JoinRequest(request));
    }

    pub(super) fn handle_join_response(&mut self, now: Duration, response: JoinResponse) {
        if !self.joining.active {
            return;
        }
        match response {
            JoinResponse::NotFounded => {}
            JoinResponse::TryLeader(address) => {
                self.joining.leader_hint = Some(address);
                self.joining.retry_at = now + self.joining.interval / REDIRECTS_PER_INTERVAL;
            }
            JoinResponse::Joining => {
                let replica = self.replica;
                self.notice_once(Notice::Joining { replica });
            }
            JoinResponse::Refused(reason) => self.notice_once(Notice::JoinRefused { reason }),
        }
    }

    fn notice_once(&mut self, notice: Notice) {
        if !std::mem::replace(&mut self.joining.announced, true) {
            self.notice(notice);
        }
    }
}
