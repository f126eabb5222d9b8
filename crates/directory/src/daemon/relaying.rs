//! Calls that this replica hands to the leader, and what it sends to other replicas.

use mio::Token;

use super::calls::Origin;
use super::server::Server;
use crate::call::{Call, Reply, UnavailableReason};
use crate::fleet::ReplicaReport;
use crate::link::{FromReplica, ToReplica};
use crate::node::{CallId, NodeInput};

/// Servers whose heartbeats the leader takes alone.
const SERVERS_OF_ONE_REPLICA: usize = 600;

impl Server<'_> {
    pub(super) fn on_peer_frame(&mut self, frame: FromReplica) {
        match frame {
            FromReplica::Relayed { id, reply } => self.on_relayed(CallId(id), reply),
            FromReplica::Fleet(summary) => {
                let now = self.now();
                self.fleet.note_summary(now, &summary);
            }
            FromReplica::Permit { id, permit } => self.on_permit(id, permit),
            // What gateways are told; a replica learns it from the log.
            FromReplica::Head(_)
            | FromReplica::Whole { .. }
            | FromReplica::Entries(_)
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
                endpoint: self.sends_on().then_some(leader),
            },
            other => other,
        };
        self.reply(id, &reply);
    }

    /// Another replica took this one for the leader and told what its gateways reported.
    pub(super) fn on_replica_report(&mut self, token: Token, report: ReplicaReport) {
        let now = self.now();
        if !self.node.leads_surely(now) {
            return;
        }
        self.fleet.note_report(now, &report);
        if !report.load.is_empty() {
            self.inputs.push(NodeInput::Load(report.load));
        }
        if !report.crashes.is_empty() {
            self.inputs.push(NodeInput::Crashes(report.crashes));
        }
        let summary = self.fleet_summary(now);
        if let Some(link) = self.inbound.get_mut(&token) {
            link.queue(&FromReplica::Fleet(summary));
            self.unsent_links.insert(token);
        }
    }

    /// Sends what was queued for other replicas: however many calls and answers a turn relays, each replica
    /// gets them in one write.
    pub(super) fn flush_links(&mut self) {
        let now = self.now();
        self.peers.flush(now);
        for token in std::mem::take(&mut self.unsent_links) {
            let link = self.inbound.get_mut(&token);
            if link.is_some_and(|link| !link.flush()) {
                self.inbound.remove(&token);
            }
        }
    }

    /// Whether servers are sent on to the leader. With many of them their calls would be more than it can
    /// take, so every replica keeps those that come to it and relays them.
    fn sends_on(&self) -> bool {
        self.node.catalog().instance_count() < SERVERS_OF_ONE_REPLICA
    }

    pub(super) fn relay(&mut self, id: CallId, address: &str, endpoint: String, call: Call) {
        // A call is relayed once; a replica that does not lead sends it back unanswered.
        if let Some(Origin::Replica(..)) = self.calls.origin(id) {
            return self.reply(id, &Reply::Unavailable(UnavailableReason::NoLeader));
        }
        let now = self.now();
        self.calls.note_relayed(id, now, endpoint);
        self.send_peer(address, &ToReplica::Relay { id: id.0, call });
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
