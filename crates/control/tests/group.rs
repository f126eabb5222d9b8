//! A control group on simulated disks and network, under the failures that it must tolerate.

mod support;

use std::time::Duration;

use grebepin_control::{AdminAnswer, AdminRequest, ControlTiming, NodeError, NodeInput};
use grebepin_schema::{
    ApiErrorKind, GroupId, JoinRequest, Member, MemberRole, PeerFrame, RemoveMemberRequest,
    ReplicaId, ReplicaRole, RollAnswer,
};
use grebepin_storage::{Crash, StorageError};
use support::bundles::{bundle, digest_of};
use support::{kind, Cluster};

fn rolled(answer: Result<AdminAnswer, grebepin_schema::ApiError>) -> RollAnswer {
    match answer {
        Ok(AdminAnswer::Rolled(answer)) => answer,
        other => panic!("not rolled: {other:?}"),
    }
}

#[test]
fn founding_is_explicit_and_idempotent() {
    let mut cluster = Cluster::new(3);
    cluster.run(Duration::from_secs(3));
    assert_eq!(
        cluster.leader(),
        None,
        "an empty replica must not found a group by itself"
    );
    let refused = cluster.roll_at(0, &bundle(1, None, ""));
    assert_eq!(kind(&refused), Some(ApiErrorKind::NotFounded));

    cluster.found();
    cluster.found();
    cluster.settle();
    cluster.found();
    let mut other = cluster.found_request();
    other.cluster = "ffffffffffffffffffffffffffffffff".parse().expect("an id");
    let answer = cluster.ask(1, AdminRequest::Found(other));
    assert_eq!(kind(&answer), Some(ApiErrorKind::AlreadyFounded));
}

#[test]
fn two_foundings_of_a_group_are_never_disjoint() {
    let mut cluster = Cluster::new(3);
    for left_out in 0..3 {
        let mut partial = cluster.found_request();
        partial.members.remove(left_out);
        for machine in 0..3 {
            let answer = cluster.ask(machine, AdminRequest::Found(partial.clone()));
            assert_eq!(kind(&answer), Some(ApiErrorKind::BadRequest));
        }
    }
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.leader(), None);
}

#[test]
fn a_replica_that_lost_its_data_is_not_founded_again() {
    let mut cluster = Cluster::new(3);
    let request = cluster.found_request();
    cluster.found();
    cluster.settle();
    cluster.lose_disk(2);
    cluster.start(2).expect("an empty disk opens");
    let answer = cluster.ask(2, AdminRequest::Found(request));
    assert_eq!(kind(&answer), Some(ApiErrorKind::BadRequest));
}

#[test]
fn an_accepted_bundle_survives_the_loss_of_the_leader() {
    let mut cluster = Cluster::founded(3);
    let first = bundle(1, None, "");
    let accepted = rolled(cluster.roll(&first));
    assert!(!accepted.repeated);

    let old = cluster.expect_leader();
    cluster.kill(old);
    cluster.settle();
    let again = rolled(cluster.roll(&first));
    assert!(again.repeated);
    assert_eq!(
        (again.index, again.digest),
        (accepted.index, accepted.digest)
    );

    cluster.start(old).expect("an intact disk opens");
    cluster.settle();
    let status = cluster.status(old);
    assert_eq!(status.role, ReplicaRole::Follower);
    assert_eq!(status.bundle_version, Some(1));
}

#[test]
fn a_follower_names_the_leader() {
    let mut cluster = Cluster::founded(3);
    let leader = cluster.expect_leader();
    let follower = (leader + 1) % 3;
    let error = cluster
        .roll_at(follower, &bundle(1, None, ""))
        .expect_err("a follower rejects bundles");
    assert_eq!(error.kind, ApiErrorKind::NotLeader);
    assert_eq!(
        error.leader_admin_address,
        Some(cluster.member(leader).admin_address)
    );
}

#[test]
fn a_bundle_resubmitted_after_a_lost_answer_is_accepted_once() {
    let mut cluster = Cluster::founded(3);
    let first = bundle(1, None, "");
    let leader = cluster.expect_leader();
    // The leader is partitioned right after it received the bundle, so its operator doesn't learn the
    // outcome.
    let unanswered = cluster.begin(leader, submit(&first));
    cluster.step();
    cluster.cut.insert(leader);
    cluster.settle();
    let answer = rolled(cluster.roll(&first));
    cluster.run(Duration::from_secs(2));
    let unknown = cluster
        .take_answer(unanswered)
        .expect("the old leader answers");
    assert_eq!(kind(&unknown), Some(ApiErrorKind::LostLeadership));

    cluster.cut.clear();
    cluster.settle();
    let again = rolled(cluster.roll(&first));
    assert_eq!((again.version, again.index), (answer.version, answer.index));
    assert!(again.repeated);
}

