//! Protocol rules of one replica, tested with hand-written messages in cases that random schedules rarely
//! reach.

mod support;

use std::time::Duration;

use grebepin_consensus::{Config, Consensus, Guards, ProposeError, Ready, Restored, Role};
use grebepin_schema::{
    AppendRequest, AppendResponse, Bytes, Entry, EntryPayload, GroupId, HardState, LogIndex,
    PeerBody, PeerMessage, ReplicaId, SnapshotMeta, SnapshotRequest, Term, VoteRequest,
    VoteResponse,
};
use support::members::{config, membership, ELECTION_TIMEOUT, HEARTBEAT};

/// A time after the election timeout that follows a start.
const LATER: Duration = Duration::from_secs(5);

/// Replica 1 of three, with the initial snapshot at index 1 and entries of the given terms after it.
fn replica(terms: &[u64]) -> Consensus {
    let entries = terms.iter().zip(2..).map(|(term, index)| Entry {
        index: LogIndex(index),
        term: Term(*term),
        payload: EntryPayload::Noop,
    });
    let restored = Restored {
        hard_state: HardState {
            term: Term(terms.last().copied().unwrap_or(1)),
            vote: None,
            commit: LogIndex(1),
        },
        snapshot: Some((meta(1, 1), Vec::new())),
        entries: entries.collect(),
    };
    Consensus::new(config(1, 1, Guards::all()), restored, Duration::ZERO)
}

fn meta(index: u64, term: u64) -> SnapshotMeta {
    SnapshotMeta {
        index: LogIndex(index),
        term: Term(term),
        membership: membership(&[1, 2, 3], &[]),
    }
}

/// Delivers a message and processes the output.
fn step(core: &mut Consensus, at: Duration, from: u64, term: u64, body: PeerBody) -> Ready {
    let message = PeerMessage {
        group: GroupId(7),
        from: ReplicaId(from),
        to: ReplicaId(1),
        term: Term(term),
        body,
    };
    core.step(at, message);
    let ready = core.ready();
    core.synced(at);
    ready
}

fn vote_request(last_index: u64, last_term: u64) -> PeerBody {
    PeerBody::VoteRequest(VoteRequest {
        last_index: LogIndex(last_index),
        last_term: Term(last_term),
    })
}

fn append(previous: (u64, u64), entries: Vec<Entry>, commit: u64) -> PeerBody {
    PeerBody::AppendRequest(AppendRequest {
        previous_index: LogIndex(previous.0),
        previous_term: Term(previous.1),
        entries,
        commit: LogIndex(commit),
        round: 1,
    })
}

fn accept(index: u64, round: u64) -> PeerBody {
    PeerBody::AppendResponse(AppendResponse {
        accepted: true,
        last_index: LogIndex(index),
        round,
    })
}

/// Makes the replica the leader of the next term. The last entry of its log is then the no-op of that term.
fn make_leader(core: &mut Consensus) {
    core.tick(LATER);
    let term = core.term().0 + 1;
    let granted = VoteResponse { granted: true };
    step(
        core,
        LATER,
        2,
        term,
        PeerBody::PreVoteResponse(granted.clone()),
    );
    step(core, LATER, 2, term, PeerBody::VoteResponse(granted));
    assert_eq!(core.role(), Role::Leader);
}

#[test]
fn a_vote_is_granted_only_after_the_election_timeout_and_always_saved() {
    let just_before = ELECTION_TIMEOUT - Duration::from_millis(1);
    // Time of the request, last index and term of the candidate, and whether the vote is granted.
    let table = [
        (just_before, (3, 2), false),
        (ELECTION_TIMEOUT, (3, 2), true),
        (ELECTION_TIMEOUT, (2, 2), false),
        (ELECTION_TIMEOUT, (9, 1), false),
        (ELECTION_TIMEOUT, (1, 3), true),
    ];
    for (at, (index, term), granted) in table {
        let mut core = replica(&[2, 2]);
        let ready = step(&mut core, at, 2, 4, vote_request(index, term));
        let vote = ready.hard_state.and_then(|hard_state| hard_state.vote);
        assert_eq!(vote, granted.then_some(ReplicaId(2)), "at {at:?}");
    }
    let mut core = replica(&[2, 2]);
    step(&mut core, LATER, 2, 4, vote_request(1, 1));
    let ready = step(&mut core, LATER, 3, 4, vote_request(3, 2));
    let saved = ready.hard_state.map(|hard_state| hard_state.vote);
    assert_eq!(saved, Some(Some(ReplicaId(3))), "vote in the current term");
}

