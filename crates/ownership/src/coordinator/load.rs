//! Load reported by routers: overloaded servers, hot shards, and servers that routers can't reach.
//!
//! Invariant: reports only cause planned moves within the churn limits, and never a reassignment without
//! a release.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::{LoadReport, ServiceName, ShardId};

use super::step::Step;
use super::view::ServiceView;
use super::Coordinator;
use crate::state::{OwnershipState, ServerIndex, ServiceState};

/// Length of one window over which load is counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Time after a move until both windows in use started after it.
pub(super) const LOAD_STALE_FOR: Duration = Duration::from_secs(6);

/// Consecutive windows with too many failures after which a server counts as unreachable.
const FAILING_WINDOWS_UNTIL_UNREACHABLE: u32 = 2;

/// Fewest requests in a window for which the failure rate is significant.
const MINIMUM_SENT: u64 = 10;

/// Share of failed requests, in percent, from which a window counts as failing.
const UNREACHABLE_PERCENT: u64 = 90;

/// How long an unreachable server receives no shards.
const UNREACHABLE_FOR: Duration = Duration::from_secs(60);

/// At most one in this many servers of a service, but at least one, counts as unreachable at a time.
const UNREACHABLE_FRACTION: usize = 3;

/// Least busy time of a server in a window, in microseconds, for which its load is significant.
const MINIMUM_BUSY_US: u64 = 200_000;

/// Most shards counted in one window.
const MAX_SHARDS: usize = 16_384;

#[derive(Clone, Copy, Debug, Default)]
struct ServerCount {
    sent: u64,
    failed: u64,
    busy_us: u64,
}

/// Counts of one window.
#[derive(Debug, Default)]
struct Window {
    servers: BTreeMap<ServerIndex, ServerCount>,
    shards: BTreeMap<ServiceName, BTreeMap<ShardId, u64>>,
    shard_count: usize,
}

impl Window {
    fn busy_us(&self, server: ServerIndex) -> u64 {
        let count = self.servers.get(&server);
        count.map_or(0, |count| count.busy_us)
    }

    fn shard_busy_us(&self, service: &ServiceName, shard: ShardId) -> u64 {
        let shards = self.shards.get(service);
        let busy = shards.and_then(|shards| shards.get(&shard));
        busy.copied().unwrap_or(0)
    }
}

/// The current window and the two before. Only the load present in both earlier windows counts.
#[derive(Debug)]
pub(super) struct Load {
    ends: Duration,
    counting: Window,
    last: Window,
    before: Window,
    /// Number of consecutive windows with too many failures.
    failing: BTreeMap<ServerIndex, u32>,
}

impl Load {
    pub fn new(now: Duration) -> Self {
        Self {
            ends: now + WINDOW,
            counting: Window::default(),
            last: Window::default(),
            before: Window::default(),
            failing: BTreeMap::new(),
        }
    }

    pub fn ends(&self) -> Duration {
        self.ends
    }

    /// Adds a report to the current window. Unknown servers and shards are ignored.
    pub fn count(&mut self, state: &OwnershipState, report: &LoadReport) {
        let window = &mut self.counting;
        for load in &report.servers {
            let Some(server) = state.servers().find(&load.server) else {
                continue;
            };
            let count = window.servers.entry(server).or_default();
            count.sent = count.sent.saturating_add(load.sent);
            count.failed = count.failed.saturating_add(load.failed);
            count.busy_us = count.busy_us.saturating_add(load.busy_us);
        }
        for load in &report.shards {
            let known = state.owner(&load.service, load.shard).is_some();
            if window.shard_count >= MAX_SHARDS || !known {
                continue;
            }
            let shards = window.shards.entry(load.service.clone()).or_default();
            let busy = shards.entry(load.shard).or_insert_with(|| {
                window.shard_count += 1;
                0
            });
            *busy = busy.saturating_add(load.busy_us);
        }
    }

