//! Operations that tests perform on a simulated group: elections, proposals, reads and membership changes.

use std::time::Duration;

use grebepin_consensus::{ProposeError, ReadId, Role};
use grebepin_schema::{LogIndex, MemberRole, Membership, ReplicaId};

use super::cluster::Cluster;
use super::members::member;

impl Cluster {
    /// Returns the running leader with the highest term.
    pub fn leader(&self) -> Option<u64> {
        let cores = self.replicas.iter().filter_map(|(id, replica)| {
            let core = replica.consensus.as_ref()?;
            (core.role() == Role::Leader && !replica.paused).then_some((core.term(), id.0))
        });
        cores.max().map(|(_, id)| id)
    }

    /// Runs until a leader has committed an entry of its own term, and returns its id.
    pub fn elect(&mut self) -> u64 {
        let elected = self.run_until(Duration::from_secs(60), |cluster| {
            let leader = cluster.leader();
            leader.is_some_and(|id| cluster.core(id).has_committed_in_term())
        });
        assert!(elected, "no leader within a minute");
        self.leader().expect("the group has a leader")
    }

    pub fn propose(&mut self, id: u64, command: &[u8]) -> Result<LogIndex, ProposeError> {
        let command = command.to_vec();
        let proposed = self.with(ReplicaId(id), |core, now| core.propose(now, command));
        let (_, index) = proposed.unwrap_or(Err(ProposeError::NotLeader { leader: None }))?;
        Ok(index)
    }

    pub fn request_read(&mut self, id: u64) -> Result<ReadId, ProposeError> {
        let committed = self.checks.committed.keys().last().copied();
        let at = self.at;
        let id = ReplicaId(id);
        let replica = self.replica_mut(id);
        let now = replica.clock.read(at);
        let Some(core) = replica.consensus.as_mut() else {
            return Err(ProposeError::NotLeader { leader: None });
        };
        let read = core.request_read(now)?;
        self.reads.insert((id, read), committed.unwrap_or_default());
        self.process_ready(id);
        Ok(read)
    }

    pub fn propose_membership(
        &mut self,
        id: u64,
        membership: Membership,
    ) -> Result<LogIndex, ProposeError> {
        let proposed = self.with(ReplicaId(id), |core, now| {
            core.propose_membership(now, membership)
        });
        let (_, index) = proposed.unwrap_or(Err(ProposeError::NotLeader { leader: None }))?;
        Ok(index)
    }

    /// Returns the membership of replica `id` with the role of `replica` changed, or without it if `role` is
    /// `None`.
    pub fn changed_membership(
        &self,
        id: u64,
        replica: u64,
        role: Option<MemberRole>,
    ) -> Membership {
        let mut changed = self.core(id).membership().clone();
        changed.members.retain(|member| member.replica.0 != replica);
        changed
            .members
            .extend(role.map(|role| member(replica, role)));
        changed
    }

    /// Runs until all running replicas have applied an index, at most for `time`. Returns whether they have.
    pub fn settle(&mut self, index: LogIndex, time: Duration) -> bool {
        self.run_until(time, |cluster| {
            let mut running = cluster
                .replicas
                .values()
                .filter(|replica| replica.consensus.is_some() && !replica.paused);
            running.all(|replica| replica.applied_index >= index)
        })
    }
}
