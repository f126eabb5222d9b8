//! What this gateway's own connections show of its paths to servers.
//!
//! One server that can't be reached tells nothing about the reason: the server may have failed, or the path to it.
//! When several servers fail and none was heard since the first of them, the paths of this gateway are lost, and other
//! gateways may still reach the servers. This is judged for each service and for all servers together.
//!
//! Invariant: a failure counts only if it began after the last bytes from any server of the group, so that servers
//! which crash or are overloaded one by one are not mistaken for lost paths.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};

use crate::backoff::exponential_delay;

/// Servers that must fail without any being heard until paths count as lost. Two may fail together by chance or on
/// one machine.
const MIN_FAILING: usize = 3;

/// Servers that must be heard until the paths count as restored.
const MIN_RESTORED: usize = 2;

/// Shortest and longest time between two probes of a server that can't be reached.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a server that refuses a connection no longer counts as heard.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// Probes begun at a time. It limits the connections that all gateways open at once when a partition ends.
const MAX_PROBES: usize = 2;

/// How an attempt to connect to a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// There was no response in time: connections that are open are most likely interrupted as well.
    TimedOut,
    /// It was refused or reset; connections that are open may still work.
    Refused,
}

/// What no longer works on a group of paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No bytes arrive.
    All,
    /// No connection can be established; open ones may still work.
    NewConnections,
}

/// Change of a group of paths that a failure or received bytes caused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathChange {
    /// Service of the servers; `None` for all.
    pub service: Option<String>,
    /// What no longer worked, or works again.
    pub loss: Loss,
    /// Time after which the paths are restored; `None` if they were lost.
    pub restored_after: Option<Duration>,
}

/// Detects that a group of servers no longer succeeds at one thing: to send bytes, or to establish connections.
#[derive(Debug, Default)]
struct Detector {
    /// When any of its servers last succeeded.
    succeeded_at: Duration,
    /// Servers that failed since then.
    failing: BTreeSet<InstanceId>,
    /// Time of the last success before the paths were lost.
    lost_since: Option<Duration>,
    /// Servers that succeeded since the paths were lost.
    restored: BTreeSet<InstanceId>,
}

impl Detector {
    /// Records a success; returns since when the paths were lost if they are restored by it.
    fn succeeded(&mut self, id: &InstanceId, now: Duration) -> Option<Duration> {
        self.succeeded_at = now;
        self.failing.clear();
        self.lost_since?;
        self.restored.insert(id.clone());
        if self.restored.len() < MIN_RESTORED {
            return None;
        }
        self.restored.clear();
        self.lost_since.take()
    }

    /// Records a failure that began at `began`; returns whether the paths are lost by it.
    fn failed(&mut self, id: &InstanceId, began: Duration) -> bool {
        if self.lost_since.is_some() || began <= self.succeeded_at {
            return false;
        }
        self.failing.insert(id.clone());
        if self.failing.len() < MIN_FAILING {
            return false;
        }
        self.failing.clear();
        self.restored.clear();
        self.lost_since = Some(self.succeeded_at);
        true
    }
}

/// A group of paths: those to one service, or all.
#[derive(Debug, Default)]
struct Group {
    bytes: Detector,
    connections: Detector,
}

impl Group {
    fn detector(&mut self, loss: Loss) -> &mut Detector {
        match loss {
            Loss::All => &mut self.bytes,
            Loss::NewConnections => &mut self.connections,
        }
    }

    fn is_lost(&self) -> bool {
        self.bytes.lost_since.is_some() || self.connections.lost_since.is_some()
    }
}

/// The path to one server.
#[derive(Debug, Default)]
struct Path {
    received_at: Duration,
    /// When a connection was last established.
    connected_at: Duration,
    /// Attempts to connect that failed in a row.
    connect_failures: u32,
    /// Start of the last of them.
    failed_since: Duration,
    /// Start of an attempt to connect that timed out.
    timed_out_since: Option<Duration>,
    probe_at: Duration,
}

