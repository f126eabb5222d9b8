//! Tolerated losses, as reported by `status`.

use std::collections::BTreeSet;

use grebepin_control::tolerated_losses;
use grebepin_schema::{Member, MemberRole, Membership, ReplicaId};

/// Zone of each voter, indices of failed voters, and the expected number of replicas and the zones that may
/// be lost.
type Case = (&'static str, &'static [u64], u32, &'static str);

const CASES: &[Case] = &[
    ("a", &[], 0, ""),
    ("aa", &[], 0, ""),
    ("ab", &[], 0, ""),
    ("abc", &[], 1, "abc"),
    ("aab", &[], 1, "b"),
    ("abc", &[0], 0, "a"),
    ("abc", &[0, 1], 0, ""),
    ("abcd", &[], 1, "abcd"),
    ("aabbc", &[], 2, "abc"),
    ("aabbc", &[0], 1, "ac"),
    ("aabbc", &[4], 1, "c"),
    ("aabbc", &[0, 1], 0, "a"),
];

fn member(replica: u64, zone: char, role: MemberRole) -> Member {
    let address = |port: u64| format!("127.0.0.1:{port}").parse().expect("an address");
    Member {
        replica: ReplicaId(replica),
        role,
        zone: zone.to_string().parse().expect("a zone"),
        peer_address: address(1000 + replica),
        router_address: address(2000 + replica),
        admin_address: address(3000 + replica),
    }
}

#[test]
fn tolerated_losses_by_voters_zones_and_failures() {
    for (zones, failed, replicas, expected) in CASES {
        let numbered = (0..).zip(zones.chars());
        let mut members: Vec<Member> = numbered
            .map(|(replica, zone)| member(replica, zone, MemberRole::Voter))
            .collect();
        // Learners don't count, alive or not.
        members.push(member(99, 'z', MemberRole::Learner));
        let alive: BTreeSet<ReplicaId> = members
            .iter()
            .map(|member| member.replica)
            .filter(|replica| !failed.contains(&replica.0))
            .collect();
        let losses = tolerated_losses(&Membership { members }, &alive);
        let found: String = losses.zones.iter().map(|zone| zone.as_str()).collect();
        assert_eq!(
            (losses.replicas, found.as_str()),
            (*replicas, *expected),
            "{zones} without {failed:?}"
        );
    }
}
