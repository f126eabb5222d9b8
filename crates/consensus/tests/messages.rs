//! No message makes a replica panic, whatever its content.

mod support;

use std::time::Duration;

use grebepin_consensus::{Consensus, Guards, Restored};
use grebepin_schema::{
    AppendRequest, AppendResponse, Bytes, Entry, EntryPayload, GroupId, LogIndex, PeerBody,
    PeerMessage, ReplicaId, SnapshotMeta, SnapshotRequest, SnapshotResponse, Term, VoteRequest,
    VoteResponse,
};
use proptest::prelude::*;
use support::members::{config, membership};

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0..6_u64, 1 => any::<u64>(), 1 => u64::MAX - 2..=u64::MAX]
}

fn entry() -> impl Strategy<Value = Entry> {
    let payload = prop_oneof![
        Just(EntryPayload::Noop),
        Just(EntryPayload::Command(Bytes(vec![1, 2]))),
        Just(EntryPayload::Membership(membership(&[1, 3], &[2]))),
        Just(EntryPayload::Membership(membership(&[], &[]))),
    ];
    (number(), number(), payload).prop_map(|(index, term, payload)| Entry {
        index: LogIndex(index),
        term: Term(term),
        payload,
    })
}

fn append() -> impl Strategy<Value = PeerBody> {
    let entries = proptest::collection::vec(entry(), 0..4);
    let numbers = (number(), number(), number(), number());
    (numbers, entries, any::<bool>()).prop_map(
        |((index, term, commit, round), entries, contiguous)| {
            let numbered = entries.into_iter().zip(1..).map(|(mut entry, position)| {
                if contiguous {
                    entry.index = LogIndex(index.wrapping_add(position));
                }
                entry
            });
            PeerBody::AppendRequest(AppendRequest {
                previous_index: LogIndex(index),
                previous_term: Term(term),
                entries: numbered.collect(),
                commit: LogIndex(commit),
                round,
            })
        },
    )
}

fn snapshot() -> impl Strategy<Value = PeerBody> {
    let bytes = proptest::collection::vec(any::<u8>(), 0..3);
    let numbers = (number(), number(), number(), number(), number());
    (numbers, bytes, any::<bool>()).prop_map(
        |((index, term, offset, total, round), bytes, valid)| {
            PeerBody::SnapshotRequest(SnapshotRequest {
                meta: SnapshotMeta {
                    index: LogIndex(index),
                    term: Term(term),
                    membership: membership(&[1, 2, 3], &[]),
                },
                offset: if valid { 0 } else { offset },
                total: if valid { bytes.len() as u64 } else { total },
                checksum: if valid { crc32fast::hash(&bytes) } else { 7 },
                chunk: Bytes(bytes),
                round,
            })
        },
    )
}

fn body() -> impl Strategy<Value = PeerBody> {
    let vote = |(last_index, last_term)| VoteRequest {
        last_index: LogIndex(last_index),
        last_term: Term(last_term),
    };
    let granted = || any::<bool>().prop_map(|granted| VoteResponse { granted });
    prop_oneof![
        (number(), number()).prop_map(move |numbers| PeerBody::PreVoteRequest(vote(numbers))),
        (number(), number()).prop_map(move |numbers| PeerBody::VoteRequest(vote(numbers))),
        granted().prop_map(PeerBody::PreVoteResponse),
        granted().prop_map(PeerBody::VoteResponse),
        append(),
        snapshot(),
        (any::<bool>(), number(), number()).prop_map(|(accepted, last_index, round)| {
            PeerBody::AppendResponse(AppendResponse {
                accepted,
                last_index: LogIndex(last_index),
                round,
            })
        }),
        (any::<bool>(), number(), number(), number()).prop_map(
            |(installed, index, received, round)| {
                PeerBody::SnapshotResponse(SnapshotResponse {
                    index: LogIndex(index),
                    received,
                    installed,
                    round,
                })
            }
        ),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_262),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_message_makes_a_replica_panic(
        messages in proptest::collection::vec((2..4_u64, number(), 0..700_u64, body()), 1..60)
    ) {
        let meta = SnapshotMeta {
            index: LogIndex(1),
            term: Term(1),
            membership: membership(&[1, 2, 3], &[]),
        };
        let restored = Restored { snapshot: Some((meta, vec![0; 5])), ..Restored::default() };
        let mut core = Consensus::new(config(1, 1, Guards::all()), restored, Duration::ZERO);
        let mut now = Duration::ZERO;
        for (from, term, milliseconds, body) in messages {
            now += Duration::from_millis(milliseconds);
            core.tick(now);
            let message = PeerMessage {
                group: GroupId(7),
                from: ReplicaId(from),
                to: ReplicaId(1),
                term: Term(term),
                body,
            };
            core.step(now, message);
            let _ = core.propose(now, vec![1]);
            let ready = core.ready();
            core.synced(now);
            if let Some(last) = ready.committed.last() {
                if let Some(meta) = core.snapshot_meta(last.index) {
                    core.compact(meta, vec![1]);
                }
            }
            let _ = (core.next_wake(), core.leader_lease_until(), core.member_progress());
        }
    }
}
