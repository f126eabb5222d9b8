//! Permits for requests to servers that state a rate: given by the leader, passed on by the other replicas.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_grants::{Permit, Permits};
use mio::Token;

use super::server::Server;
use crate::link::{FromReplica, PermitRequest, ToReplica};

/// Time after which a request that was relayed is forgotten: its gateway has decided without by then.
const PENDING_LIFETIME: Duration = Duration::from_secs(1);

/// Requests under way to the leader at most.
const MOST_PENDING: usize = 4_096;

/// A gateway's request that was relayed to the leader.
#[derive(Clone, Copy, Debug)]
struct Pending {
    gateway: Token,
    /// Name that the gateway gave the request.
    id: u64,
    due: Duration,
}

/// Permits given here while this replica leads, and requests relayed while another does.
#[derive(Debug, Default)]
pub(super) struct PermitRelay {
    permits: Permits,
    next: u64,
    pending: HashMap<u64, Pending>,
}

impl PermitRelay {
    /// Permits of a leader whose time has just begun.
    pub(super) fn begin_anew(&mut self) {
        self.permits = Permits::default();
    }

    /// Notes a request that is relayed; the name that it gets, unless there are too many.
    fn relay(&mut self, now: Duration, gateway: Token, id: u64) -> Option<u64> {
        if self.pending.len() >= MOST_PENDING {
            self.pending.retain(|_, one| now < one.due);
        }
        if self.pending.len() >= MOST_PENDING {
            return None;
        }
        self.next += 1;
        let due = now + PENDING_LIFETIME;
        self.pending.insert(self.next, Pending { gateway, id, due });
        Some(self.next)
    }
}

impl Server<'_> {
    /// A gateway, or a replica in its place, asks for a permit.
    pub(super) fn on_permit_request(&mut self, token: Token, request: PermitRequest) {
        let now = self.now();
        let PermitRequest {
            id,
            server,
            stated_rate,
        } = request;
        if self.node.leads_surely(now) {
            let permit = self.permit_relay.permits.take(now, &server, stated_rate);
            self.metrics.note_permit(match permit {
                Permit::Given => "given",
                Permit::Refused { .. } => "refused",
            });
            return self.send_permit(token, id, Some(permit));
        }
        // A request is relayed once: a replica that was wrong about who leads is told so.
        let is_gateway = |token| {
            let link = self.inbound.get(&token);
            link.is_some_and(|link| !link.gateway.is_empty())
        };
        let leader = self.node.other_leader().filter(|_| is_gateway(token));
        let relayed = leader.and_then(|leader| {
            let name = self.permit_relay.relay(now, token, id)?;
            Some((leader, name))
        });
        let Some((leader, name)) = relayed else {
            self.metrics.note_permit("unknown");
            return self.send_permit(token, id, None);
        };
        let request = PermitRequest {
            id: name,
            server,
            stated_rate,
        };
        self.send_peer(&leader, &ToReplica::TakePermit(request));
    }

    /// The leader answered a request that was relayed.
    pub(super) fn on_permit(&mut self, name: u64, permit: Option<Permit>) {
        if let Some(pending) = self.permit_relay.pending.remove(&name) {
            self.send_permit(pending.gateway, pending.id, permit);
        }
    }

    fn send_permit(&mut self, token: Token, id: u64, permit: Option<Permit>) {
        if let Some(link) = self.inbound.get_mut(&token) {
            link.queue(&FromReplica::Permit { id, permit });
            self.unsent_links.insert(token);
        }
    }
}
