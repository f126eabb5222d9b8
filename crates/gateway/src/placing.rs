//! Which server of a pooled service gets a request: one that takes requests, has room, and does not leave.

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};
use rand::Rng;

use crate::flight::FlightId;
use crate::refusal::Refusal;
use crate::server::Server;
use crate::table::Table;
use crate::warmup::WarmupTurns;

/// Where a request goes that any server of its service may run.
enum Placement {
    /// To this server.
    At(Instance),
    /// Nowhere: it can't be served now.
    Refused(Refusal),
    /// It waits for room, which a pause keeps from it until then at least, where that is known.
    Waits { opens_at: Option<Duration> },
}

impl Server {
    pub(crate) fn dispatch_to_pool(&mut self, id: FlightId) {
        match self.placement(id) {
            Some(Placement::At(server)) => self.send(id, &server),
            Some(Placement::Refused(refusal)) => self.refuse(id, refusal),
            Some(Placement::Waits { opens_at }) => self.await_room(id, opens_at),
            None => {}
        }
    }

    /// Where a request goes that any server of its service may run; `None` when it has ended.
    fn placement(&mut self, id: FlightId) -> Option<Placement> {
        let now = self.now();
        let gateways = self.known_gateways();
        let flight = self.flights.get(id)?;
        let (table, warmup, rates) = (&self.table, &self.warmup, &self.stated_rates);
        let cooldowns = &self.cooldowns;
        let servers = table.usable_servers(&flight.service);
        let leaving = &self.leaving;
        let servers = servers.filter(|server| leaving.is_usable(&server.id, now));
        let untried = servers.filter(|server| !flight.tried.contains(&server.id));
        let able = untried
            .clone()
            .filter(|server| cooldowns.remaining(&server.id, now).is_none())
            .filter(|server| is_turn(table, warmup, server, gateways, now))
            .filter(|server| rates.is_open(&server.id, now, gateways));
        let zone = self.settings.zone.as_str();
        let random = &mut self.random;
        let mut random = || random.random::<f64>();
        let staying = able
            .clone()
            .filter(|server| !leaving.is_leaving(&server.id));
        let chosen = self.balance.choose(staying, zone, now, &mut random);
        let chosen = chosen.or_else(|| {
            let able = able.clone();
            self.balance.choose(able, zone, now, &mut random)
        });
        if let Some(server) = chosen {
            return Some(Placement::At(server.clone()));
        }
        if untried.clone().next().is_none() {
            return Some(Placement::Refused(Refusal::NoServer));
        }
        let is_none_able = able.clone().next().is_none();
        let opens_at = able.filter_map(|server| self.balance.opens_at(&server.id, now));
        let opens_at = opens_at.min();
        if !is_none_able {
            return Some(Placement::Waits { opens_at });
        }
        let capacity_after = untried
            .clone()
            .filter_map(|one| rates.capacity_after(&one.id));
        let capacity_after = capacity_after.min();
        let left = untried.filter_map(|one| Some((cooldowns.remaining(&one.id, now)?, &one.id)));
        let first_back = left.min().map(|(_, id)| id.clone());
        Some(self.placement_later(id, first_back.as_ref(), capacity_after))
    }

    /// What becomes of a request that no server takes now: `first_back` is the first to take requests again of those that
    /// asked for none, and one that states a rate has a place after `capacity_after`, where there are such servers.
    fn placement_later(
        &mut self,
        id: FlightId,
        first_back: Option<&InstanceId>,
        capacity_after: Option<Duration>,
    ) -> Placement {
        let now = self.now();
        if capacity_after.is_some() {
            return Placement::Refused(Refusal::RateSpent { capacity_after });
        }
        let left = first_back.and_then(|server| self.cooldowns.remaining(server, now));
        let (Some(server), Some(left)) = (first_back, left) else {
            return Placement::Refused(Refusal::WarmingUp);
        };
        if self.can_wait(id, left) {
            let opens_at = Some(now + left);
            return Placement::Waits { opens_at };
        }
        Placement::Refused(self.cooldown_refusal(server))
    }

    /// Why a request is refused that only a server could run which asked for no requests.
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

/// Whether a server may get a request of this gateway now, as far as warming up bounds that.
pub(crate) fn is_turn(
    table: &Table,
    warmup: &WarmupTurns,
    server: &Instance,
    gateways: Option<u32>,
    now: Duration,
) -> bool {
    if !server.is_cold {
        return true;
    }
    let rate = table.warmup_rate(&server.service);
    rate.is_none_or(|rate| warmup.is_open(&server.id, now, rate, gateways))
}