impl Path {
    /// Whether attempts to connect fail and the server was not heard shortly before. A server that answers on open
    /// connections and refuses new ones is itself at its limit.
    fn fails_silently(&self) -> bool {
        let heard_lately = self.received_at + MAX_SILENCE > self.failed_since;
        self.connect_failures > 0 && !heard_lately
    }
}

/// Paths of this gateway to the servers.
#[derive(Debug, Default)]
pub struct Reachability {
    all: Group,
    services: HashMap<String, Group>,
    paths: HashMap<InstanceId, Path>,
}

impl Reachability {
    /// Records that bytes of a server arrived.
    pub fn received(&mut self, id: &InstanceId, service: &str, now: Duration) -> Vec<PathChange> {
        self.path(id).received_at = now;
        self.succeeded(id, service, Loss::All, now)
    }

    /// Records that a connection to a server was established.
    pub fn connected(&mut self, id: &InstanceId, service: &str, now: Duration) -> Vec<PathChange> {
        let path = self.path(id);
        path.connect_failures = 0;
        path.connected_at = now;
        path.timed_out_since = None;
        let mut changes = self.received(id, service, now);
        changes.extend(self.succeeded(id, service, Loss::NewConnections, now));
        changes
    }

    /// Records that an attempt to connect, begun at `began`, failed.
    pub fn connect_failed(
        &mut self,
        id: &InstanceId,
        service: &str,
        failure: ConnectFailure,
        began: Duration,
        now: Duration,
    ) -> Vec<PathChange> {
        let path = self.path(id);
        let exponent = path.connect_failures.min(8);
        let interval = exponential_delay(MIN_PROBE_INTERVAL, exponent, MAX_PROBE_INTERVAL);
        path.connect_failures += 1;
        path.failed_since = began;
        path.probe_at = now + interval;
        if failure == ConnectFailure::TimedOut {
            path.timed_out_since.get_or_insert(began);
        }
        let mut changes = self.failed(id, service, Loss::All, began);
        changes.extend(self.failed(id, service, Loss::NewConnections, began));
        changes
    }

    /// Records that a request, sent to a server at `sent_at`, has been without an answer for too long.
    pub fn unanswered(
        &mut self,
        id: &InstanceId,
        service: &str,
        sent_at: Duration,
    ) -> Vec<PathChange> {
        self.failed(id, service, Loss::All, sent_at)
    }

    fn succeeded(
        &mut self,
        id: &InstanceId,
        service: &str,
        loss: Loss,
        now: Duration,
    ) -> Vec<PathChange> {
        let of_all = self.all.detector(loss).succeeded(id, now);
        let of_service = self.group(service).detector(loss).succeeded(id, now);
        let lost = [(None, of_all), (Some(service.to_owned()), of_service)].into_iter();
        lost.filter_map(|(service, since)| {
            Some(PathChange {
                service,
                loss,
                restored_after: Some(now.saturating_sub(since?)),
            })
        })
        .collect()
    }

    fn failed(
        &mut self,
        id: &InstanceId,
        service: &str,
        loss: Loss,
        began: Duration,
    ) -> Vec<PathChange> {
        let of_all = self.all.detector(loss).failed(id, began);
        let of_service = self.group(service).detector(loss).failed(id, began);
        let lost = [(None, of_all), (Some(service.to_owned()), of_service)].into_iter();
        lost.filter(|(_, is_lost)| *is_lost)
            .map(|(service, _)| PathChange {
                service,
                loss,
                restored_after: None,
            })
            .collect()
    }

    /// Whether open connections to a server most likely work.
    pub fn is_open(&self, id: &InstanceId, service: &str) -> bool {
        let path = self.paths.get(id);
        let timed_out = path.and_then(|path| path.timed_out_since);
        let Some(doubted_since) = self.silent_since(service).max(timed_out) else {
            return true;
        };
        path.is_some_and(|path| path.received_at > doubted_since)
    }