#[test]
fn one_of_two_concurrent_bundles_with_the_same_version_is_accepted() {
    let mut cluster = Cluster::founded(3);
    let first = bundle(1, None, "");
    rolled(cluster.roll(&first));
    let parent = Some(digest_of(&first));
    let one = bundle(2, parent.clone(), "one");
    let two = bundle(2, parent, "two");
    let leader = cluster.expect_leader();
    let replies = [&one, &two].map(|signed| cluster.begin(leader, submit(signed)));
    cluster.run(Duration::from_millis(100));
    let winner = rolled(cluster.take_answer(replies[0]).expect("an answer"));
    assert_eq!(winner.digest, digest_of(&one));
    let loser = cluster.take_answer(replies[1]).expect("an answer");
    let error = loser.expect_err("only one wins");
    assert_eq!(error.kind, ApiErrorKind::VersionConflict);
    assert_eq!(error.accepted_digest, Some(digest_of(&one)));
}

#[test]
fn invalid_bundles_are_rejected_before_they_are_proposed() {
    let mut cluster = Cluster::founded(1);
    let good = bundle(1, None, "");
    let mut unsigned = good.clone();
    unsigned.signatures.clear();
    let mut changed = good.clone();
    changed.bundle.version = 2;
    let cases = [
        (unsigned, ApiErrorKind::TooFewSignatures),
        (changed, ApiErrorKind::BadSignature),
    ];
    for (signed, expected) in cases {
        assert_eq!(kind(&cluster.roll(&signed)), Some(expected));
    }
    assert_eq!(
        kind(&cluster.ask(0, AdminRequest::Bundle)),
        Some(ApiErrorKind::NotFound)
    );
    rolled(cluster.roll(&good));
    let answer = cluster.ask(0, AdminRequest::Bundle);
    assert!(matches!(answer, Ok(AdminAnswer::Bundle(signed)) if *signed == good));
}

#[test]
fn a_replica_that_lost_its_disk_is_replaced_by_a_new_member() {
    let mut cluster = Cluster::founded(3);
    rolled(cluster.roll(&bundle(1, None, "")));
    let lost = (cluster.expect_leader() + 1) % 3;
    let old = cluster.node(lost).replica();
    cluster.lose_disk(lost);
    cluster.start(lost).expect("an empty disk opens");
    let new = cluster.node(lost).replica();
    assert_ne!(old, new);
    cluster.run_until(
        "the new replica is a voter and the old one is removed",
        |cluster| {
            let leader = cluster.leader();
            leader.is_some_and(|leader| {
                let members = &cluster.node(leader).consensus().membership().members;
                members.len() == 3
                    && members
                        .iter()
                        .any(|member| member.replica == new && member.role == MemberRole::Voter)
            })
        },
    );
    cluster.settle();
    assert_eq!(cluster.status(lost).bundle_version, Some(1));
    let leader = cluster.expect_leader();
    assert_eq!(cluster.status(leader).tolerated.replicas, 1);

    // A second machine is lost right after the first was replaced.
    let second = (0..3).find(|machine| *machine != lost && *machine != leader);
    cluster.lose_disk(second.expect("a third machine"));
    cluster.run(Duration::from_secs(1));
    rolled(cluster.roll(&bundle(1, None, "")));
}

#[test]
fn disks_lost_again_during_the_replacement_or_two_at_once() {
    // Number of machines, and the offsets from the leader of the machines whose disks are lost, 40 ms apart.
    let cases: [(usize, &[usize]); 3] = [(3, &[1, 1]), (5, &[1, 2]), (5, &[1, 2, 1])];
    for (machines, lost) in cases {
        let mut cluster = Cluster::founded(machines);
        rolled(cluster.roll(&bundle(1, None, "")));
        let leader = cluster.expect_leader();
        for offset in lost {
            let machine = (leader + offset) % machines;
            cluster.lose_disk(machine);
            cluster.start(machine).expect("an empty disk opens");
            cluster.run(Duration::from_millis(40));
        }
        let present: Vec<_> = (0..machines)
            .map(|machine| cluster.node(machine).replica())
            .collect();
        cluster.run_until("all present replicas are voters", |cluster| {
            cluster.leader().is_some_and(|leader| {
                let members = &cluster.node(leader).consensus().membership().members;
                let voters = members.iter().filter(|m| m.role == MemberRole::Voter);
                members.len() == machines
                    && voters.clone().count() == machines
                    && voters.into_iter().all(|m| present.contains(&m.replica))
            })
        });
        assert!(rolled(cluster.roll(&bundle(1, None, ""))).repeated);
    }
}

#[test]
fn a_live_voter_is_not_replaced_by_a_second_process_at_its_address() {
    let mut cluster = Cluster::founded(3);
    let leader = cluster.expect_leader();
    let voter = cluster.member((leader + 1) % 3);
    let duplicate = Member {
        replica: ReplicaId(999),
        role: MemberRole::Learner,
        ..voter.clone()
    };
    let request = JoinRequest {
        group: GroupId(0),
        member: duplicate,
    };
    cluster.input(leader, NodeInput::Peer(PeerFrame::JoinRequest(request)));
    cluster.run(Duration::from_secs(2));
    let members = &cluster.node(leader).consensus().membership().members;
    let kept = members
        .iter()
        .find(|member| member.replica == voter.replica);
    assert_eq!(kept.map(|member| member.role), Some(MemberRole::Voter));
}

