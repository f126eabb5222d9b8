//! A replica with an empty folder asks the group to take it in.
//!
//! Invariant: only a replica that never had a copy of the log asks; one that was removed stays out.

use std::time::Duration;

use grebepin_schema::{JoinRequest, JoinResponse, MemberRole, PeerFrame, SocketAddress};
use grebepin_storage::Disk;

use super::config::NodeConfig;
use super::output::Notice;
use super::ControlNode;

/// How often a replica follows redirections within its interval, so that two others that name each
/// other as the leader don't make it spin.
const REDIRECTS_PER_INTERVAL: u32 = 10;

/// Where and when to ask next.
#[derive(Debug)]
pub(super) struct Joining {
    active: bool,
    next_at: Duration,
    interval: Duration,
    /// Index into the configured peers of the next one to ask.
    next_peer: usize,
    hint: Option<SocketAddress>,
    announced: bool,
}

impl Joining {
    pub(super) fn new(config: &NodeConfig) -> Self {
        Self {
            active: !config.peers.is_empty(),
            next_at: Duration::ZERO,
            interval: config.timing.election_timeout,
            next_peer: 0,
            hint: None,
            announced: false,
        }
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.active.then_some(self.next_at)
    }

    fn next_address(&mut self, peers: &[SocketAddress]) -> Option<SocketAddress> {
        if let Some(hint) = self.hint.take() {
            return Some(hint);
        }
        let address = peers.get(self.next_peer % peers.len().max(1)).cloned();
        self.next_peer = self.next_peer.wrapping_add(1);
        address
    }
}

impl<D: Disk> ControlNode<D> {
    /// Asks again when it is time, until this replica has a copy of the group's log.
    pub(super) fn keep_joining(&mut self, now: Duration) {
        if self.is_founded() {
            self.joining.active = false;
        }
        if !self.joining.active || now < self.joining.next_at {
            return;
        }
        self.joining.next_at = now + self.joining.interval;
        let Some(address) = self.joining.next_address(&self.config.peers) else {
            return;
        };
        let request = JoinRequest {
            group: self.config.group,
            member: self.config.member(self.replica, MemberRole::Learner),
        };
        self.send_frame(address, PeerFrame::JoinRequest(request));
    }

    pub(super) fn take_in_join_response(&mut self, now: Duration, response: JoinResponse) {
        if !self.joining.active {
            return;
        }
        match response {
            JoinResponse::NotFounded => {}
            JoinResponse::TryLeader(address) => {
                self.joining.hint = Some(address);
                self.joining.next_at = now + self.joining.interval / REDIRECTS_PER_INTERVAL;
            }
            JoinResponse::Joining => {
                let replica = self.replica;
                self.announce(Notice::Joining { replica });
            }
            JoinResponse::Refused(reason) => self.announce(Notice::JoinRefused { reason }),
        }
    }

    fn announce(&mut self, notice: Notice) {
        if !std::mem::replace(&mut self.joining.announced, true) {
            self.notice(notice);
        }
    }
}
