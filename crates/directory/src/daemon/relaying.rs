//! Relaying of calls to the leader, and messages to other replicas.

use mio::Token;

use super::calls::Origin;
use super::event_loop::EventLoop;
use crate::call::{Call, CallBasis, Reply, UnavailableReason};
use crate::crashes::MAX_REPORT_WAIT;
use crate::fleet::ReplicaReport;
use crate::link::{FromReplica, ToReplica};
use crate::node::{CallId, NodeInput};

/// From this number of servers on, they are no longer told to send their heartbeats to the leader.
const REDIRECT_SERVER_LIMIT: usize = 600;

impl EventLoop<'_> {
    pub(super) fn on_peer_frame(&mut self, frame: FromReplica) {
        match frame {
            FromReplica::Relayed { id, reply } => self.on_relayed(CallId(id), reply),
            FromReplica::Fleet(summary) => {
                let now = self.now();
                self.fleet.record_summary(now, &summary);
                if let Some(confirmation) = summary.confirmation {
                    let applied = self.node.applied();
                    self.confirmed_state.record(confirmation, applied);
                }
            }
            FromReplica::Permit { id, permit } => self.on_permit(id, permit),
            // Addressed to gateways; a replica receives the state through the log.
            FromReplica::Head(_)
            | FromReplica::Whole { .. }
            | FromReplica::Entries(_)
            | FromReplica::Confirmed(_)
            | FromReplica::Packed(_) => {}
        }
    }

    fn on_relayed(&mut self, id: CallId, reply: Reply) {
        let Some(leader) = self.calls.take_endpoint(id) else {
            return;
        };
        let reply = match reply {
            Reply::Heartbeat { grant, .. } => Reply::Heartbeat {
                grant,
                endpoint: self.redirects_heartbeats().then_some(leader),
            },
            other => other,
        };
        self.reply(id, &reply);
    }

    /// Handles a report of a replica that takes this one for the leader.
    pub(super) fn on_replica_report(&mut self, token: Token, report: ReplicaReport) {
        let now = self.now();
        if !self.node.holds_leader_lease(now) {
            return;
        }
        self.fleet.record_report(now, &report);
        if !report.load.is_empty() {
            self.inputs.push(NodeInput::Load(report.load));
        }
        if !report.crashes.is_empty() && !self.may_have_waited(MAX_REPORT_WAIT) {
            self.inputs.push(NodeInput::Crashes(report.crashes));
        }
        let summary = self.fleet_summary(now, report.sent_at_ms);
        if let Some(link) = self.inbound_links.get_mut(&token) {
            link.queue(&FromReplica::Fleet(summary));
            self.unsent_links.insert(token);
        }
    }

    /// Sends the frames buffered for other replicas: all calls and answers relayed in one iteration of the
    /// event loop reach each replica in one write.
    pub(super) fn flush_links(&mut self) {
        let now = self.now();
        self.peers.flush(now);
        for token in std::mem::take(&mut self.unsent_links) {
            let link = self.inbound_links.get_mut(&token);
            if link.is_some_and(|link| !link.flush()) {
                self.inbound_links.remove(&token);
            }
        }
    }

    /// Whether servers are told to send their heartbeats to the leader. With many servers the leader could
    /// not take all these calls, so every replica keeps the ones that reach it and relays them.
    fn redirects_heartbeats(&self) -> bool {
        self.node.catalog().instance_count() < REDIRECT_SERVER_LIMIT
    }

    pub(super) fn relay(
        &mut self,
        id: CallId,
        address: &str,
        endpoint: String,
        call: Call,
        basis: CallBasis,
    ) {
        // A call is relayed only once; a replica that does not lead answers a relayed call as unavailable.
        if let Some(Origin::Replica(..)) = self.calls.origin(id) {
            return self.reply(id, &Reply::Unavailable(UnavailableReason::NoLeader));
        }
        let now = self.now();
        self.calls.record_relay(id, now, endpoint);
        let id = id.0;
        self.send_peer(address, &ToReplica::Relay { id, call, basis });
    }

    pub(super) fn send_peer(&mut self, address: &str, frame: &ToReplica) {
        let now = self.now();
        let token = Token(self.next_token);
        let registry = self.poll.registry();
        if self.peers.queue(now, registry, token, address, frame) {
            self.next_token += 1;
        }
    }
}