#[test]
fn a_leader_may_be_removed() {
    let mut cluster = Cluster::founded(3);
    let leader = cluster.expect_leader();
    let replica = cluster.node(leader).replica();
    let answer = cluster.ask(
        leader,
        AdminRequest::RemoveMember(RemoveMemberRequest { replica }),
    );
    assert!(matches!(answer, Ok(AdminAnswer::Removed(_))), "{answer:?}");
    cluster.run(Duration::from_secs(2));
    let new = cluster.expect_leader();
    assert_ne!(new, leader);
    rolled(cluster.roll(&bundle(1, None, "")));
}

#[test]
fn an_error_for_damaged_data_names_the_file() {
    let mut cluster = Cluster::founded(3);
    rolled(cluster.roll(&bundle(1, None, "")));
    let damaged = (cluster.expect_leader() + 1) % 3;
    cluster.kill(damaged);
    let disk = cluster.machines[damaged].disk.clone();
    assert!(
        disk.corrupt("identity", 20, 0xff),
        "the identity file is there"
    );
    let Err(error) = cluster.start(damaged) else {
        panic!("a damaged disk must be rejected");
    };
    assert!(error.is_damage());
    let NodeError::Storage(StorageError::Damaged { file, .. }) = error else {
        panic!("the error must name the file: {error}");
    };
    assert_eq!(file, "identity");
}

#[test]
fn a_replica_that_missed_hundreds_of_changes_catches_up_by_snapshot() {
    let timing = ControlTiming {
        snapshot_every_entries: 20,
        ..ControlTiming::default()
    };
    let mut cluster = Cluster::with_timing(3, timing);
    cluster.found();
    cluster.settle();
    let absent = (cluster.expect_leader() + 1) % 3;
    cluster.kill(absent);
    let mut parent = None;
    for version in 1..=300 {
        let next = bundle(version, parent, "");
        rolled(cluster.roll(&next));
        parent = Some(digest_of(&next));
    }
    cluster.start(absent).expect("an intact disk opens");
    cluster.settle();
    assert_eq!(cluster.status(absent).bundle_version, Some(300));
    cluster.kill(absent);
    cluster
        .start(absent)
        .expect("the disk is intact after the snapshot");
    cluster.settle();
    assert_eq!(cluster.status(absent).bundle_version, Some(300));
}

#[test]
fn a_voter_is_removed_only_while_the_others_keep_a_majority() {
    let mut cluster = Cluster::founded(3);
    let leader = cluster.expect_leader();
    let [down, other] = [(leader + 1) % 3, (leader + 2) % 3];
    let [down_id, other_id] = [down, other].map(|machine| cluster.node(machine).replica());
    cluster.kill(down);
    cluster.run(Duration::from_secs(1));
    let remove = |replica| AdminRequest::RemoveMember(RemoveMemberRequest { replica });
    let refused = cluster.ask(leader, remove(other_id));
    assert_eq!(kind(&refused), Some(ApiErrorKind::MembershipBusy));
    let removed = cluster.ask(leader, remove(down_id));
    assert!(
        matches!(removed, Ok(AdminAnswer::Removed(_))),
        "{removed:?}"
    );
    let unknown = cluster.ask(leader, remove(down_id));
    assert_eq!(kind(&unknown), Some(ApiErrorKind::UnknownMember));

    // The removed replica doesn't disrupt the group and doesn't rejoin by itself.
    cluster.start(down).expect("an intact disk opens");
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(
        cluster.node(leader).consensus().membership().members.len(),
        2
    );
}

#[test]
fn a_failed_sync_stops_the_replica_but_not_the_group() {
    let mut cluster = Cluster::founded(3);
    let leader = cluster.expect_leader();
    cluster.machines[leader].disk.fail_next_sync();
    cluster.begin(leader, submit(&bundle(1, None, "")));
    cluster.run(Duration::from_millis(50));
    assert!(cluster.machines[leader].node.is_none());
    cluster.settle();
    rolled(cluster.roll(&bundle(1, None, "")));
    cluster.machines[leader].disk.crash(Crash::TearWrites);
    cluster
        .start(leader)
        .expect("an incomplete last write is truncated");
    cluster.settle();
    assert_eq!(cluster.status(leader).bundle_version, Some(1));
}

fn submit(signed: &grebepin_schema::SignedBundle) -> AdminRequest {
    AdminRequest::SubmitBundle(Box::new(signed.clone()))
}

impl Cluster {
    fn roll_at(
        &mut self,
        machine: usize,
        signed: &grebepin_schema::SignedBundle,
    ) -> Result<AdminAnswer, grebepin_schema::ApiError> {
        self.ask(machine, submit(signed))
    }
}
