//! What a gateway sends to another one that follows it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use grebepin_catalog::{Catalog, Command, Entry};
use grebepin_directory::link::{Follow, FromReplica, ToReplica};
use grebepin_gateway::relay::{Relay, RelayedState};
use grebepin_gateway::table::Table;
use grebepin_gateway::undecided::UndecidedChanges;
use grebepin_reactor::{encode_frame, take_frame};
use mio::{Events, Poll, Token};

const LISTENER: Token = Token(0);
const TIME_LIMIT: Duration = Duration::from_secs(10);
const POLL_TIME: Duration = Duration::from_millis(10);

/// Log index of the state that the relay starts with.
const FIRST: u64 = 100;

fn entry(index: u64) -> (u64, Entry) {
    let command = Command::SetEvacuation {
        zone: format!("zone-{index}"),
        evacuated: true,
        known_call: None,
    };
    let commands = vec![command];
    (index, Entry { commands })
}

/// A relay that has applied entries up to an index after its first state.
fn relay_at(index: u64, poll: &Poll, port: u16) -> (Relay, Table) {
    let address = ([127, 0, 0, 1], port).into();
    let mut relay = Relay::listen(address, poll.registry(), LISTENER).expect("a free port");
    let mut table = Table::new("g", "z");
    table.replace(FIRST, Catalog::default(), UndecidedChanges::default());
    for index in FIRST + 1..=index {
        let entries = [entry(index)];
        table.apply(&entries);
        relay.feed(&entries, &table);
    }
    (relay, table)
}

/// The frames that a follower with a state of this index gets first, without the status.
fn answer_to(applied: u64) -> FromReplica {
    let mut poll = Poll::new().expect("a poll");
    let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = probe.local_addr().expect("an address");
    drop(probe);
    let (mut relay, table) = relay_at(FIRST + 50, &poll, address.port());
    let mut follower = TcpStream::connect(address).expect("a connection");
    follower.set_nonblocking(true).expect("a setting");
    let follow = ToReplica::Follow(Follow {
        node: "f".to_owned(),
        applied,
    });
    let mut bytes = Vec::new();
    encode_frame(&follow, &mut bytes).expect("the frame is encoded");
    follower.write_all(&bytes).expect("the frame is sent");
    let (mut next_token, mut received) = (1, Vec::new());
    let started = Instant::now();
    while started.elapsed() < TIME_LIMIT {
        let mut events = Events::with_capacity(16);
        poll.poll(&mut events, Some(POLL_TIME))
            .expect("the poll works");
        let now = started.elapsed();
        for event in &events {
            match event.token() {
                LISTENER => relay.accept(now, poll.registry(), &mut next_token),
                token => relay.on_event(
                    now,
                    token,
                    RelayedState {
                        table: &table,
                        is_fed: true,
                        age: Some(Duration::ZERO),
                    },
                ),
            }
        }
        let mut buffer = [0; 4_096];
        if let Ok(count) = follower.read(&mut buffer) {
            received.extend_from_slice(&buffer[..count]);
        }
        while let Some(frame) = take_frame::<FromReplica>(&mut received).expect("a frame") {
            let frame = frame.unpacked().expect("a readable frame");
            if !matches!(frame, FromReplica::Head(_)) {
                return frame;
            }
        }
    }
    panic!("nothing was sent");
}

/// Guards against a relay that sends its whole state to a gateway that lacks a few entries, which takes seconds over a
/// full link.
#[test]
fn a_follower_that_lacks_recent_entries_gets_only_these() {
    match answer_to(FIRST + 20) {
        FromReplica::Entries(entries) => {
            let indexes: Vec<u64> = entries.iter().map(|(index, _)| *index).collect();
            let wanted: Vec<u64> = (FIRST + 21..=FIRST + 50).collect();
            assert_eq!(indexes, wanted);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_follower_that_lacks_more_gets_the_whole_state() {
    for applied in [1, FIRST - 1] {
        assert!(matches!(
            answer_to(applied),
            FromReplica::Whole { index, .. } if index == FIRST + 50
        ));
    }
}
