//! Servers known to one leader, ordered by their last heartbeats.
//!
//! All servers send heartbeats at the same interval, so the order of the last heartbeats is also the
//! order of the next ones and the order in which servers become silent. Both are found without visiting
//! the other servers: the leader's work for one heartbeat must not grow with the number of servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::InstanceId;

use crate::heartbeat::Heartbeat;
use crate::server::Server;

/// State of each server, and an index by the time of the last heartbeat.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    known: BTreeMap<InstanceId, Server>,
    /// Servers that sent heartbeats to this leader, by service and time of the last heartbeat.
    by_last_heartbeat: BTreeMap<String, BTreeSet<(Duration, InstanceId)>>,
}

impl Servers {
    /// State of a server that sent this leader a heartbeat or from which shards are withheld.
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&Server> {
        self.known.get(id)
    }

    /// Mutable state of such a server.
    pub(crate) fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Server> {
        self.known.get_mut(id)
    }

    /// State of a server, created if there is none; `now` is then used as the time of its last
    /// heartbeat.
    pub(crate) fn get_or_insert(&mut self, id: &InstanceId, now: Duration) -> &mut Server {
        let server = self.known.entry(id.clone());
        server.or_insert_with(|| Server::unseen(now))
    }

    /// Records a heartbeat. Returns false when its sequence number isn't above the last one of the
    /// server.
    pub(crate) fn record_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> bool {
        let server = self.known.entry(heartbeat.id.clone());
        let server = server.or_insert_with(|| Server::new(now));
        if heartbeat.sequence <= server.sequence && server.sequence > 0 {
            return false;
        }
        let before = std::mem::replace(&mut server.last_heartbeat, now);
        server.sequence = heartbeat.sequence;
        let order = match self.by_last_heartbeat.get_mut(&heartbeat.service) {
            Some(order) => order,
            None => self
                .by_last_heartbeat
                .entry(heartbeat.service.clone())
                .or_default(),
        };
        order.remove(&(before, heartbeat.id.clone()));
        order.insert((now, heartbeat.id.clone()));
        true
    }

    /// Servers of a service whose last heartbeat came at `since` or later, with that time, oldest first.
    pub(crate) fn heartbeats_since(
        &self,
        service: &str,
        since: Duration,
    ) -> impl Iterator<Item = (&InstanceId, Duration)> {
        let order = self.by_last_heartbeat.get(service).into_iter();
        let start = (since, InstanceId::new(""));
        let later = order.flat_map(move |order| order.range(start.clone()..));
        later.map(|(at, id)| (id, *at))
    }

    /// Servers of all services whose last heartbeat came before `before`.
    pub(crate) fn silent_since(&self, before: Duration) -> impl Iterator<Item = &InstanceId> {
        let silent = self.by_last_heartbeat.values();
        let silent =
            silent.flat_map(move |order| order.iter().take_while(move |one| one.0 < before));
        silent.map(|(_, id)| id)
    }

    /// Removes a server that is gone and owns nothing from the index. Its state is kept, since its lease
    /// end must stay known.
    pub(crate) fn remove_from_order(&mut self, id: &InstanceId) {
        let Some(server) = self.known.get(id) else {
            return;
        };
        let place = (server.last_heartbeat, id.clone());
        for order in self.by_last_heartbeat.values_mut() {
            order.remove(&place);
        }
    }
}

#[cfg(test)]
mod tests;
