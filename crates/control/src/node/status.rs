//! Status and metrics of a replica and its group.

use std::time::Duration;

use grebepin_consensus::Role;
use grebepin_schema::{MemberStatus, ReplicaRole, RouterStatus, Status, ToleratedLosses};
use grebepin_storage::Disk;

use super::output::NodeMetrics;
use super::tolerance::tolerated_losses;
use super::ControlNode;

impl<D: Disk> ControlNode<D> {
    /// The group's status as known to this replica. Servers and tolerated losses are known only to the
    /// leader; other replicas report none. Routers are those that reported to this replica, most recently
    /// while it led.
    pub(super) fn status(&self, now: Duration) -> Status {
        let coordinator = self.leadership.as_ref().map(|l| l.coordinator());
        let bundle = self.state.bundle_record();
        let routers = self.routers.status(now);
        Status {
            group: self.config.group,
            replica: self.replica,
            role: self.role(),
            term: self.consensus.term(),
            commit: self.consensus.commit(),
            applied: self.applied,
            leader: self.consensus.leader(),
            members: self.member_status(now),
            tolerated: self.tolerated(now),
            servers: coordinator
                .map(|coordinator| coordinator.server_status(now, &self.state))
                .unwrap_or_default(),
            slowest_router: most_outdated(&routers),
            routers,
            unowned_shards: u32::try_from(self.state.unowned_shards()).unwrap_or(u32::MAX),
            moving_shards: coordinator.map_or(0, |coordinator| coordinator.moving()),
            table_index: self.state.table_index(),
            bundle_version: bundle.map(|record| record.version),
            bundle_digest: bundle.map(|record| record.digest.clone()),
        }
    }

    fn role(&self) -> ReplicaRole {
        if !self.has_log() {
            return ReplicaRole::Joining;
        }
        match self.consensus.role() {
            Role::Leader => ReplicaRole::Leader,
            Role::Follower => ReplicaRole::Follower,
            Role::Candidate | Role::PreCandidate => ReplicaRole::Candidate,
            Role::Learner => ReplicaRole::Learner,
        }
    }

    fn member_status(&self, now: Duration) -> Vec<MemberStatus> {
        let progress = self.consensus.member_progress();
        let members = self.consensus.membership().members.iter();
        members
            .map(|member| {
                let known = progress.iter().find(|(id, _, _)| *id == member.replica);
                let last_heard = known.and_then(|(_, _, last_heard)| *last_heard);
                let since_last_heard = match member.replica == self.replica {
                    true => Duration::ZERO,
                    false => last_heard.map_or(now, |at| now.saturating_sub(at)),
                };
                MemberStatus {
                    member: member.clone(),
                    match_index: known.map(|(_, index, _)| *index).unwrap_or_default(),
                    last_heard_ms: since_last_heard.as_millis() as u64,
                }
            })
            .collect()
    }

    fn tolerated(&self, now: Duration) -> ToleratedLosses {
        if self.leadership.is_none() {
            return ToleratedLosses {
                replicas: 0,
                zones: Vec::new(),
            };
        }
        tolerated_losses(self.consensus.membership(), &self.alive_members(now))
    }

    /// Whether a leader is known and everything known to be committed is applied.
    pub(super) fn is_ready(&self) -> bool {
        self.has_log()
            && self.consensus.leader().is_some()
            && self.applied >= self.consensus.commit()
    }

    pub(super) fn metrics(&self) -> NodeMetrics {
        let coordinator = self.leadership.as_ref().map(|l| l.coordinator());
        NodeMetrics {
            leader: self.leadership.is_some(),
            term: self.consensus.term().0,
            commit: self.consensus.commit().0,
            applied: self.applied.0,
            table_index: self.state.table_index().0,
            bundle_version: self
                .state
                .bundle_record()
                .map_or(0, |record| record.version),
            routers: self.routers.count() as u64,
            unowned_shards: self.state.unowned_shards(),
            moving_shards: coordinator.map_or(0, |coordinator| u64::from(coordinator.moving())),
            ..self.metrics
        }
    }
}

/// The router with the oldest table; on a tie, the one whose last report is oldest.
fn most_outdated(routers: &[RouterStatus]) -> Option<RouterStatus> {
    let by_age =
        |router: &&RouterStatus| (router.in_force, std::cmp::Reverse(router.last_heard_ms));
    routers.iter().min_by_key(by_age).cloned()
}