    /// Whether the load of a server exceeds its share by more than `percent`.
    pub fn is_uneven(&self, view: &ServiceView, percent: u32) -> bool {
        let settled = || view.servers.iter().filter(|server| server.settled);
        let busy: u64 = settled()
            .map(|server| self.server_busy_us(server.index))
            .sum();
        let weights: f64 = settled().map(|server| server.weight).sum();
        if weights <= 0.0 {
            return false;
        }
        let allowed = 1.0 + f64::from(percent) / 100.0;
        settled().any(|server| {
            let own = self.server_busy_us(server.index);
            let share = busy as f64 * server.weight / weights;
            own >= MINIMUM_BUSY_US && own as f64 > share * allowed
        })
    }

    /// Busy time of each shard. The part of a server's busy time that the routers did not attribute to
    /// shards is spread evenly over all its shards.
    pub fn of_shards(
        &self,
        state: &OwnershipState,
        name: &ServiceName,
        service: &ServiceState,
    ) -> Vec<f64> {
        let mut loads = vec![0.0; service.shards.len()];
        for &server in &service.servers {
            let owned = &state.servers().get(server).owned;
            let listed: u64 = owned
                .iter()
                .map(|&shard| self.shard_busy_us(name, shard))
                .sum();
            let total = self.server_busy_us(server);
            let rest = total.saturating_sub(listed) as f64 / owned.len().max(1) as f64;
            for &shard in owned {
                let own = self.shard_busy_us(name, shard) as f64;
                loads[shard.0 as usize] = own + rest;
            }
        }
        loads
    }

    /// Busy time of each server of a service; empty if no server reaches the significant minimum.
    pub fn of_servers(&self, view: &ServiceView) -> Vec<f64> {
        let servers = view.servers.iter();
        let busy: Vec<u64> = servers
            .map(|server| self.server_busy_us(server.index))
            .collect();
        if busy.iter().all(|&busy| busy < MINIMUM_BUSY_US) {
            return Vec::new();
        }
        busy.into_iter().map(|busy| busy as f64).collect()
    }

    fn server_busy_us(&self, server: ServerIndex) -> u64 {
        self.last.busy_us(server).min(self.before.busy_us(server))
    }

    fn shard_busy_us(&self, service: &ServiceName, shard: ShardId) -> u64 {
        let last = self.last.shard_busy_us(service, shard);
        last.min(self.before.shard_busy_us(service, shard))
    }

    /// Starts the next window if the current one has ended; returns whether it did.
    fn rotate(&mut self, now: Duration) -> bool {
        if now < self.ends {
            return false;
        }
        self.ends = now + WINDOW;
        let counted = std::mem::take(&mut self.counting);
        self.before = std::mem::replace(&mut self.last, counted);
        let failing = |server: &ServerIndex| {
            let count = self.last.servers.get(server).copied().unwrap_or_default();
            count.sent >= MINIMUM_SENT && count.failed * 100 >= count.sent * UNREACHABLE_PERCENT
        };
        self.failing.retain(|server, _| failing(server));
        for server in self.last.servers.keys().filter(|server| failing(server)) {
            *self.failing.entry(*server).or_default() += 1;
        }
        true
    }
}

impl Coordinator {
    /// Evaluates the counts at the end of a window.
    pub(super) fn rotate_load_window(&mut self, step: &Step<'_>) {
        if !self.load.rotate(step.now) {
            return;
        }
        for service in step.state.services().values() {
            self.mark_unreachable(step.now, service);
        }
        self.supervise_soon(step.now);
    }

    fn mark_unreachable(&mut self, now: Duration, service: &ServiceState) {
        if self.load.failing.is_empty() {
            return;
        }
        let marked = service.servers.iter().filter(|server| {
            let link = self.links.get(server);
            link.is_some_and(|link| link.unreachable_until > now)
        });
        let limit = (service.servers.len() / UNREACHABLE_FRACTION).max(1);
        let mut remaining = limit.saturating_sub(marked.count());
        for server in &service.servers {
            let streak = self.load.failing.get(server).copied().unwrap_or(0);
            let Some(link) = self.links.get_mut(server) else {
                continue;
            };
            let is_marked = link.unreachable_until > now;
            if streak < FAILING_WINDOWS_UNTIL_UNREACHABLE || (remaining == 0 && !is_marked) {
                continue;
            }
            if !is_marked {
                remaining -= 1;
            }
            link.unreachable_until = now + UNREACHABLE_FOR;
        }
    }
}
