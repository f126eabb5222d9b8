//! What a replica holds and sends is bounded by its size, however large the entries are.

mod support;

use std::time::Duration;

use grebepin_consensus::{Consensus, Guards, ProposeError, Ready, Restored, MAX_UNCOMMITTED_BYTES};
use grebepin_schema::{
    AppendResponse, Bytes, Entry, EntryPayload, HardState, LogIndex, PeerBody, PeerMessage,
    ReplicaId, SnapshotMeta, Term, VoteResponse,
};
use support::members::{config, membership};

const MIB: usize = 1 << 20;

/// Size of the entries in bytes, what a leader may send to a follower without a response, and what it may retain for a
/// follower that receives a snapshot.
const LARGE: usize = MIB;
const WINDOW: usize = 4 * MIB;
const RETAINED_DURING_TRANSFER: usize = 4 * WINDOW;

fn meta(index: LogIndex, term: Term) -> SnapshotMeta {
    SnapshotMeta {
        index,
        term,
        membership: membership(&[1, 2, 3], &[]),
    }
}

fn message(from: u64, term: Term, body: PeerBody) -> PeerMessage {
    PeerMessage {
        group: config(1, 1, Guards::all()).group,
        from: ReplicaId(from),
        to: ReplicaId(1),
        term,
        body,
    }
}

/// Processes a [`Ready`] as the caller of a replica does.
fn process(replica: &mut Consensus, now: Duration) -> Ready {
    let ready = replica.ready();
    replica.synced(now);
    ready
}

/// Replica 1 of three, which leads since `now`.
struct Leader {
    replica: Consensus,
    now: Duration,
}

impl Leader {
    fn elected() -> Self {
        let restored = Restored {
            snapshot: Some((meta(LogIndex(1), Term(0)), Vec::new())),
            ..Restored::default()
        };
        let mut replica = Consensus::new(config(1, 1, Guards::all()), restored, Duration::ZERO);
        let now = Duration::from_secs(10);
        replica.tick(now);
        let term = Term(1);
        let granted = || VoteResponse { granted: true };
        replica.step(now, message(2, term, PeerBody::PreVoteResponse(granted())));
        replica.step(now, message(2, term, PeerBody::VoteResponse(granted())));
        let mut leader = Self { replica, now };
        process(&mut leader.replica, now);
        for follower in [2, 3] {
            leader.acknowledge(follower, LogIndex(1));
        }
        leader.acknowledge(2, LogIndex(2));
        leader.acknowledge(3, LogIndex(2));
        assert!(leader.replica.has_committed_in_term());
        leader
    }

    /// Handles a response of a follower that has the entries up to `last`; returns the work for the caller.
    fn acknowledge(&mut self, follower: u64, last: LogIndex) -> Ready {
        let response = AppendResponse {
            accepted: true,
            last_index: last,
            round: 1,
        };
        let body = PeerBody::AppendResponse(response);
        let term = self.replica.term();
        self.replica.step(self.now, message(follower, term, body));
        process(&mut self.replica, self.now)
    }

    fn propose(&mut self, bytes: usize) -> Result<LogIndex, ProposeError> {
        let proposed = self.replica.propose(self.now, vec![7; bytes]);
        proposed.map(|(_, index)| index)
    }

    /// Proposes a large entry that follower 2 acknowledges, so that it is committed, and 3 does not.
    fn commit_without_3(&mut self) -> LogIndex {
        let index = self.propose(LARGE).expect("accepted");
        process(&mut self.replica, self.now);
        let ready = self.acknowledge(2, index);
        assert_eq!(ready.committed.len(), 1);
        index
    }

    fn compact(&mut self, index: LogIndex) {
        let meta = self.replica.snapshot_meta(index).expect("applied");
        self.replica.compact(meta, Vec::new());
    }
}

fn bytes_to(ready: &Ready, follower: u64) -> usize {
    let messages = ready.messages.iter();
    let to_follower = messages.filter(|message| message.to == ReplicaId(follower));
    let entries = to_follower.flat_map(|message| match &message.body {
        PeerBody::AppendRequest(request) => request.entries.as_slice(),
        _ => &[],
    });
    entries.map(bytes_of).sum()
}

fn bytes_of(entry: &Entry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.0.len(),
        _ => 0,
    }
}