#[test]
fn a_leader_commits_earlier_terms_only_through_an_entry_of_its_own() {
    let mut core = replica(&[2, 2]);
    make_leader(&mut core);
    step(&mut core, LATER, 2, 3, accept(3, 1));
    assert_eq!(core.commit(), LogIndex(1));
    let change = membership(&[1, 2, 3], &[4]);
    let refused = core.propose_membership(LATER, change);
    assert_eq!(refused, Err(ProposeError::MembershipBusy));
    step(&mut core, LATER, 2, 3, accept(4, 1));
    assert_eq!(core.commit(), LogIndex(4));
}

#[test]
fn a_leader_counts_its_own_copy_only_once_synced() {
    let initial = SnapshotMeta {
        membership: membership(&[1], &[]),
        ..meta(1, 1)
    };
    let restored = Restored {
        snapshot: Some((initial, Vec::new())),
        ..Restored::default()
    };
    let mut core = Consensus::new(config(1, 1, Guards::all()), restored, Duration::ZERO);
    core.tick(LATER);
    assert_eq!(core.ready().entries.len(), 1);
    assert!(core.ready().committed.is_empty());
    core.propose(LATER, vec![1]).unwrap();
    core.synced(LATER);
    assert_eq!(core.commit(), LogIndex(2), "the command is not synced yet");
    assert_eq!(core.ready().committed.len(), 1);
}

#[test]
fn a_saved_commit_index_covers_no_entry_of_the_same_sync() {
    let mut core = replica(&[2, 2]);
    let entries = vec![Entry {
        index: LogIndex(3),
        term: Term(3),
        payload: EntryPayload::Noop,
    }];
    let ready = step(&mut core, LATER, 2, 3, append((2, 2), entries, 3));
    assert_eq!(ready.committed.len(), 2);
    let saved = ready.hard_state.map(|hard_state| hard_state.commit);
    assert_eq!(
        saved,
        Some(LogIndex(2)),
        "entry 3 replaces an entry of term 2"
    );
}

#[test]
fn a_follower_commits_only_entries_that_match_the_leader() {
    let mut core = replica(&[2, 2, 2]);
    step(&mut core, LATER, 2, 3, append((2, 2), Vec::new(), 4));
    assert_eq!(core.commit(), LogIndex(2));
}

#[test]
fn truncating_the_log_restores_the_previous_membership() {
    let mut core = replica(&[2]);
    let entry = |index, term, payload| Entry {
        index: LogIndex(index),
        term: Term(term),
        payload,
    };
    let added = EntryPayload::Membership(membership(&[1, 2, 3], &[4]));
    let body = append((2, 2), vec![entry(3, 3, added)], 2);
    step(&mut core, LATER, 2, 3, body);
    assert_eq!(core.membership().members.len(), 4);
    let body = append((2, 2), vec![entry(3, 4, EntryPayload::Noop)], 2);
    step(&mut core, LATER, 3, 4, body);
    assert_eq!(core.membership().members.len(), 3);
}

