//! What this gateway's own connections show of its paths to servers.
//!
//! One server that can't be reached tells nothing about the reason: the server may have failed, or the path to it.
//! When several servers fail and none was heard since the first of them, the paths of this gateway are lost, and other
//! gateways may still reach the servers. This is judged for each service and for all servers together. A gateway with
//! few requests hears servers rarely, so that a few failures or slow answers in a row are suspicious only; probes of
//! further servers then confirm or refute it.
//!
//! Invariant: a failure counts only if it began after the last bytes from any server of the group, so that servers
//! which crash or are overloaded one by one are not mistaken for lost paths.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::backoff::exponential_delay;

/// Servers that must fail without any being heard until paths count as lost, if the group has that many. When a fifth
/// of all servers crash at once, six in a row fail by chance once in 15,000 times.
pub const MAX_REQUIRED_FAILURES: usize = 6;

/// The same for small groups. Two servers may fail together on one machine.
const MIN_REQUIRED_FAILURES: usize = 3;

/// Servers that must be heard until the paths count as restored.
const MIN_RESTORED: usize = 2;

/// Shortest and longest time between two probes of a server that can't be reached.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a server that refuses a connection no longer counts as heard.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// Probes begun at a time. It limits the connections that all gateways open at once when a partition ends.
const MAX_PROBES: usize = 2;

/// The same while paths are suspected to be lost, which probes of other servers decide.
const MAX_SUSPICION_PROBES: usize = MAX_REQUIRED_FAILURES;

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
    /// No bytes arrive from any server.
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

/// Numbers of servers that can be reached as far as the directory knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers of the service.
    pub of_service: usize,
    /// Servers of all services.
    pub all: usize,
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
    /// When the paths were last restored.
    restored_at: Duration,
    /// Whether a request sent after the last success has been without an answer for long.
    is_unanswered: bool,
}

impl Detector {
    /// Records a success; returns since when the paths were lost if they are restored by it.
    fn succeeded(&mut self, id: &InstanceId, now: Duration) -> Option<Duration> {
        self.succeeded_at = now;
        self.failing.clear();
        self.is_unanswered = false;
        self.lost_since?;
        self.restored.insert(id.clone());
        if self.restored.len() < MIN_RESTORED {
            return None;
        }
        self.restored.clear();
        self.restored_at = now;
        self.lost_since.take()
    }

    /// Records a failure at one of `servers` servers that began at `began`; returns whether the paths are lost by it.
    fn failed(&mut self, id: &InstanceId, began: Duration, servers: usize) -> bool {
        if self.lost_since.is_some() || began <= self.succeeded_at {
            return false;
        }
        self.failing.insert(id.clone());
        let required = servers.clamp(MIN_REQUIRED_FAILURES, MAX_REQUIRED_FAILURES);
        if self.failing.len() < required {
            return false;
        }
        self.failing.clear();
        self.restored.clear();
        self.lost_since = Some(self.succeeded_at);
        true
    }

    /// Records a request that was sent at `sent_at` and has been without an answer for long.
    fn unanswered(&mut self, sent_at: Duration) {
        self.is_unanswered |= sent_at > self.succeeded_at;
    }

    /// Whether further servers should be probed to find out whether the paths are lost.
    fn is_suspected(&self) -> bool {
        let is_suspicious = self.is_unanswered || !self.failing.is_empty();
        is_suspicious && self.lost_since.is_none()
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

    /// When the paths were last restored. Earlier failures were most likely theirs.
    fn restored_at(&self) -> Duration {
        self.bytes.restored_at.max(self.connections.restored_at)
    }

    fn is_lost(&self) -> bool {
        self.bytes.lost_since.is_some() || self.connections.lost_since.is_some()
    }

    fn is_suspected(&self) -> bool {
        self.bytes.is_suspected() || self.connections.is_suspected()
    }
}

/// The path to one server.
#[derive(Debug, Default)]
struct Path {
    /// When bytes of the server last arrived, or a connection was established.
    received_at: Duration,
    /// When a connection was last established.
    connected_at: Duration,
    /// Attempts to connect that failed in a row.
    connect_failures: u32,
    /// Start of the last of them.
    failed_since: Duration,
    /// Start of an attempt to connect that timed out.
    timed_out_since: Option<Duration>,
    /// When the server may be probed again.
    probe_at: Duration,
}

impl Path {
    /// Whether attempts to connect fail that began after `restored_at`, and the server was not heard shortly before.
    /// A server that answers on open connections and refuses new ones is itself at its limit.
    fn fails_silently(&self, restored_at: Duration) -> bool {
        let heard_lately = self.received_at + MAX_SILENCE > self.failed_since;
        self.connect_failures > 0 && self.failed_since > restored_at && !heard_lately
    }
}

/// Paths of this gateway to the servers.
#[derive(Debug)]
pub struct Reachability {
    /// Seed of the order in which this gateway probes servers, so that gateways probe different ones.
    seed: u64,
    all: Group,
    services: HashMap<String, Group>,
    paths: HashMap<InstanceId, Path>,
    /// Servers to which the last attempt to connect failed.
    failing: BTreeSet<InstanceId>,
}

impl Reachability {
    /// Starts without any knowledge. `node` is the name of this gateway's machine.
    pub fn new(node: &str) -> Self {
        Self {
            seed: xxh3_64(node.as_bytes()),
            all: Group::default(),
            services: HashMap::new(),
            paths: HashMap::new(),
            failing: BTreeSet::new(),
        }
    }

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
        self.failing.remove(id);
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
        servers: ServerCounts,
    ) -> Vec<PathChange> {
        let path = self.path(id);
        let exponent = path.connect_failures.min(8);
        let interval = exponential_delay(MIN_PROBE_INTERVAL, exponent, MAX_PROBE_INTERVAL);
        path.connect_failures += 1;
        path.failed_since = began;
        path.probe_at = now + interval;
        if failure == ConnectFailure::TimedOut {
            path.timed_out_since = Some(began);
        }
        self.failing.insert(id.clone());
        let mut changes = self.failed(id, service, Loss::All, began, servers);
        changes.extend(self.failed(id, service, Loss::NewConnections, began, servers));
        changes
    }

