//! All servers that one leader has heard, in the order of their heartbeats.
//!
//! Every server beats at one interval, so the order of the last heartbeats is also the order in which the
//! next ones are expected and in which servers fall silent. Both ends are found without a look at the
//! others: a leader's work a heartbeat must not grow with the number of servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::InstanceId;

use crate::heartbeat::Heartbeat;
use crate::server::Server;

/// The servers, and when each was last heard.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    known: BTreeMap<InstanceId, Server>,
    /// Servers whose heartbeats came to this leader, by service, each at the time of the last one.
    heard: BTreeMap<String, BTreeSet<(Duration, InstanceId)>>,
}

impl Servers {
    /// A server that this leader heard or withholds shards from.
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&Server> {
        self.known.get(id)
    }

    /// The same, to be changed.
    pub(crate) fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Server> {
        self.known.get_mut(id)
    }

    /// A server that this leader may never have heard; `now` stands in for its last heartbeat then.
    pub(crate) fn get_or_silent(&mut self, id: &InstanceId, now: Duration) -> &mut Server {
        let server = self.known.entry(id.clone());
        server.or_insert_with(|| Server::silent_since(now))
    }

    /// Notes a heartbeat; whether it is newer than all of its server so far.
    pub(crate) fn note_beat(&mut self, now: Duration, beat: &Heartbeat) -> bool {
        let server = self.known.entry(beat.id.clone());
        let server = server.or_insert_with(|| Server::new(now));
        if beat.sequence <= server.sequence && server.sequence > 0 {
            return false;
        }
        let before = std::mem::replace(&mut server.last_beat, now);
        server.sequence = beat.sequence;
        let heard = match self.heard.get_mut(&beat.service) {
            Some(heard) => heard,
            None => self.heard.entry(beat.service.clone()).or_default(),
        };
        heard.remove(&(before, beat.id.clone()));
        heard.insert((now, beat.id.clone()));
        true
    }

    /// Servers of a service whose last heartbeat came at `since` or later, the longest silent first.
    pub(crate) fn heard_since(
        &self,
        service: &str,
        since: Duration,
    ) -> impl Iterator<Item = (&InstanceId, Duration)> {
        let heard = self.heard.get(service).into_iter();
        let start = (since, InstanceId::new(""));
        let later = heard.flat_map(move |heard| heard.range(start.clone()..));
        later.map(|(at, id)| (id, *at))
    }

    /// Servers of all services whose last heartbeat came before `before`.
    pub(crate) fn silent_since(&self, before: Duration) -> impl Iterator<Item = &InstanceId> {
        let silent = self.heard.values();
        let silent =
            silent.flat_map(move |heard| heard.iter().take_while(move |one| one.0 < before));
        silent.map(|(_, id)| id)
    }

    /// Takes a server that ended and owns nothing out of the order; what is known of it stays.
    pub(crate) fn drop_from_order(&mut self, id: &InstanceId) {
        let Some(server) = self.known.get(id) else {
            return;
        };
        let place = (server.last_beat, id.clone());
        for heard in self.heard.values_mut() {
            heard.remove(&place);
        }
    }
}

#[cfg(test)]
mod tests;
