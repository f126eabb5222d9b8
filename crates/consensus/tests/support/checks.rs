//! Invariants that are checked during the run of a simulated group.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_consensus::{Ready, Role};
use grebepin_schema::{Entry, LogIndex, MemberRole, ReplicaId, Term};

use super::replica::Replica;

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two leaders in one term.
    TwoLeaders { term: Term },
    /// One replica voted for two candidates in one term.
    DoubleVote { replica: ReplicaId, term: Term },
    /// Two logs share the index and term of an entry but differ in that entry or an earlier one.
    LogMismatch { index: LogIndex },
    /// A committed entry is missing from a later leader's log.
    IncompleteLeader { leader: ReplicaId, index: LogIndex },
    /// Two replicas applied different entries at one index.
    StateDiverged { index: LogIndex },
    /// Two leaders held a lease at the same time.
    LeaseOverlap { one: ReplicaId, other: ReplicaId },
    /// An entry was committed before a majority of the voters had stored it.
    CommitWithoutQuorum { index: LogIndex },
    /// A read was confirmed at an index below one that was committed before the read was requested.
    StaleRead { replica: ReplicaId },
}

/// Observations so far, and the violations found in them.
#[derive(Debug, Default)]
pub struct Checks {
    leaders: BTreeMap<Term, ReplicaId>,
    votes: BTreeMap<(ReplicaId, Term), ReplicaId>,
    /// Entry first committed at each index.
    pub committed: BTreeMap<LogIndex, Entry>,
    pub violations: Vec<Violation>,
}

impl Checks {
    pub fn report(&mut self, violation: Violation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }

    /// Checks the votes and committed entries in the output of a replica.
    pub fn on_ready(&mut self, replica: ReplicaId, ready: &Ready) {
        if let Some(hard_state) = &ready.hard_state {
            if let Some(candidate) = hard_state.vote {
                let first = *self
                    .votes
                    .entry((replica, hard_state.term))
                    .or_insert(candidate);
                if first != candidate {
                    let term = hard_state.term;
                    self.report(Violation::DoubleVote { replica, term });
                }
            }
        }
        for entry in &ready.committed {
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            if first != entry {
                let index = entry.index;
                self.report(Violation::StateDiverged { index });
            }
        }
    }

    /// Checks that a majority of the voters has stored the entries that a leader has just committed.
    pub fn on_leader_commit(
        &mut self,
        leader: &Replica,
        committed: &[Entry],
        all: &BTreeMap<ReplicaId, Replica>,
    ) {
        let Some(consensus) = &leader.consensus else {
            return;
        };
        let Some(entry) = committed.last() else {
            return;
        };
        if consensus.role() != Role::Leader || entry.term != consensus.term() {
            return;
        }
        let members = &consensus.membership().members;
        let voters = members
            .iter()
            .filter(|member| member.role == MemberRole::Voter);
        let voters: Vec<ReplicaId> = voters.map(|member| member.replica).collect();
        let stored = voters.iter().filter(|id| {
            let disk = all.get(id).map(|replica| &replica.disk);
            disk.is_some_and(|disk| disk.holds(entry.index, entry.term))
        });
        if stored.count() <= voters.len() / 2 {
            let index = entry.index;
            self.report(Violation::CommitWithoutQuorum { index });
        }
    }

    /// Checks the roles and leases of the whole group at one time.
    pub fn on_group(&mut self, at: Duration, replicas: &BTreeMap<ReplicaId, Replica>) {
        let mut lease_holder = None;
        for (id, replica) in replicas {
            let Some(consensus) = &replica.consensus else {
                continue;
            };
            if consensus.role() == Role::Leader {
                let term = consensus.term();
                let first = *self.leaders.entry(term).or_insert(*id);
                if first != *id {
                    self.report(Violation::TwoLeaders { term });
                }
            }
            let until = consensus.leader_lease_until();
            if until.is_some_and(|until| replica.clock.read(at) < until) {
                if let Some(one) = lease_holder.replace(*id) {
                    self.report(Violation::LeaseOverlap { one, other: *id });
                }
            }
        }
    }

    /// Checks the stored logs: logs with an entry of equal index and term are equal up to that entry, and the
    /// leader of the highest term has all entries that were committed in earlier terms.
    pub fn on_logs(&mut self, replicas: &BTreeMap<ReplicaId, Replica>) {
        let disks: Vec<_> = replicas.values().map(|replica| &replica.disk).collect();
        for (position, one) in disks.iter().enumerate() {
            for other in &disks[position + 1..] {
                if let Some(index) = first_mismatch(&one.restored.entries, &other.restored.entries)
                {
                    self.report(Violation::LogMismatch { index });
                }
            }
        }
        let highest = replicas
            .values()
            .filter_map(|replica| {
                replica
                    .consensus
                    .as_ref()
                    .map(|core| (core.term(), replica))
            })
            .filter(|(_, replica)| {
                let core = replica.consensus.as_ref();
                core.is_some_and(|core| core.role() == Role::Leader)
            })
            .max_by_key(|(term, _)| *term);
        if let Some((term, leader)) = highest {
            self.check_leader_is_complete(term, leader);
        }
    }

    fn check_leader_is_complete(&mut self, term: Term, leader: &Replica) {
        let Some(consensus) = &leader.consensus else {
            return;
        };
        let earlier = self.committed.values().filter(|entry| entry.term < term);
        let missing = earlier
            .filter(|entry| consensus.last_index() < entry.index)
            .map(|entry| entry.index)
            .next();
        let differing = self
            .committed
            .values()
            .find(|entry| {
                let stored = leader.disk.term_at(entry.index);
                entry.term < term && stored.is_some_and(|stored| stored != entry.term)
            })
            .map(|entry| entry.index);
        if let Some(index) = missing.or(differing) {
            let leader = leader.config.id;
            self.report(Violation::IncompleteLeader { leader, index });
        }
    }
}

/// Returns an index at which two logs differ, at or below an entry of equal index and term in both.
fn first_mismatch(one: &[Entry], other: &[Entry]) -> Option<LogIndex> {
    let other: BTreeMap<LogIndex, &Entry> =
        other.iter().map(|entry| (entry.index, entry)).collect();
    let mut matched_above = false;
    for entry in one.iter().rev() {
        let Some(counterpart) = other.get(&entry.index) else {
            continue;
        };
        if entry.term == counterpart.term {
            matched_above = true;
        }
        if matched_above && entry != *counterpart {
            return Some(entry.index);
        }
    }
    None
}