    /// Records that a request to a service, sent at `sent_at`, has been without an answer for long.
    pub fn unanswered(&mut self, service: &str, sent_at: Duration) {
        self.all.bytes.unanswered(sent_at);
        self.group(service).bytes.unanswered(sent_at);
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
        let lost = [(None, of_all), (Some(service), of_service)].into_iter();
        lost.filter_map(|(service, since)| {
            let restored_after = Some(now.saturating_sub(since?));
            Some(PathChange {
                service: service.map(str::to_owned),
                loss,
                restored_after,
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
        servers: ServerCounts,
    ) -> Vec<PathChange> {
        let of_all = self.all.detector(loss).failed(id, began, servers.all);
        let group = self.group(service).detector(loss);
        let of_service = group.failed(id, began, servers.of_service);
        let lost = [(None, of_all), (Some(service), of_service)].into_iter();
        lost.filter(|(_, is_lost)| *is_lost)
            .map(|(service, _)| PathChange {
                service: service.map(str::to_owned),
                loss,
                restored_after: None,
            })
            .collect()
    }

    /// Whether open connections to a server most likely work.
    pub fn is_open(&self, id: &InstanceId, service: &str) -> bool {
        let path = self.paths.get(id);
        let timed_out = path.and_then(|path| path.timed_out_since);
        let restored_at = self.restored_at(service);
        let timed_out = timed_out.filter(|since| *since > restored_at);
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
        let restored_at = self.restored_at(service);
        !path.is_some_and(|path| path.fails_silently(restored_at))
            && self.is_open(id, service)
            && lost.is_none_or(connected_since)
    }

    fn restored_at(&self, service: &str) -> Duration {
        let group = self.services.get(service);
        let of_service = group.map_or(Duration::ZERO, Group::restored_at);
        self.all.restored_at().max(of_service)
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
        self.failing.len()
    }

    /// Time since any server was heard; `None` before the first.
    pub fn silence(&self, now: Duration) -> Option<Duration> {
        let received_at = self.all.bytes.succeeded_at;
        (!received_at.is_zero()).then(|| now.saturating_sub(received_at))
    }

    /// Whether bytes of a server arrived after `since`.
    pub fn is_heard_since(&self, id: &InstanceId, since: Duration) -> bool {
        let path = self.paths.get(id);
        path.is_some_and(|path| path.received_at > since)
    }

    /// Whether any server may be unreachable.
    pub fn is_in_doubt(&self) -> bool {
        let mut groups = self.services.values().chain([&self.all]);
        let is_doubtful = |group: &Group| group.is_lost() || group.is_suspected();
        !self.failing.is_empty() || groups.any(is_doubtful)
    }

    /// Whether a probe of a server would show whether it, or the paths to it and others, work.
    fn wants_probe(&self, server: &Instance) -> bool {
        let group = self.services.get(&server.service);
        self.all.is_suspected()
            || group.is_some_and(Group::is_suspected)
            || self.failing.contains(&server.id)
            || !self.may_connect(&server.id, &server.service)
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
        let is_suspected =
            self.all.is_suspected() || self.services.values().any(Group::is_suspected);
        let limit = match is_suspected {
            true => MAX_SUSPICION_PROBES,
            false => MAX_PROBES,
        };
        let due = servers.filter_map(|one| {
            let path = self.paths.get(&one.id);
            let probe_at = path.map_or(Duration::ZERO, |path| path.probe_at);
            let is_due = now >= probe_at && self.wants_probe(one);
            let order = xxh3_64_with_seed(one.id.name().as_bytes(), self.seed);
            is_due.then_some((probe_at, order, one))
        });
        let mut due: Vec<(Duration, u64, &Instance)> = due.collect();
        due.sort_by_key(|(probe_at, order, _)| (*probe_at, *order));
        due.truncate(limit);
        let due: Vec<Instance> = due.into_iter().map(|(_, _, one)| one.clone()).collect();
        for one in &due {
            self.path(&one.id).probe_at = now + MAX_PROBE_INTERVAL;
        }
        due
    }

    /// Drops what is known of servers that are not live.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.paths.retain(|id, _| is_live(id));
        self.failing.retain(|id| is_live(id));
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
