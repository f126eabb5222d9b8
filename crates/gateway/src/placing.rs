//! Selection of a server for requests to a pooled service. A server is eligible if it accepts requests and
//! has capacity; one that drains is used only when no other is available.

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};
use rand::Rng;

use crate::event_loop::EventLoop;
use crate::in_flight::InFlightId;
use crate::paths::is_reachable;
use crate::refusal::Refusal;
use crate::table::Table;
use crate::warmup::WarmupTurns;

/// Result of the server selection for a request to a pooled service.
enum Selection {
    /// The request is sent to this server.
    Send(Instance),
    /// No server can execute the request now.
    Refuse(Refusal),
    /// The request waits for capacity. `opens_at` is when a pause that closes a server ends; `None` if that
    /// is not known.
    Wait { opens_at: Option<Duration> },
}

impl EventLoop {
    pub(crate) fn dispatch_to_pool(&mut self, id: InFlightId) {
        if self.should_forward(id) && self.forward_or_refuse(id) {
            return;
        }
        match self.select_server(id) {
            Some(Selection::Send(server)) => self.send(id, &server),
            Some(Selection::Refuse(refusal)) => self.refuse(id, refusal),
            Some(Selection::Wait { opens_at }) => self.wait_for_capacity(id, opens_at),
            None => {}
        }
    }

    /// Forwards a request to another gateway. If there is none, refuses it while the paths count as lost, and returns
    /// false otherwise: then a server should be tried all the same.
    fn forward_or_refuse(&mut self, id: InFlightId) -> bool {
        let Some(request) = self.in_flight.get(id) else {
            return true;
        };
        let (service, is_forwarded) = (request.service.clone(), request.is_forwarded);
        if self.forward_to_peer(id, &service) {
            return true;
        }
        let is_refused = is_forwarded || self.reachability.is_lost(&service);
        if is_refused {
            self.refuse(id, Refusal::Unreachable);
        }
        is_refused
    }

    /// Selects a server for a request to a pooled service; `None` when the request has ended.
    fn select_server(&mut self, id: InFlightId) -> Option<Selection> {
        let now = self.now();
        let gateways = self.gateway_count();
        let request = self.in_flight.get(id)?;
        let (table, warmup, rates) = (&self.table, &self.warmup, &self.stated_rates);
        let cooldowns = &self.cooldowns;
        let servers = table.usable_servers(&request.service);
        let leaving = &self.leaving;
        let servers = servers.filter(|server| leaving.is_usable(&server.id, now));
        let untried = servers.filter(|server| !request.tried_servers.contains(&server.id));
        let available = untried
            .clone()
            .filter(|server| cooldowns.remaining(&server.id, now).is_none())
            .filter(|server| warmup_allows(table, warmup, server, gateways, now))
            .filter(|server| rates.is_open(&server.id, now, gateways));
        let zone = self.settings.zone.as_str();
        let random = &mut self.random;
        let mut random = || random.random::<f64>();
        let staying = available
            .clone()
            .filter(|server| !leaving.is_leaving(&server.id));
        let (reachability, upstreams) = (&self.reachability, &self.upstreams);
        let reachable = staying
            .clone()
            .filter(|server| is_reachable(reachability, upstreams, server));
        let chosen = self.load_balancer.choose(reachable, zone, now, &mut random);
        let chosen = chosen.or_else(|| self.load_balancer.choose(staying, zone, now, &mut random));
        let chosen = chosen.or_else(|| {
            let available = available.clone();
            self.load_balancer.choose(available, zone, now, &mut random)
        });
        if let Some(server) = chosen {
            return Some(Selection::Send(server.clone()));
        }
        if untried.clone().next().is_none() {
            return Some(Selection::Refuse(Refusal::NoServer));
        }
        let none_available = available.clone().next().is_none();
        let opens_at = available.filter_map(|server| self.load_balancer.opens_at(&server.id, now));
        let opens_at = opens_at.min();
        if !none_available {
            return Some(Selection::Wait { opens_at });
        }
        let capacity_after = untried
            .clone()
            .filter_map(|one| rates.capacity_after(&one.id));
        let capacity_after = capacity_after.min();
        let left = untried.filter_map(|one| Some((cooldowns.remaining(&one.id, now)?, &one.id)));
        let first_back = left.min().map(|(_, id)| id.clone());
        Some(self.select_without_available(id, first_back.as_ref(), capacity_after))
    }

    /// Whether a request to a pooled service should go through another gateway: its last attempt to connect timed out
    /// and no server of the service was heard since, or this gateway reaches less than half of the service's servers.
    fn should_forward(&self, id: InFlightId) -> bool {
        let Some(request) = self.in_flight.get(id) else {
            return false;
        };
        if !self.reachability.is_in_doubt() {
            return false;
        }
        let service = &request.service;
        let unheard = |since| !self.reachability.is_service_heard_since(service, since);
        if request.timed_out_since.is_some_and(unheard) {
            return true;
        }
        let servers = self.table.usable_servers(service);
        // While the paths work, only servers that failed can be out of reach.
        let enough = 2 * self.reachability.unreachable();
        if !self.reachability.is_lost(service) && servers.clone().take(enough).count() == enough {
            return false;
        }
        let reachable = servers.clone().filter(|one| self.is_reachable(one));
        2 * reachable.count() < servers.count()
    }

    /// Decides about a request that no server accepts now. `first_back` is the cooling server whose cooldown
    /// ends first, and `capacity_after` the shortest time after which a server that states a rate has capacity;
    /// each is `None` where there is no such server.
    fn select_without_available(
        &mut self,
        id: InFlightId,
        first_back: Option<&InstanceId>,
        capacity_after: Option<Duration>,
    ) -> Selection {
        let now = self.now();
        if capacity_after.is_some() {
            return Selection::Refuse(Refusal::RateSpent { capacity_after });
        }
        let left = first_back.and_then(|server| self.cooldowns.remaining(server, now));
        let (Some(server), Some(left)) = (first_back, left) else {
            return Selection::Refuse(Refusal::WarmingUp);
        };
        if self.can_wait(id, left) {
            let opens_at = Some(now + left);
            return Selection::Wait { opens_at };
        }
        Selection::Refuse(self.cooldown_refusal(server))
    }

    /// The refusal of a request that only a cooling server could execute.
    pub(crate) fn cooldown_refusal(&mut self, server: &InstanceId) -> Refusal {
        let now = self.now();
        let client_retry_after =
            self.cooldowns
                .client_retry_after(server, now, self.random.random());
        Refusal::CoolingDown {
            client_retry_after: client_retry_after.unwrap_or_default(),
        }
    }
}

/// Whether warm-up limits let this gateway send a request to a server now.
pub(crate) fn warmup_allows(
    table: &Table,
    warmup: &WarmupTurns,
    server: &Instance,
    gateways: Option<u32>,
    now: Duration,
) -> bool {
    if !table.is_cold(server) {
        return true;
    }
    let rate = table.warmup_rate(&server.service);
    rate.is_none_or(|rate| warmup.is_open(&server.id, now, rate, gateways))
}