    /// Whether a new connection to a server can most likely be established.
    pub fn may_connect(&self, id: &InstanceId, service: &str) -> bool {
        let group = self.services.get(service);
        let group = group.and_then(|one| one.connections.lost_since);
        let path = self.paths.get(id);
        let has_failed = path.is_some_and(|path| path.connect_failures > 0);
        let lost = self.all.connections.lost_since.max(group);
        let connected_since =
            |lost: Duration| path.is_some_and(|path| !has_failed && path.connected_at > lost);
        !path.is_some_and(Path::fails_silently)
            && self.is_open(id, service)
            && lost.is_none_or(connected_since)
    }

    /// Whether any server of a service was heard after `since`.
    pub fn is_service_heard_since(&self, service: &str, since: Duration) -> bool {
        let group = self.services.get(service);
        group.is_some_and(|group| group.bytes.succeeded_at > since)
    }

    /// Whether connections to a service's servers can't be established, or nothing arrives on any.
    pub fn is_lost(&self, service: &str) -> bool {
        let group = self.services.get(service);
        self.all.is_lost() || group.is_some_and(Group::is_lost)
    }

    /// Time of the last bytes before the paths to a service's servers were lost; `None` while bytes arrive.
    pub fn silent_since(&self, service: &str) -> Option<Duration> {
        let group = self.services.get(service);
        let group = group.and_then(|one| one.bytes.lost_since);
        self.all.bytes.lost_since.max(group)
    }

    /// Whether the paths to all servers are lost.
    pub fn is_cut_off(&self) -> bool {
        self.all.bytes.lost_since.is_some()
    }

    /// Number of servers to which no connection could be established lately.
    pub fn unreachable(&self) -> usize {
        let paths = self.paths.values();
        paths.filter(|path| path.connect_failures > 0).count()
    }

    /// Time since any server was heard; `None` before the first.
    pub fn silence(&self, now: Duration) -> Option<Duration> {
        let received_at = self.all.bytes.succeeded_at;
        (!received_at.is_zero()).then(|| now.saturating_sub(received_at))
    }

    /// Whether any server may be unreachable.
    pub fn is_in_doubt(&self) -> bool {
        let mut paths = self.paths.values();
        self.all.is_lost()
            || self.services.values().any(Group::is_lost)
            || paths.any(|path| path.connect_failures > 0)
    }

    /// Servers to probe now, the longest waiting first. Each counts as probed.
    pub fn due_probes<'a>(
        &mut self,
        now: Duration,
        servers: impl Iterator<Item = &'a Instance>,
    ) -> Vec<Instance> {
        if !self.is_in_doubt() {
            return Vec::new();
        }
        let probe_at = |id: &InstanceId| {
            self.paths
                .get(id)
                .map_or(Duration::ZERO, |path| path.probe_at)
        };
        let has_failed = |id: &InstanceId| {
            self.paths
                .get(id)
                .is_some_and(|path| path.connect_failures > 0)
        };
        let in_doubt =
            servers.filter(|one| has_failed(&one.id) || !self.may_connect(&one.id, &one.service));
        let mut due: Vec<(Duration, &Instance)> = in_doubt
            .map(|one| (probe_at(&one.id), one))
            .filter(|(at, _)| now >= *at)
            .collect();
        due.sort_by(|left, right| {
            left.0
                .cmp(&right.0)
                .then_with(|| left.1.id.cmp(&right.1.id))
        });
        due.truncate(MAX_PROBES);
        let due: Vec<Instance> = due.into_iter().map(|(_, one)| one.clone()).collect();
        for one in &due {
            self.path(&one.id).probe_at = now + MAX_PROBE_INTERVAL;
        }
        due
    }

    /// Drops what is known of servers that are not live.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.paths.retain(|id, _| is_live(id));
    }

    fn path(&mut self, id: &InstanceId) -> &mut Path {
        if !self.paths.contains_key(id) {
            self.paths.insert(id.clone(), Path::default());
        }
        self.paths.get_mut(id).expect("just inserted")
    }

    fn group(&mut self, service: &str) -> &mut Group {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Group::default());
        }
        self.services.get_mut(service).expect("just inserted")
    }
}
