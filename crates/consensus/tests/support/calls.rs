//! What tests ask of a simulated group: proposals, reads, changes of membership, a leader.

use std::time::Duration;

use grebepin_consensus::{ProposeError, ReadId, Role};
use grebepin_schema::{LogIndex, MemberRole, Membership, ReplicaId};

use super::cluster::Cluster;
use super::members::member;

impl Cluster {
    /// The running leader of the highest term.
    pub fn leader(&self) -> Option<u64> {
        let cores = self.replicas.iter().filter_map(|(id, replica)| {
            let core = replica.consensus.as_ref()?;
            (core.role() == Role::Leader && !replica.paused).then_some((core.term(), id.0))
        });
        cores.max().map(|(_, id)| id)
    }

    /// Waits for a leader that has committed an entry of its own term, and tells its id.
    pub fn elect(&mut self) -> u64 {
        let elected = self.run_until(Duration::from_secs(60), |cluster| {
            let leader = cluster.leader();
            leader.is_some_and(|id| cluster.core(id).has_committed_in_term())
        });
        assert!(elected, "no leader within a minute");
        self.leader().expect("a leader")
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
        self.work(id);
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

    /// The present membership of a replica with one member put in place or taken out.
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

    /// Runs until an index is applied everywhere that runs.
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
