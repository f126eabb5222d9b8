//! Permits for requests to servers that state a rate: given by the leader, passed on by the other replicas.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_grants::{Permit, Permits};
use mio::Token;

use super::server::Server;
use crate::link::{FromReplica, PermitRequest, ToReplica};

/// Time after which a wish that was passed on is forgotten: its gateway has decided without by then.
const WISH_LIFETIME: Duration = Duration::from_secs(1);

/// Wishes under way at most.
const MOST_WISHES: usize = 4_096;

/// A gateway's wish that was passed on to the leader.
#[derive(Clone, Copy, Debug)]
struct Wish {
    gateway: Token,
    /// Name that the gateway gave it.
    id: u64,
    due: Duration,
}

/// Permits given here, and wishes passed on.
#[derive(Debug, Default)]
pub(super) struct PermitDesk {
    permits: Permits,
    next: u64,
    wishes: HashMap<u64, Wish>,
}

impl PermitDesk {
    /// Permits of a leader whose time has just begun.
    pub(super) fn begin_anew(&mut self) {
        self.permits = Permits::default();
    }

    /// Notes a wish that is passed on; the name that it gets, unless there are too many.
    fn pass_on(&mut self, now: Duration, gateway: Token, id: u64) -> Option<u64> {
        if self.wishes.len() >= MOST_WISHES {
            self.wishes.retain(|_, wish| now < wish.due);
        }
        if self.wishes.len() >= MOST_WISHES {
            return None;
        }
        self.next += 1;
        let due = now + WISH_LIFETIME;
        self.wishes.insert(self.next, Wish { gateway, id, due });
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
            let permit = self.permit_desk.permits.take(now, &server, stated_rate);
            self.metrics.note_permit(match permit {
                Permit::Given => "given",
                Permit::Refused { .. } => "refused",
            });
            return self.send_permit(token, id, Some(permit));
        }
        // A wish is passed on once: a replica that was wrong about who leads is told so.
        let is_gateway = |token| {
            let link = self.inbound.get(&token);
            link.is_some_and(|link| !link.gateway.is_empty())
        };
        let leader = self.node.other_leader().filter(|_| is_gateway(token));
        let passed_on = leader.and_then(|leader| {
            let name = self.permit_desk.pass_on(now, token, id)?;
            Some((leader, name))
        });
        let Some((leader, name)) = passed_on else {
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

    /// The leader answered a wish that was passed on.
    pub(super) fn on_permit(&mut self, name: u64, permit: Option<Permit>) {
        if let Some(wish) = self.permit_desk.wishes.remove(&name) {
            self.send_permit(wish.gateway, wish.id, permit);
        }
    }

    fn send_permit(&mut self, token: Token, id: u64, permit: Option<Permit>) {
        if let Some(link) = self.inbound.get_mut(&token) {
            link.queue(&FromReplica::Permit { id, permit });
            self.unsent_links.insert(token);
        }
    }
}
