//! Single-member membership changes.

mod support;

use std::time::Duration;

use grebepin_consensus::{Guards, MembershipError, ProposeError, Restored, Role};
use grebepin_schema::{MemberRole, Membership, ReplicaId};
use support::cluster::Cluster;
use support::members::membership;

const MAX_WAIT: Duration = Duration::from_secs(20);

fn invalid(error: MembershipError) -> ProposeError {
    ProposeError::InvalidMembership(error)
}

#[test]
fn invalid_membership_changes_are_refused() {
    let mut cluster = Cluster::new(1, &[1, 2, 3], &[4], Guards::all());
    let leader = cluster.elect();
    cluster.crash(4);
    cluster.run(MAX_WAIT);
    let twice = Membership {
        members: [membership(&[1, 2, 3], &[4]), membership(&[1], &[])]
            .into_iter()
            .flat_map(|part| part.members)
            .collect(),
    };
    let (replica, not_one) = (ReplicaId(4), |changes| MembershipError::NotOneChange {
        changes,
    });
    let table = [
        (membership(&[1, 2, 3], &[4]), not_one(0)),
        (membership(&[1, 2], &[]), not_one(2)),
        (membership(&[1, 2, 5], &[4]), not_one(2)),
        (membership(&[], &[1, 2, 3, 4]), MembershipError::NoVoter),
        (
            twice,
            MembershipError::DuplicateReplica {
                replica: ReplicaId(1),
            },
        ),
        (
            membership(&[1, 2, 3, 5], &[4]),
            MembershipError::NotYetLearner {
                replica: ReplicaId(5),
            },
        ),
        (
            membership(&[1, 2, 3, 4], &[]),
            MembershipError::LearnerBehind { replica },
        ),
    ];
    for (proposed, error) in table {
        let refused = cluster.propose_membership(leader, proposed);
        assert_eq!(refused, Err(invalid(error)));
    }
}

#[test]
fn a_second_change_is_refused_until_the_first_is_committed() {
    let mut cluster = Cluster::new(2, &[1, 2, 3], &[], Guards::all());
    let leader = cluster.elect();
    let add = cluster.changed_membership(leader, 4, Some(MemberRole::Learner));
    cluster.propose_membership(leader, add).unwrap();
    let more = cluster.changed_membership(leader, 5, Some(MemberRole::Learner));
    let refused = cluster.propose_membership(leader, more.clone());
    assert_eq!(refused, Err(ProposeError::MembershipBusy));
    cluster.run(MAX_WAIT);
    assert!(cluster.propose_membership(leader, more).is_ok());
}

#[test]
fn an_empty_replica_replaces_each_member_in_turn() {
    let mut cluster = Cluster::new(3, &[1, 2, 3], &[], Guards::all());
    cluster.snapshot_every = 50;
    for (old, new) in [(1, 4), (2, 5), (3, 6)] {
        let leader = cluster.elect();
        for command in 0..120 {
            cluster.propose(leader, &[command]).unwrap();
        }
        cluster.run(MAX_WAIT);
        cluster.add(new, Restored::default());
        change(&mut cluster, new, Some(MemberRole::Learner));
        let caught_up = cluster.run_until(MAX_WAIT, |cluster| {
            let leader = cluster.leader();
            leader.is_some_and(|id| cluster.core(id).learner_is_caught_up(ReplicaId(new)))
        });
        assert!(caught_up, "learner {new}");
        assert_eq!(cluster.core(new).role(), Role::Learner);
        change(&mut cluster, new, Some(MemberRole::Voter));
        change(&mut cluster, old, None);
        cluster.run(MAX_WAIT);
        assert_eq!(cluster.core(old).role(), Role::Learner, "{old} was removed");
        cluster.crash(old);
    }
    let leader = cluster.elect();
    assert_eq!(cluster.core(leader).membership().members.len(), 3);
    assert_eq!(cluster.replica(leader).applied.len(), 360);
    assert_eq!(cluster.violations(), []);
}

#[test]
fn a_leader_that_could_not_commit_its_own_removal_can_be_elected_to_commit_it() {
    let mut cluster = Cluster::new(4, &[1, 2], &[], Guards::all());
    let leader = cluster.elect();
    cluster.network.partition(&[1], &[2]);
    let without = cluster.changed_membership(leader, leader, None);
    cluster.propose_membership(leader, without).unwrap();
    cluster.run(MAX_WAIT);
    cluster.network.heal();
    let last = cluster.elect();
    assert_ne!(
        last, leader,
        "the removed replica has the longer log, but must not stay leader once its removal is committed"
    );
    assert_eq!(cluster.core(last).membership().members.len(), 1);
    assert_eq!(cluster.violations(), []);
}

fn change(cluster: &mut Cluster, replica: u64, role: Option<MemberRole>) {
    let leader = cluster.elect();
    let changed = cluster.changed_membership(leader, replica, role);
    let index = cluster.propose_membership(leader, changed).unwrap();
    let committed = cluster.run_until(MAX_WAIT, |cluster| {
        cluster.replica(leader).applied_index >= index
    });
    assert!(committed, "change of {replica} to {role:?}");
}
