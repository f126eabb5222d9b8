//! Ejection of repeatedly failing servers.
//!
//! Invariant: at most the configured fraction of a service's servers is ejected at once, so errors or
//! false reports cannot empty a pool. A key has exactly one owner, so no other server can take over its
//! requests: while the owner is ejected they are refused at once with a retry delay, instead of each
//! waiting for a timeout, until a probe succeeds. Only failures seen by this router count.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::ServerName;

/// Thresholds and delays of ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionConfig {
    /// Number of consecutive failures that ejects a server.
    pub failure_threshold: u32,
    /// Time from the ejection to the first probe.
    pub first_pause: Duration,
    /// Maximum time between two probes; the time doubles after each failed probe.
    pub max_pause: Duration,
    /// Percentage of the service's servers that always stays available.
    pub min_available_percent: u32,
}

impl Default for EjectionConfig {
    fn default() -> Self {
        Self {
            failure_threshold: 5,
            first_pause: Duration::from_millis(200),
            max_pause: Duration::from_millis(500),
            min_available_percent: 50,
        }
    }
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The server is not ejected.
    Allow,
    /// The server is ejected; this request probes whether it answers again.
    Probe,
    /// The server is ejected; the request is refused without a send.
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

/// Failure counts and ejections of one service's servers at one router.
#[derive(Clone, Debug)]
pub struct Ejection {
    config: EjectionConfig,
    servers: BTreeMap<ServerName, Health>,
}

impl Ejection {
    /// Creates the state with no failures and no ejected server.
    pub fn new(config: EjectionConfig) -> Self {
        Self {
            config,
            servers: BTreeMap::new(),
        }
    }

    /// Whether a request may be sent to `server`. [`Verdict::Probe`] postpones the next probe, so that
    /// only one request at a time probes.
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

    /// Records an answer or a typed refusal; true if this ends an ejection.
    pub fn record_success(&mut self, server: &ServerName) -> bool {
        let Some(health) = self.servers.get_mut(server) else {
            return false;
        };
        let ended = health.ejected.is_some();
        *health = Health::default();
        ended
    }

    /// Records a request without a complete answer; `pool_size` is the number of the service's servers.
    /// True if this ejects the server.
    pub fn record_failure(&mut self, server: &ServerName, now: Duration, pool_size: usize) -> bool {
        let may_eject = self.ejected_count() < self.max_ejected(pool_size);
        let config = self.config;
        let health = self.servers.entry(server.clone()).or_default();
        health.failures = health.failures.saturating_add(1);
        match &mut health.ejected {
            Some(ejected) => {
                ejected.pause = (ejected.pause * 2).min(config.max_pause);
                ejected.until = now + ejected.pause;
                false
            }
            None if health.failures >= config.failure_threshold && may_eject => {
                health.ejected = Some(Ejected {
                    until: now + config.first_pause,
                    pause: config.first_pause,
                });
                true
            }
            None => false,
        }
    }

    /// Drops the state of servers that are no longer part of the service.
    pub fn retain(&mut self, known: impl Fn(&ServerName) -> bool) {
        self.servers.retain(|server, _| known(server));
    }

    /// Number of ejected servers.
    pub fn ejected_count(&self) -> usize {
        self.servers
            .values()
            .filter(|health| health.ejected.is_some())
            .count()
    }

    fn max_ejected(&self, pool_size: usize) -> usize {
        let min_available = self.config.min_available_percent.min(100) as usize;
        pool_size * (100 - min_available) / 100
    }
}
