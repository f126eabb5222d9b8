//! Founding (bootstrap) of a group: explicit, done once, and idempotent.
//!
//! Invariant: a founding request lists this replica and all its configured peers, so that no two foundings of
//! a group can be disjoint. A replica is founded only under the identity in its data directory, and never
//! when it holds a copy of any log, so a replica that lost its data can't be founded a second time.

use std::time::Duration;

use grebepin_consensus::{Consensus, Restored};
use grebepin_ownership::OwnershipState;
use grebepin_schema::{
    ApiError, ApiErrorKind, FoundRequest, IdentityAnswer, LogIndex, Member, MemberRole, Membership,
    SnapshotMeta, SocketAddress, Term,
};
use grebepin_storage::Disk;

use super::error::NodeError;
use super::leadership::api_error;
use super::output::Notice;
use super::ControlNode;

/// Log index of the founding membership, equal on all founding replicas.
const FOUNDING_INDEX: LogIndex = LogIndex(1);

impl<D: Disk> ControlNode<D> {
    pub(super) fn identity(&self) -> IdentityAnswer {
        IdentityAnswer {
            replica: self.replica,
            group: self.config.group,
            zone: self.config.zone.clone(),
            founded: self.is_founded(),
            peer_address: self.config.peer_address.clone(),
            router_address: self.config.router_address.clone(),
            admin_address: self.config.admin_address.clone(),
        }
    }

    /// Founds the group on this replica; succeeds without a change if the same founding was done before.
    pub(super) fn found(
        &mut self,
        now: Duration,
        request: FoundRequest,
    ) -> Result<Result<IdentityAnswer, ApiError>, NodeError> {
        if let Err(error) = self.check_founding(&request) {
            return Ok(Err(error));
        }
        if !self.is_founded() {
            self.initialize_group(now, request)?;
        }
        Ok(Ok(self.identity()))
    }

    fn check_founding(&self, request: &FoundRequest) -> Result<(), ApiError> {
        let members = &request.members;
        let listed = members.iter().any(|member| {
            member.replica == self.replica
                && member.role == MemberRole::Voter
                && member.peer_address == self.config.peer_address
        });
        if !listed {
            let message = format!(
                "replica {} at {} is not among the founding voters; a folder that was lost can't be \
                 founded again, it joins by itself",
                self.replica,
                self.config.peer_address.as_str()
            );
            return Err(api_error(ApiErrorKind::BadRequest, message));
        }
        let mut replicas: Vec<_> = members.iter().map(|member| member.replica).collect();
        replicas.sort();
        replicas.dedup();
        if replicas.len() != members.len() {
            let message = "a replica is listed twice".to_owned();
            return Err(api_error(ApiErrorKind::BadRequest, message));
        }
        self.check_peers_listed(members)?;
        self.check_not_in_other_cluster(request)
    }

    fn check_peers_listed(&self, members: &[Member]) -> Result<(), ApiError> {
        let is_listed = |peer: &SocketAddress| {
            let mut voters = members
                .iter()
                .filter(|member| member.role == MemberRole::Voter);
            voters.any(|member| member.peer_address == *peer)
        };
        let missing = self.config.peers.iter().find(|peer| !is_listed(peer));
        let Some(missing) = missing else {
            return Ok(());
        };
        let message = format!(
            "{} in the settings' peers is not among the founding voters; found all replicas in one \
             request, or take it out of peers",
            missing.as_str()
        );
        Err(api_error(ApiErrorKind::BadRequest, message))
    }

    fn check_not_in_other_cluster(&self, request: &FoundRequest) -> Result<(), ApiError> {
        let same = match &self.storage.identity().cluster {
            Some(cluster) => *cluster == request.cluster,
            // A leader that was founded first may already have replicated its log to this replica. That
            // membership contains this replica's identity only if it comes from the same founding.
            None => !self.has_log() || self.member(self.replica).is_some(),
        };
        match same {
            true => Ok(()),
            false => Err(api_error(
                ApiErrorKind::AlreadyFounded,
                "this replica belongs to a group that was founded before".to_owned(),
            )),
        }
    }

    fn initialize_group(&mut self, now: Duration, request: FoundRequest) -> Result<(), NodeError> {
        let meta = SnapshotMeta {
            index: FOUNDING_INDEX,
            term: Term(0),
            membership: Membership {
                members: request.members,
            },
        };
        let guards = self.config.guards.ownership;
        let mut state = OwnershipState::with_guards(self.config.group, guards);
        state.skip(FOUNDING_INDEX);
        let data = state.snapshot();
        self.storage.set_founded(request.cluster, &meta, &data)?;
        self.metrics.syncs += 1;
        let restored = Restored {
            hard_state: self.storage.hard_state().clone(),
            snapshot: Some((meta, data)),
            entries: Vec::new(),
        };
        let config = self.config.consensus(self.replica);
        self.consensus = Consensus::new(config, restored, now);
        self.state = state;
        self.applied = FOUNDING_INDEX;
        self.notice(Notice::Founded);
        Ok(())
    }
}