#[test]
fn a_snapshot_is_installed_only_if_complete_intact_and_ahead_of_the_log() {
    // Bytes of the chunk, checksum error, index and term; whether it is installed; last index afterwards.
    let table = [
        (4, 0, (3, 3), true, 3),
        (3, 0, (3, 3), false, 4),
        (4, 1, (3, 3), false, 4),
        (4, 0, (3, 2), false, 4),
    ];
    for (bytes, error, (index, term), installed, last) in table {
        let mut core = replica(&[2, 2, 2]);
        let data = [1, 2, 3, 4];
        let body = PeerBody::SnapshotRequest(SnapshotRequest {
            meta: meta(index, term),
            offset: 0,
            total: 4,
            checksum: crc32fast::hash(&data) ^ error,
            chunk: Bytes(data[..bytes].to_vec()),
            round: 1,
        });
        let ready = step(&mut core, LATER, 2, 3, body);
        assert_eq!(
            ready.snapshot.is_some(),
            installed,
            "{bytes} {error} {index}"
        );
        assert_eq!(core.last_index(), LogIndex(last));
    }
}

#[test]
fn a_new_commit_index_is_sent_before_the_next_heartbeat() {
    let mut core = replica(&[]);
    make_leader(&mut core);
    let ready = step(&mut core, LATER, 2, 2, accept(2, 1));
    let commit_sent_to = |to| {
        ready.messages.iter().any(|message| match &message.body {
            PeerBody::AppendRequest(request) => {
                message.to == ReplicaId(to) && request.commit == LogIndex(2)
            }
            _ => false,
        })
    };
    assert!(commit_sent_to(2));
}

#[test]
fn a_leader_lease_is_shortened_by_both_clocks_drift() {
    for (drift_percent, lease) in [(0, 1000), (5, 904), (10, 818)] {
        let config = Config {
            drift_percent,
            ..config(1, 1, Guards::all())
        };
        assert_eq!(config.leader_lease().as_millis(), lease);
    }
}

#[test]
fn a_rejection_skips_all_entries_of_a_conflicting_term() {
    // The log has entries 2 to 101 of term 2 and 102 to 201 of term 4. Each case has the index and term that
    // the leader probes, and the hint in the response.
    let table = [
        ((300, 5), 201),
        ((150, 5), 101),
        ((101, 5), 1),
        ((150, 3), 101),
        ((150, 1), 1),
    ];
    let terms = [[2; 100], [4; 100]].concat();
    for (previous, hint) in table {
        let mut core = replica(&terms);
        let ready = step(&mut core, LATER, 2, 5, append(previous, Vec::new(), 0));
        let refused = PeerBody::AppendResponse(AppendResponse {
            accepted: false,
            last_index: LogIndex(hint),
            round: 1,
        });
        assert_eq!(ready.messages[0].body, refused, "{previous:?}");
    }
}

#[test]
fn in_flight_batches_and_uncommitted_entries_are_bounded() {
    let mut core = replica(&[]);
    make_leader(&mut core);
    step(&mut core, LATER, 2, 2, accept(2, 1));
    let (mut proposed, mut batches) = (0, 0);
    let refused = loop {
        match core.propose(LATER, vec![0; 1000]) {
            Ok(_) => proposed += 1,
            Err(refused) => break refused,
        }
        let messages = core.ready().messages;
        batches += messages
            .iter()
            .filter(|message| message.to == ReplicaId(2))
            .count();
        core.synced(LATER);
    };
    assert_eq!((proposed, batches), (8192, 16));
    assert_eq!(refused, ProposeError::Overloaded { waiting: 8192 });
}

#[test]
fn an_unresponsive_member_is_sent_entries_once_and_only_heartbeats_afterwards() {
    let mut core = replica(&[]);
    make_leader(&mut core);
    step(&mut core, LATER, 2, 2, accept(2, 1));
    let mut entries_sent = Vec::new();
    for round in 1..10 {
        let at = LATER + HEARTBEAT * round;
        core.propose(at, vec![1]).unwrap();
        step(&mut core, at, 2, 2, accept(2, 1));
        core.tick(at);
        for message in core.ready().messages {
            if let (3, PeerBody::AppendRequest(request)) = (message.to.0, message.body) {
                entries_sent.push(request.entries.len());
            }
        }
        core.synced(at);
    }
    assert_eq!(entries_sent, [0; 9]);
}
