//! Permits for requests to servers that state a rate: granted by the leader, relayed by the other replicas.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_grants::{Permit, Permits};
use mio::Token;

use super::event_loop::EventLoop;
use crate::link::{FromReplica, PermitRequest, ToReplica};

/// Time after which a relayed permit request is forgotten. Its gateway has decided without an answer by then.
const PENDING_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of permit requests waiting for the leader.
const MAX_PENDING_REQUESTS: usize = 4_096;

/// A gateway's permit request that was relayed to the leader.
#[derive(Clone, Copy, Debug)]
struct Pending {
    gateway: Token,
    /// The gateway's identifier for the request.
    id: u64,
    deadline: Duration,
}

/// Permits granted while this replica leads, and permit requests relayed while another replica leads.
#[derive(Debug, Default)]
pub(super) struct PermitRelay {
    permits: Permits,
    next: u64,
    pending: HashMap<u64, Pending>,
}

impl PermitRelay {
    /// Discards the permits of an earlier leadership.
    pub(super) fn reset_permits(&mut self) {
        self.permits = Permits::default();
    }

    /// Records a relayed permit request. Returns the identifier under which it is relayed, or `None` if too
    /// many are waiting.
    fn relay(&mut self, now: Duration, gateway: Token, id: u64) -> Option<u64> {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.retain(|_, one| now < one.deadline);
        }
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return None;
        }
        self.next += 1;
        let deadline = now + PENDING_LIFETIME;
        self.pending.insert(
            self.next,
            Pending {
                gateway,
                id,
                deadline,
            },
        );
        Some(self.next)
    }
}

impl EventLoop<'_> {
    /// Handles a permit request of a gateway, or one that another replica relays.
    pub(super) fn on_permit_request(&mut self, token: Token, request: PermitRequest) {
        let now = self.now();
        let PermitRequest {
            id,
            server,
            stated_rate,
        } = request;
        if self.node.holds_leader_lease(now) {
            let permit = self.permit_relay.permits.take(now, &server, stated_rate);
            self.metrics.note_permit(match permit {
                Permit::Given => "given",
                Permit::Refused { .. } => "refused",
            });
            return self.send_permit(token, id, Some(permit));
        }
        // A permit request is relayed only once: a replica that relays one to a replica that does not lead
        // gets no permit.
        let is_gateway = |token| {
            let link = self.inbound_links.get(&token);
            link.is_some_and(|link| !link.gateway.is_empty())
        };
        let leader = self.node.other_leader().filter(|_| is_gateway(token));
        let relayed = leader.and_then(|leader| {
            let relay_id = self.permit_relay.relay(now, token, id)?;
            Some((leader, relay_id))
        });
        let Some((leader, relay_id)) = relayed else {
            self.metrics.note_permit("unknown");
            return self.send_permit(token, id, None);
        };
        let request = PermitRequest {
            id: relay_id,
            server,
            stated_rate,
        };
        self.send_peer(&leader, &ToReplica::TakePermit(request));
    }

    /// Handles the leader's answer to a relayed permit request.
    pub(super) fn on_permit(&mut self, relay_id: u64, permit: Option<Permit>) {
        if let Some(pending) = self.permit_relay.pending.remove(&relay_id) {
            self.send_permit(pending.gateway, pending.id, permit);
        }
    }

    fn send_permit(&mut self, token: Token, id: u64, permit: Option<Permit>) {
        if let Some(link) = self.inbound_links.get_mut(&token) {
            link.queue(&FromReplica::Permit { id, permit });
            self.unsent_links.insert(token);
        }
    }
}
