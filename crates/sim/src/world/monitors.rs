//! Observes control replicas: acknowledgements, ownership tables, leader leases and commits.
//!
//! Invariant: the product's state is only read, never changed.

use grebepin_consensus::Role;
use grebepin_control::ControlNode;
use grebepin_schema::{
    AssignmentRecord, Epoch, GrantRequest, HistoryEvent, LogIndex, MemberRole, ReplicaId,
    ServerName, ServiceName, ShardId, SocketAddress,
};

use super::final_checks::Finding;
use super::World;
use crate::clock::Instant;
use crate::deployment::{self, CONTROLS};
use crate::process::{Condition, Process};

impl World {
    /// Records the assignments that a sent grant acknowledges, each only once.
    pub(super) fn record_acknowledgements(
        &mut self,
        number: usize,
        address: &SocketAddress,
        request: &GrantRequest,
    ) {
        let Some(Process::Server(server)) = deployment::process_at(address) else {
            return;
        };
        let server = deployment::server_name(server);
        for grant in &request.grants {
            if self
                .recorder
                .first_acknowledged(&grant.service, grant.shard, grant.epoch)
            {
                let owner = Some(server.clone());
                let record =
                    self.assignment(number, &grant.service, grant.shard, grant.epoch, owner);
                self.record(HistoryEvent::Acknowledged(record));
            }
        }
    }

    pub(super) fn assignment(
        &self,
        number: usize,
        service: &ServiceName,
        shard: ShardId,
        epoch: Epoch,
        server: Option<ServerName>,
    ) -> AssignmentRecord {
        let node = self.controls[number].node.as_ref();
        AssignmentRecord {
            service: service.clone(),
            shard,
            epoch,
            replica: node.map_or(ReplicaId(0), ControlNode::replica),
            server,
            previous: None,
        }
    }

    /// Records changed owners in a replica's table.
    pub(super) fn record_table_changes(&mut self, number: usize) {
        let Some(node) = self.controls[number].node.as_ref() else {
            return;
        };
        if node.state().table_index() == self.controls[number].recorded_index {
            return;
        }
        let table = node.state().table();
        let mut changed = Vec::new();
        for service in &table.table.services {
            for (shard, owner) in service.owners.iter().enumerate() {
                let key = (service.service.name.clone(), ShardId(shard as u32));
                let known = self.controls[number]
                    .recorded_epochs
                    .insert(key.clone(), owner.epoch);
                if known != Some(owner.epoch) {
                    let place = owner.server.map(|place| place as usize);
                    let server = place.and_then(|place| service.service.servers.get(place));
                    changed.push((key, owner.epoch, server.map(|server| server.name.clone())));
                }
            }
        }
        self.controls[number].recorded_index = table.index;
        for ((service, shard), epoch, server) in changed {
            if epoch > Epoch(0) {
                let record = self.assignment(number, &service, shard, epoch, server);
                self.record(HistoryEvent::Believed(record));
            }
        }
    }

    /// Records that a replica that is down knows no owners until it has opened its disk again.
    pub(super) fn clear_recorded_epochs(&mut self, number: usize) {
        let recorded_epochs = std::mem::take(&mut self.controls[number].recorded_epochs);
        self.controls[number].recorded_index = LogIndex(0);
        for (service, shard) in recorded_epochs.into_keys() {
            let record = self.assignment(number, &service, shard, Epoch(0), None);
            self.record(HistoryEvent::Believed(record));
        }
    }

    /// Checks that the entries a leader commits are on the disks of a majority of its voters.
    pub(super) fn check_commit(&mut self, number: usize) {
        let Some(node) = self.controls[number].node.as_ref() else {
            return;
        };
        let consensus = node.consensus();
        self.stored.insert(node.replica(), consensus.last_index());
        let commit = consensus.commit();
        if consensus.role() != Role::Leader || commit <= self.controls[number].committed {
            return;
        }
        let members = consensus.membership().members.iter();
        let voters = members.filter(|member| member.role == MemberRole::Voter);
        let voters: Vec<ReplicaId> = voters.map(|member| member.replica).collect();
        let holds = |voter: &&ReplicaId| self.stored.get(voter).is_some_and(|last| *last >= commit);
        let holding = voters.iter().filter(holds).count();
        self.controls[number].committed = commit;
        if holding * 2 <= voters.len() {
            let explanation = format!(
                "{} committed {commit} with {holding} of {} voters",
                Process::Control(number).name(),
                voters.len()
            );
            let kind = Finding::COMMITTED_WITHOUT_MAJORITY;
            self.findings
                .push(Finding::new(self.now, kind, explanation));
        }
    }

    /// Checks that no two replicas hold a leader lease at the same time; reports the first overlap only.
    pub(super) fn check_leases(&mut self) {
        let holders: Vec<String> = (0..CONTROLS)
            .filter(|number| self.leader_lease(*number).is_some())
            .map(|number| Process::Control(number).name())
            .collect();
        let reported = self
            .findings
            .iter()
            .any(|one| one.kind == Finding::TWO_LEADERS);
        if holders.len() > 1 && !reported {
            let explanation = format!(
                "{} hold leader leases at the same time",
                holders.join(" and ")
            );
            self.findings
                .push(Finding::new(self.now, Finding::TWO_LEADERS, explanation));
        }
    }

    /// End of a replica's leader lease, if it holds one now.
    pub(super) fn leader_lease(&self, number: usize) -> Option<Instant> {
        let process = Process::Control(number);
        if self.condition(process) == Condition::Down {
            return None;
        }
        let node = self.controls[number].node.as_ref()?;
        let until = node.consensus().leader_lease_until()?;
        let state = self.process_states.get(&process)?;
        (until > state.clock.local(self.now)).then(|| state.clock.instant_at(until))
    }

    /// Updates the longest time during which no replica held a leader lease.
    pub(super) fn update_leaderless_time(&mut self) {
        let until = (0..CONTROLS)
            .filter_map(|number| self.leader_lease(number))
            .max();
        let Some(until) = until else {
            return;
        };
        if self.leader_lease_end > 0 {
            let gap = self.now.saturating_sub(self.leader_lease_end);
            self.longest_without_leader = self.longest_without_leader.max(gap);
        }
        self.leader_lease_end = until;
    }

    /// Longest time since the first leader during which no replica held a leader lease, in microseconds.
    pub fn longest_without_leader(&self) -> Instant {
        self.longest_without_leader
    }
}
