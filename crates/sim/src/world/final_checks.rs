//! Checks at the end of a run: the system has recovered, and the logs on the disks agree.

use std::collections::BTreeMap;

use grebepin_ownership::{Outcome as CommandOutcome, OwnershipState};
use grebepin_schema::framing::decode;
use grebepin_schema::{
    AssignmentRecord, Command, Entry, EntryPayload, Epoch, HistoryEvent, LogIndex, ReplicaId,
    ServerName, ShardId, Term,
};
use grebepin_storage::{Crash, Opened, ReplicaStorage};

use super::controls::{service_name, GROUP};
use super::World;
use crate::clock::Instant;
use crate::deployment::{server_name, CONTROLS, SERVERS, SHARDS};
use crate::process::Process;

/// Minimum number of requests to a shard in the final period from which on at least one must be answered.
/// A planned move waits for the longest running request of the shard, so that not every request can succeed.
const MIN_REQUESTS_PER_SHARD: u64 = 4;

/// Checks for recovery at the end of a run before it ends as not recovered. At any one check a shard may be
/// moving to another owner.
const MAX_END_CHECKS: u32 = 4;

/// A failure that no promise of the checkers covers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    /// Time since the start of the run, in microseconds.
    pub at_us: Instant,
    /// Kind of failure, one of a fixed set of words.
    pub kind: &'static str,
    /// Description in English.
    pub explanation: String,
}

impl Finding {
    /// Two replicas held a leader lease at the same time.
    pub const TWO_LEADERS: &'static str = "two-leaders";
    /// The system had not recovered at the end of the run.
    pub const NOT_RECOVERED: &'static str = "not-recovered";
    /// A leader committed an entry that a majority of its voters does not have.
    pub const COMMITTED_WITHOUT_MAJORITY: &'static str = "committed-without-majority";
    /// Two replicas committed different entries at one index.
    pub const LOGS_DIFFER: &'static str = "logs-differ";

    pub(super) fn new(at_us: Instant, kind: &'static str, explanation: String) -> Self {
        Self {
            at_us,
            kind,
            explanation,
        }
    }
}

/// Log on a replica's disk at the end of a run.
struct FinalLog {
    replica: ReplicaId,
    commit: LogIndex,
    after_snapshot: bool,
    entries: Vec<Entry>,
}

impl World {
    pub(super) fn check_final_state(&mut self) {
        for server in 0..SERVERS {
            self.flush_server(server);
        }
        for problem in self.owner_problems() {
            self.not_recovered(problem);
        }
        self.check_unfinished_jobs();
        self.check_final_requests();
        let logs: Vec<FinalLog> = (0..CONTROLS)
            .filter_map(|number| self.final_log(number))
            .collect();
        self.compare_logs(&logs);
        if let Some(latest) = logs.iter().max_by_key(|log| log.commit) {
            self.replay(latest);
        }
    }

    fn not_recovered(&mut self, explanation: String) {
        let finding = Finding::new(self.now, Finding::NOT_RECOVERED, explanation);
        self.findings.push(finding);
    }

    /// Whether the run may end: the system has recovered, or [`MAX_END_CHECKS`] checks are done.
    pub(super) fn is_end_reached(&mut self) -> bool {
        self.end_checks += 1;
        self.end_checks >= MAX_END_CHECKS || self.owner_problems().is_empty()
    }

    /// Lists shards that their owners do not hold and routers without the current table; empty after recovery.
    fn owner_problems(&self) -> Vec<String> {
        let leader = self
            .leader()
            .and_then(|leader| self.controls[leader].node.as_ref());
        let Some(node) = leader else {
            return vec!["no control replica serves as leader".to_string()];
        };
        let table = node.state().table();
        let mut problems = Vec::new();
        let mut held = 0;
        for service in &table.table.services {
            for (shard, owner) in service.owners.iter().enumerate() {
                let place = owner.server.map(|place| place as usize);
                let server = place.and_then(|place| service.service.servers.get(place));
                let shard = ShardId(shard as u32);
                let holds =
                    server.is_some_and(|server| self.holds(&server.name, shard, owner.epoch));
                held += u32::from(holds);
            }
        }
        if held != SHARDS {
            problems.push(format!(
                "{held} of {SHARDS} shards are held by their owners"
            ));
        }
        for (number, router) in self.routers.iter().enumerate() {
            let index = router.table_index();
            if index != table.index {
                let name = Process::Router(number).name();
                problems.push(format!(
                    "{name} has the table of index {index}, not {}",
                    table.index
                ));
            }
        }
        problems
    }

