//! Ejection of servers that fail again and again.
//!
//! Invariant: at most the stated part of a service's servers is ejected at once, so errors or lies
//! cannot empty a pool. The owner of a key has no stand-in: ejection means that its requests are
//! refused at once with a time to come back, instead of each waiting for a time-out, until a probe
//! succeeds. Only what this router saw itself counts.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::ServerName;

/// When servers are ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionConfig {
    /// Failures without a success in between.
    pub failures: u32,
    /// Time until the first probe.
    pub first: Duration,
    /// Longest time between two probes; the time doubles at each failed probe.
    pub longest: Duration,
    /// Servers, in percent of the service's, that are never ejected at once.
    pub floor_percent: u32,
}

impl Default for EjectionConfig {
    fn default() -> Self {
        Self {
            failures: 5,
            first: Duration::from_millis(200),
            longest: Duration::from_millis(500),
            floor_percent: 50,
        }
    }
}

/// Whether a server may get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send.
    Allow,
    /// Send: this request finds out whether the server answers again.
    Probe,
    /// Refuse at once.
    FailFast {
        /// Time until the next probe.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failures: u32,
    ejected: Option<Ejected>,
}

#[derive(Clone, Copy, Debug)]
struct Ejected {
    until: Duration,
    pause: Duration,
}

/// Failures of one service's servers as one router saw them.
#[derive(Clone, Debug)]
pub struct Ejection {
    config: EjectionConfig,
    servers: BTreeMap<ServerName, Health>,
}

impl Ejection {
    /// Every server is taken to be well.
    pub fn new(config: EjectionConfig) -> Self {
        Self {
            config,
            servers: BTreeMap::new(),
        }
    }

    /// Whether a request may go to `server`. A [`Verdict::Probe`] puts the next probe off, so one
    /// request at a time probes.
    pub fn verdict(&mut self, server: &ServerName, now: Duration) -> Verdict {
        let Some(ejected) = self
            .servers
            .get_mut(server)
            .and_then(|health| health.ejected.as_mut())
        else {
            return Verdict::Allow;
        };
        if now < ejected.until {
            return Verdict::FailFast {
                retry_after: ejected.until - now,
            };
        }
        ejected.until = now + ejected.pause;
        Verdict::Probe
    }

    /// The server answered or refused in a typed way; true when this ends an ejection.
    pub fn record_success(&mut self, server: &ServerName) -> bool {
        let Some(health) = self.servers.get_mut(server) else {
            return false;
        };
        let ended = health.ejected.is_some();
        *health = Health::default();
        ended
    }

    /// The server gave no whole answer; `pool` counts the service's servers. True when this ejects it.
    pub fn record_failure(&mut self, server: &ServerName, now: Duration, pool: usize) -> bool {
        let room = self.ejected() < self.most_ejected(pool);
        let config = self.config;
        let health = self.servers.entry(server.clone()).or_default();
        health.failures = health.failures.saturating_add(1);
        match &mut health.ejected {
            Some(ejected) => {
                ejected.pause = (ejected.pause * 2).min(config.longest);
                ejected.until = now + ejected.pause;
                false
            }
            None if health.failures >= config.failures && room => {
                health.ejected = Some(Ejected {
                    until: now + config.first,
                    pause: config.first,
                });
                true
            }
            None => false,
        }
    }

    /// Forgets servers that are no longer part of the service.
    pub fn retain(&mut self, known: impl Fn(&ServerName) -> bool) {
        self.servers.retain(|server, _| known(server));
    }

    /// Count of ejected servers.
    pub fn ejected(&self) -> usize {
        self.servers
            .values()
            .filter(|health| health.ejected.is_some())
            .count()
    }

    fn most_ejected(&self, pool: usize) -> usize {
        let floor = self.config.floor_percent.min(100) as usize;
        pool * (100 - floor) / 100
    }
}
