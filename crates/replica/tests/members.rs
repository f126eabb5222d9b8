//! Queries on memberships and single changes of a membership.

use grebepin_replica::members::{
    admission_step, improves_zone_spread, keeps_quorum_without, select_learner_by_zone,
    surplus_voter, voter_at, voters, with_voter, with_zone, without_member,
};
use grebepin_schema::{Member, MemberRole, Membership, ReplicaId, SocketAddress, ZoneName};

fn address(text: &str) -> SocketAddress {
    SocketAddress::try_from(text).expect("well formed")
}

fn member(replica: u64, role: MemberRole, port: u16) -> Member {
    let at = address(&format!("10.0.0.1:{port}"));
    Member {
        admin_address: at.clone(),
        router_address: at.clone(),
        peer_address: at,
        replica: ReplicaId(replica),
        role,
        zone: ZoneName::try_from("z").expect("well formed"),
    }
}

fn three_voters() -> Membership {
    let members = (1..=3).map(|number| member(number, MemberRole::Voter, 7_000 + number as u16));
    Membership {
        members: members.collect(),
    }
}

fn replicas(membership: &Membership) -> Vec<u64> {
    membership.members.iter().map(|one| one.replica.0).collect()
}

#[test]
fn a_new_member_is_a_learner_even_if_it_claims_to_be_a_voter() {
    let next = admission_step(&three_voters(), member(9, MemberRole::Voter, 7_009));
    assert_eq!(replicas(&next), [1, 2, 3, 9]);
    assert_eq!(voters(&next).count(), 3);
}

#[test]
fn an_older_learner_at_the_same_address_is_removed_first() {
    let with_learner = admission_step(&three_voters(), member(9, MemberRole::Learner, 7_009));
    let next = admission_step(&with_learner, member(10, MemberRole::Learner, 7_009));
    assert_eq!(replicas(&next), [1, 2, 3], "one change at a time");
}

#[test]
fn a_promoted_learner_is_a_voter_and_a_removed_member_is_absent() {
    let with_learner = admission_step(&three_voters(), member(9, MemberRole::Learner, 7_009));
    assert_eq!(voter_at(&with_learner, &address("10.0.0.1:7009")), None);
    let promoted = with_voter(&with_learner, ReplicaId(9));
    assert_eq!(
        voter_at(&promoted, &address("10.0.0.1:7009")),
        Some(ReplicaId(9))
    );
    assert_eq!(
        replicas(&without_member(&promoted, ReplicaId(1))),
        [2, 3, 9]
    );
}

#[test]
fn a_voter_is_removed_only_if_the_responsive_others_are_a_majority() {
    let responsive =
        |responsive: &'static [u64]| move |replica: ReplicaId| responsive.contains(&replica.0);
    assert!(keeps_quorum_without(
        &three_voters(),
        ReplicaId(3),
        responsive(&[1, 2])
    ));
    assert!(!keeps_quorum_without(
        &three_voters(),
        ReplicaId(3),
        responsive(&[1, 3])
    ));
}

fn in_zone(replica: u64, role: MemberRole, zone: &str) -> Member {
    Member {
        zone: ZoneName::try_from(zone).expect("well formed"),
        ..member(replica, role, 7_000 + replica as u16)
    }
}

#[test]
fn a_learner_of_the_zone_with_fewest_voters_is_selected() {
    let group = Membership {
        members: vec![
            in_zone(1, MemberRole::Voter, "a"),
            in_zone(2, MemberRole::Voter, "a"),
            in_zone(3, MemberRole::Voter, "b"),
            in_zone(4, MemberRole::Learner, "a"),
            in_zone(5, MemberRole::Learner, "b"),
            in_zone(6, MemberRole::Learner, "c"),
        ],
    };
    let learners = || group.members.iter().skip(3);
    let next = select_learner_by_zone(&group, learners()).expect("a learner");
    assert_eq!(next.replica, ReplicaId(6));
    let improves: Vec<bool> = learners()
        .map(|one| improves_zone_spread(&group, one))
        .collect();
    assert_eq!(improves, [false, false, true]);
    assert_eq!(surplus_voter(&group, ReplicaId(1)), Some(ReplicaId(2)));
    assert_eq!(surplus_voter(&group, ReplicaId(2)), Some(ReplicaId(1)));
    let zone = ZoneName::try_from("c").expect("well formed");
    let corrected = with_zone(&group, ReplicaId(2), &zone);
    assert_eq!(corrected.members[1].zone, zone);
    assert_eq!(corrected.members[1].role, MemberRole::Voter);
}

#[test]
fn an_observer_is_added_as_an_observer() {
    let next = admission_step(&three_voters(), member(9, MemberRole::Observer, 7_009));
    assert_eq!(next.members[3].role, MemberRole::Observer);
}