    fn holds(&self, server: &ServerName, shard: ShardId, epoch: Epoch) -> bool {
        let Some(number) = (0..SERVERS).find(|number| server_name(*number) == *server) else {
            return false;
        };
        let key = grebepin_schema::ShardKey {
            service: service_name(),
            shard,
        };
        self.servers[number].held_epoch(&key) == epoch
    }

    fn check_unfinished_jobs(&mut self) {
        let unfinished = self.operators.unfinished();
        if unfinished > 0 {
            self.not_recovered(format!("{unfinished} requests of operators have no answer"));
        }
    }

    /// Reports shards without any answered request in the final period.
    fn check_final_requests(&mut self) {
        let last = self.callers.final_requests().iter();
        let unanswered =
            last.filter(|(_, (sent, answered))| *sent >= MIN_REQUESTS_PER_SHARD && *answered == 0);
        let unanswered: Vec<(ShardId, u64)> = unanswered
            .map(|(shard, (sent, _))| (*shard, *sent))
            .collect();
        for (shard, sent) in unanswered {
            self.not_recovered(format!(
                "none of the last {sent} requests to shard {shard} was answered"
            ));
        }
    }

    fn final_log(&mut self, number: usize) -> Option<FinalLog> {
        let commit = self.controls[number].node.as_ref()?.consensus().commit();
        let disk = self.controls[number].disk.clone();
        disk.crash(Crash::KeepAll);
        match ReplicaStorage::open(disk) {
            Ok(Opened::Present {
                identity, restored, ..
            }) => Some(FinalLog {
                replica: identity.replica,
                commit,
                after_snapshot: restored
                    .snapshot
                    .is_some_and(|(meta, _)| meta.index > LogIndex(1)),
                entries: restored.entries,
            }),
            Ok(Opened::Empty(_)) => None,
            Err(error) => {
                let explanation = format!("the disk of control-{} is damaged: {error}", number + 1);
                self.findings
                    .push(Finding::new(self.now, "disk", explanation));
                None
            }
        }
    }

    /// Reports committed entries whose terms differ between replicas at the same index.
    fn compare_logs(&mut self, logs: &[FinalLog]) {
        let mut known: BTreeMap<LogIndex, (Term, ReplicaId)> = BTreeMap::new();
        for log in logs {
            for entry in log.entries.iter().filter(|entry| entry.index <= log.commit) {
                let (term, replica) = *known
                    .entry(entry.index)
                    .or_insert((entry.term, log.replica));
                if term != entry.term {
                    let explanation = format!(
                        "replicas {replica} and {} committed different entries at {}",
                        log.replica, entry.index
                    );
                    let finding = Finding::new(self.now, Finding::LOGS_DIFFER, explanation);
                    self.findings.push(finding);
                    return;
                }
            }
        }
    }

    /// Applies a log to an empty state and records each assignment with the epoch that it replaced. A log that
    /// starts after a snapshot is skipped.
    fn replay(&mut self, log: &FinalLog) {
        if log.after_snapshot {
            return;
        }
        let mut state = OwnershipState::new(GROUP);
        let mut epochs: BTreeMap<ShardId, Epoch> = BTreeMap::new();
        for entry in log.entries.iter().filter(|entry| entry.index <= log.commit) {
            let EntryPayload::Command(bytes) = &entry.payload else {
                continue;
            };
            let Ok(command) = decode::<Command>(&bytes.0) else {
                continue;
            };
            let applied = state.apply(entry.index, &command);
            if let CommandOutcome::Assigned(assigned) = applied.outcome {
                for one in assigned.accepted {
                    let previous = epochs.insert(one.shard, one.epoch).unwrap_or(Epoch(0));
                    self.record(HistoryEvent::Believed(AssignmentRecord {
                        service: one.service,
                        shard: one.shard,
                        epoch: one.epoch,
                        replica: log.replica,
                        server: one.server,
                        previous: Some(previous),
                    }));
                }
            } else {
                // A restart of a server assigns new epochs to its shards.
                for (shard, epoch) in current_epochs(&state) {
                    epochs.insert(shard, epoch);
                }
            }
        }
    }
}

fn current_epochs(state: &OwnershipState) -> Vec<(ShardId, Epoch)> {
    let table = state.table();
    let services = table.table.services.iter();
    services
        .flat_map(|service| service.owners.iter().enumerate())
        .map(|(shard, owner)| (ShardId(shard as u32), owner.epoch))
        .collect()
}
