//! When a leader's commit index shows that a follower has every committed entry.

mod support;

use std::time::Duration;

use grebepin_consensus::{Consensus, Guards, Restored};
use grebepin_schema::{
    AppendRequest, Entry, EntryPayload, HardState, LogIndex, PeerBody, PeerMessage, ReplicaId,
    SnapshotMeta, Term,
};
use support::members::{config, membership};

const SNAPSHOT_INDEX: u64 = 5;

/// Replica 1 of three after a restart: its log begins at a snapshot of term 1.
fn restarted() -> Consensus {
    let meta = SnapshotMeta {
        index: LogIndex(SNAPSHOT_INDEX),
        term: Term(1),
        membership: membership(&[1, 2, 3], &[]),
    };
    let restored = Restored {
        hard_state: HardState {
            term: Term(1),
            vote: None,
            commit: LogIndex(SNAPSHOT_INDEX),
        },
        snapshot: Some((meta, Vec::new())),
        entries: Vec::new(),
    };
    Consensus::new(config(1, 1, Guards::all()), restored, Duration::ZERO)
}

/// A message of leader 2 in term 2 that follows the entry at `previous`, with one entry if `has_entry`.
fn append(previous: (u64, u64), has_entry: bool, commit: u64) -> PeerMessage {
    let (index, term) = previous;
    let entry = Entry {
        index: LogIndex(index + 1),
        term: Term(2),
        payload: EntryPayload::Noop,
    };
    PeerMessage {
        group: config(1, 1, Guards::all()).group,
        from: ReplicaId(2),
        to: ReplicaId(1),
        term: Term(2),
        body: PeerBody::AppendRequest(AppendRequest {
            previous_index: LogIndex(index),
            previous_term: Term(term),
            entries: has_entry.then_some(entry).into_iter().collect(),
            commit: LogIndex(commit),
            round: 1,
        }),
    }
}

/// Guards against a leader's commit index from before it led, which may lie before the follower's snapshot.
#[test]
fn a_commit_index_of_an_earlier_term_says_nothing() {
    for commit in [3, SNAPSHOT_INDEX] {
        let mut replica = restarted();
        let message = append((SNAPSHOT_INDEX, 1), true, commit);
        replica.step(Duration::from_secs(1), message);
        assert_eq!(replica.leader_commit(), None, "commit {commit}");
    }
}

#[test]
fn a_commit_index_of_the_leaders_own_term_is_known_with_its_time() {
    let mut replica = restarted();
    let first = Duration::from_secs(1);
    replica.step(first, append((SNAPSHOT_INDEX, 1), true, SNAPSHOT_INDEX));
    let second = Duration::from_secs(2);
    let committed = SNAPSHOT_INDEX + 1;
    replica.step(second, append((committed, 2), false, committed));
    let expected = Some((second, LogIndex(committed)));
    assert_eq!(replica.leader_commit(), expected);
}
