//! Memberships recorded in the log, and validation of membership changes.
//!
//! Invariant: consecutive memberships differ by one member, so that any majority of one overlaps any majority
//! of the other.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::{EntryPayload, LogIndex, Member, MemberRole, Membership, ReplicaId};

use crate::error::MembershipError;
use crate::log::Log;

/// The memberships that a truncation of the log may restore, oldest first; never empty.
#[derive(Debug)]
pub(crate) struct MembershipHistory {
    versions: Vec<(LogIndex, Membership)>,
}

impl MembershipHistory {
    pub fn from_log(log: &Log) -> Self {
        let mut history = Self {
            versions: vec![Self::from_snapshot(log)],
        };
        for entry in log.iter() {
            if let EntryPayload::Membership(membership) = &entry.payload {
                history.push(entry.index, membership.clone());
            }
        }
        history
    }

    fn from_snapshot(log: &Log) -> (LogIndex, Membership) {
        match log.snapshot() {
            Some(snapshot) => (snapshot.meta.index, snapshot.meta.membership.clone()),
            None => (
                LogIndex(0),
                Membership {
                    members: Vec::new(),
                },
            ),
        }
    }

    /// Returns the last membership in the log.
    pub fn current(&self) -> &Membership {
        &self.versions[self.versions.len() - 1].1
    }

    /// Returns the index of the entry with the last membership.
    pub fn current_index(&self) -> LogIndex {
        self.versions[self.versions.len() - 1].0
    }

    /// Iterates over the last committed membership and the later ones. Any of them may become the effective
    /// one.
    pub fn undecided(&self, commit: LogIndex) -> impl Iterator<Item = &Membership> {
        let committed = self.versions.iter().filter(|(at, _)| *at <= commit).count();
        let first = committed.saturating_sub(1);
        self.versions[first..]
            .iter()
            .map(|(_, membership)| membership)
    }

    /// Returns the membership that applies at an index.
    pub fn at(&self, index: LogIndex) -> Option<&Membership> {
        let version = self.versions.iter().rev().find(|(at, _)| *at <= index);
        version.map(|(_, membership)| membership)
    }

    pub fn push(&mut self, index: LogIndex, membership: Membership) {
        self.versions.push((index, membership));
    }

    /// Removes memberships at or after `index`, where the log was truncated.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept = self.versions.iter().filter(|(at, _)| *at < index).count();
        self.versions.truncate(kept.max(1));
    }

    /// Removes memberships that were replaced at or before a committed index.
    pub fn compact(&mut self, index: LogIndex) {
        let replaced = self.versions.iter().filter(|(at, _)| *at <= index).count();
        self.versions.drain(..replaced.saturating_sub(1));
    }
}

/// Returns whether a membership contains a replica.
pub(crate) fn is_member(membership: &Membership, replica: ReplicaId) -> bool {
    let mut members = membership.members.iter();
    members.any(|member| member.replica == replica)
}

/// Validates a membership change and returns the learner that it promotes, if any.
pub(crate) fn check_change(
    before: &Membership,
    after: &Membership,
) -> Result<Option<ReplicaId>, MembershipError> {
    let before = by_replica(before)?;
    let after = by_replica(after)?;
    if !after
        .values()
        .any(|member| member.role == MemberRole::Voter)
    {
        return Err(MembershipError::NoVoter);
    }
    let replicas: BTreeSet<ReplicaId> = before.keys().chain(after.keys()).copied().collect();
    let changed: Vec<ReplicaId> = replicas
        .into_iter()
        .filter(|replica| before.get(replica) != after.get(replica))
        .collect();
    let [replica] = changed[..] else {
        return Err(MembershipError::NotOneChange {
            changes: changed.len(),
        });
    };
    let old_role = before.get(&replica).map(|member| member.role);
    let new_role = after.get(&replica).map(|member| member.role);
    match (old_role, new_role) {
        (None | Some(MemberRole::Observer), Some(MemberRole::Voter)) => {
            Err(MembershipError::NotYetLearner { replica })
        }
        (Some(MemberRole::Learner), Some(MemberRole::Voter)) => Ok(Some(replica)),
        _ => Ok(None),
    }
}

fn by_replica(membership: &Membership) -> Result<BTreeMap<ReplicaId, &Member>, MembershipError> {
    let mut members = BTreeMap::new();
    for member in &membership.members {
        let replica = member.replica;
        if members.insert(replica, member).is_some() {
            return Err(MembershipError::DuplicateReplica { replica });
        }
    }
    Ok(members)
}