/// Guards against a leader whose memory fills with changes that it cannot commit, while a majority is away.
#[test]
fn uncommitted_entries_are_bounded_by_their_size() {
    let mut leader = Leader::elected();
    let mut accepted = 0;
    while leader.propose(LARGE).is_ok() {
        accepted += LARGE;
    }
    assert!(accepted > MAX_UNCOMMITTED_BYTES - 2 * LARGE, "{accepted}");
    assert!(accepted <= MAX_UNCOMMITTED_BYTES, "{accepted}");
    let refused = leader.propose(LARGE);
    assert!(matches!(refused, Err(ProposeError::Overloaded { .. })));
    // A heartbeat's command is small, and the lease of its server depends on it.
    for _ in 0..1_000 {
        leader.propose(1_000).expect("a small command is accepted");
    }
    while leader.propose(1_000).is_ok() {
        accepted += 1_000;
    }
    assert!(accepted < MAX_UNCOMMITTED_BYTES + 4 * MIB, "{accepted}");
    assert!(leader.replica.log_bytes() < MAX_UNCOMMITTED_BYTES + 4 * MIB);
}

#[test]
fn large_entries_are_accepted_again_once_earlier_ones_are_committed() {
    let mut leader = Leader::elected();
    let mut last = LogIndex(0);
    while let Ok(index) = leader.propose(LARGE) {
        last = index;
    }
    process(&mut leader.replica, leader.now);
    leader.acknowledge(2, last);
    leader.propose(LARGE).expect("accepted");
}

/// Guards against sixteen copies of the largest entries on their way to each follower.
#[test]
fn entries_in_flight_are_bounded_by_their_size() {
    let mut leader = Leader::elected();
    let first = leader.propose(LARGE).expect("accepted");
    for _ in 0..10 {
        leader.propose(LARGE).expect("accepted");
    }
    let ready = process(&mut leader.replica, leader.now);
    for follower in [2, 3] {
        let sent = bytes_to(&ready, follower);
        assert!((LARGE..=WINDOW).contains(&sent), "{sent} bytes in flight");
    }
    let ready = leader.acknowledge(2, LogIndex(first.0 + 1));
    assert_eq!(bytes_to(&ready, 2), 2 * LARGE, "two acknowledged, two sent");
    assert_eq!(bytes_to(&ready, 3), 0);
}

/// Guards against a follower that never gets an entry larger than what may be in flight.
#[test]
fn an_entry_larger_than_the_window_is_sent_alone() {
    let mut leader = Leader::elected();
    leader.propose(WINDOW + MIB).expect("accepted");
    leader.propose(LARGE).expect("accepted");
    let ready = process(&mut leader.replica, leader.now);
    assert_eq!(bytes_to(&ready, 2), WINDOW + MIB);
}

/// Guards against a leader that keeps 256 entries of any size for a follower that is slightly behind.
#[test]
fn entries_retained_for_a_follower_are_bounded_by_their_size() {
    let mut leader = Leader::elected();
    for committed in 1..=100_usize {
        let index = leader.commit_without_3();
        leader.compact(index);
        let held = leader.replica.log_bytes();
        assert!(
            held <= RETAINED_DURING_TRANSFER,
            "{held} bytes after {committed} entries"
        );
        // A follower that lacks only what fits is not sent a snapshot.
        if committed <= 3 {
            assert!(held >= committed * LARGE);
        }
    }
}

/// A replica with `count` committed entries after its snapshot, as written by a version that kept them.
fn with_long_log(count: u64) -> Consensus {
    let entries = (1..=count).map(|number| Entry {
        index: LogIndex(1 + number),
        term: Term(1),
        payload: EntryPayload::Command(Bytes(vec![7; LARGE])),
    });
    let restored = Restored {
        hard_state: HardState {
            term: Term(1),
            vote: None,
            commit: LogIndex(1 + count),
        },
        snapshot: Some((meta(LogIndex(1), Term(0)), Vec::new())),
        entries: entries.collect(),
    };
    Consensus::new(config(1, 1, Guards::all()), restored, Duration::ZERO)
}

/// Guards against a replica that copies its whole log at its start, exceeds its memory and is killed at each start.
#[test]
fn a_long_log_is_applied_in_batches_of_bounded_size() {
    const COUNT: u64 = 50;
    let mut replica = with_long_log(COUNT);
    let now = Duration::from_millis(1);
    replica.tick(now);
    let mut applied = LogIndex(1);
    while applied < LogIndex(1 + COUNT) {
        assert!(replica.next_wake() <= now, "more entries are ready at once");
        let held = replica.log_bytes();
        let ready = process(&mut replica, now);
        let bytes: usize = ready.committed.iter().map(bytes_of).sum();
        assert!((LARGE..=WINDOW).contains(&bytes), "{bytes} bytes at once");
        applied = ready.committed.last().expect("an entry").index;
        let meta = replica.snapshot_meta(applied).expect("applied");
        replica.compact(meta, Vec::new());
        assert!(
            held - replica.log_bytes() >= bytes,
            "the applied entries are discarded"
        );
    }
    assert!(replica.next_wake() > now);
}
