//! What a gateway asks a replica for, against a stand-in that sends what a replica may send.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use grebepin_catalog::{Catalog, Command};
use grebepin_directory::confirmed_state::Confirmation;
use grebepin_directory::link::{FromReplica, OpenEntries, ReplicaAddress, SourceStatus, ToReplica};
use grebepin_gateway::crash_history::CrashHistory;
use grebepin_gateway::follow::{AppliedState, DirectoryClient, ReportContent, Update};
use grebepin_gateway::load::LoadCounts;
use grebepin_gateway::GatewaySettings;
use grebepin_reactor::{encode_frame, take_frame};
use mio::{Events, Poll, Token};

const TIME_LIMIT: Duration = Duration::from_secs(10);
const POLL_TIME: Duration = Duration::from_millis(10);

/// A gateway's client of the directory and the stand-in for its only replica.
struct Harness {
    client: DirectoryClient,
    poll: Poll,
    next_token: usize,
    started: Instant,
    applied: u64,
    replica: TcpStream,
    received: Vec<u8>,
}

fn send_on(stream: &mut TcpStream, frame: &FromReplica) {
    let mut bytes = Vec::new();
    encode_frame(frame, &mut bytes).expect("the frame is encoded");
    stream.write_all(&bytes).expect("the frame is sent");
}

fn whole_state(index: u64) -> FromReplica {
    let mut state = vec![];
    encode_frame(&Catalog::default(), &mut state).expect("the state is encoded");
    FromReplica::Whole { index, state }
}

impl Harness {
    fn start(folder: &Path) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let seed = listener.local_addr().expect("an address");
        let path = folder.join(format!("following-{}.toml", seed.port()));
        let settings = format!(
            "node = \"g\"\nzone = \"z\"\nfront_address = \"127.0.0.1:1\"\nready_address = \"127.0.0.1:2\"\nlink_port = {}\nseeds = [\"127.0.0.1:1\"]\n",
            seed.port()
        );
        std::fs::write(&path, settings).expect("the settings are written");
        let settings = GatewaySettings::load(&path).expect("the settings are valid");
        let mut harness = Self {
            client: DirectoryClient::new(&settings),
            poll: Poll::new().expect("a poll"),
            next_token: 1,
            started: Instant::now(),
            applied: 0,
            // Replaced once the client has connected.
            replica: TcpStream::connect(seed).expect("a connection"),
            received: Vec::new(),
        };
        listener.accept().expect("the own connection");
        harness.step();
        harness.replica = listener.accept().expect("the client connects").0;
        let set = harness.replica.set_nonblocking(true);
        set.expect("a setting");
        harness
    }

    /// Lets the client handle what is due; returns the updates.
    fn step(&mut self) -> Vec<Update> {
        let mut content = (LoadCounts::default(), CrashHistory::default());
        let content = ReportContent {
            load: &mut content.0,
            crashes: &mut content.1,
        };
        let state = AppliedState {
            applied: self.applied,
            is_configured: self.applied > 0,
        };
        let registry = self.poll.registry();
        let now = self.started.elapsed();
        self.client
            .tick(now, registry, &mut self.next_token, content, state);
        let mut events = Events::with_capacity(16);
        let polled = self.poll.poll(&mut events, Some(POLL_TIME));
        polled.expect("the poll works");
        let tokens: Vec<Token> = events.iter().map(|event| event.token()).collect();
        let now = self.started.elapsed();
        let updates = tokens.into_iter().flat_map(|token| {
            let updates = self.client.on_event(now, token, self.applied);
            updates.into_iter()
        });
        updates.collect()
    }

    fn send(&mut self, frame: &FromReplica) {
        send_on(&mut self.replica, frame);
    }

    /// Sends the status of the only voter, which has no contact to a leader and an open entry in its log, and names
    /// relays.
    fn send_open_entry(&mut self, applied: u64, relays: &[String]) {
        let own = self.replica.local_addr().expect("an address");
        let voter = ReplicaAddress {
            address: own.to_string(),
            zone: "z".to_owned(),
            votes: true,
        };
        let command = Command::SetEvacuation {
            zone: "z".to_owned(),
            evacuated: true,
            known_call: None,
        };
        self.send(&FromReplica::Head(SourceStatus {
            applied,
            votes: true,
            relays: relays.to_vec(),
            replicas: vec![voter],
            open_entries: OpenEntries {
                commands: vec![(applied + 1, command)],
                is_truncated: false,
            },
            ..SourceStatus::default()
        }));
    }

    /// Steps until an update matches; returns when.
    fn wait_for(&mut self, matches: impl Fn(&Update) -> bool) -> Duration {
        while self.started.elapsed() < TIME_LIMIT {
            if self.step().iter().any(&matches) {
                return self.started.elapsed();
            }
        }
        panic!("the update did not come");
    }

    fn send_status(&mut self, is_fed: bool, applied: u64) {
        self.send(&FromReplica::Head(SourceStatus {
            is_fed,
            applied,
            ..SourceStatus::default()
        }));
    }

    /// Log index from which on the client requests entries next.
    fn next_request(&mut self) -> u64 {
        while self.started.elapsed() < TIME_LIMIT {
            self.step();
            let mut buffer = [0; 4_096];
            if let Ok(count) = self.replica.read(&mut buffer) {
                self.received.extend_from_slice(&buffer[..count]);
            }
            while let Some(frame) = take_frame(&mut self.received).expect("a frame") {
                if let ToReplica::Follow(follow) = frame {
                    return follow.applied;
                }
            }
        }
        panic!("no entries were requested");
    }
}

/// Guards against a gateway that ignores the state of a replica that has just lost its leader, and stays at its old state
/// until the next change, since the replica takes that state for received.
#[test]
fn a_state_that_was_ignored_is_requested_again_once_its_replica_has_a_leader() {
    let mut harness = Harness::start(Path::new(env!("CARGO_TARGET_TMPDIR")));
    harness.send_status(true, 5);
    assert_eq!(harness.next_request(), 0);
    harness.applied = 5;
    harness.send_status(false, 7);
    harness.send(&whole_state(7));
    for _ in 0..10 {
        let updates = harness.step();
        assert!(updates
            .iter()
            .all(|one| !matches!(one, Update::Snapshot { .. })));
    }
    harness.send_status(true, 7);
    assert_eq!(harness.next_request(), 5);
}

/// Guards against a gateway that goes on refusing what undecided changes touch, although another source has shown that
/// its state contains everything acknowledged.
#[test]
fn a_confirmed_state_ends_undecided_changes_without_a_followed_replica() {
    let mut harness = Harness::start(Path::new(env!("CARGO_TARGET_TMPDIR")));
    harness.applied = 5;
    harness.send_open_entry(5, &[]);
    let undecided_at =
        harness.wait_for(|one| matches!(one, Update::Undecided(changes) if !changes.is_empty()));
    let confirmation = |at: Duration| {
        FromReplica::Confirmed(Confirmation {
            sent_at_ms: at.as_millis() as u64,
            age_ms: 0,
            applied: 5,
        })
    };
    let is_decided = |harness: &Harness| harness.client.is_decided(harness.started.elapsed(), 5);
    harness.send(&confirmation(
        undecided_at.saturating_sub(Duration::from_millis(500)),
    ));
    for _ in 0..10 {
        harness.step();
    }
    assert!(!is_decided(&harness), "confirmed from before the change");
    harness.send(&confirmation(undecided_at + Duration::from_millis(5)));
    for _ in 0..10 {
        harness.step();
    }
    assert!(is_decided(&harness));
}

/// Guards against a gateway that forgets undecided changes because of the state of a relay that is behind itself.
#[test]
fn a_state_from_a_relay_does_not_end_undecided_changes() {
    let mut harness = Harness::start(Path::new(env!("CARGO_TARGET_TMPDIR")));
    let relay = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = relay.local_addr().expect("an address").to_string();
    relay.set_nonblocking(true).expect("a setting");
    harness.applied = 5;
    harness.send_open_entry(5, &[address]);
    harness.wait_for(|one| matches!(one, Update::Undecided(changes) if !changes.is_empty()));
    let mut relay = loop {
        harness.step();
        if let Ok((stream, _)) = relay.accept() {
            break stream;
        }
        assert!(harness.started.elapsed() < TIME_LIMIT, "no relay was asked");
    };
    let status = SourceStatus {
        is_fed: true,
        applied: 6,
        ..SourceStatus::default()
    };
    send_on(&mut relay, &FromReplica::Head(status));
    send_on(&mut relay, &whole_state(6));
    harness.wait_for(|one| {
        matches!(
            one,
            Update::Snapshot {
                undecided: None,
                ..
            }
        )
    });
}

/// Sends a message in each step for a while; returns how long contact has lasted then.
fn contact_after(
    harness: &mut Harness,
    time: Duration,
    message: impl Fn(u64) -> FromReplica,
) -> Option<Duration> {
    let until = harness.started.elapsed() + time;
    for round in 0.. {
        if harness.started.elapsed() > until {
            break;
        }
        harness.send(&message(round));
        harness.step();
        std::thread::sleep(POLL_TIME);
    }
    harness.client.leader_contact(harness.started.elapsed())
}

fn confirmation(sent_at_ms: u64) -> FromReplica {
    FromReplica::Confirmed(Confirmation {
        sent_at_ms,
        age_ms: 0,
        applied: 9,
    })
}

fn status(is_fed: bool) -> FromReplica {
    FromReplica::Head(SourceStatus {
        is_fed,
        applied: 9,
        ..SourceStatus::default()
    })
}

/// Guards against a gateway that hears a replica with a leader, gets no confirmation, and takes itself for cut off.
#[test]
fn statuses_of_a_replica_with_a_leader_are_contact() {
    let mut harness = Harness::start(Path::new(env!("CARGO_TARGET_TMPDIR")));
    harness.applied = 5;
    let time = Duration::from_millis(200);
    let with_leader = contact_after(&mut harness, time, |_| status(true));
    let without_leader = contact_after(&mut harness, time, |_| status(false));
    assert!(with_leader.is_some());
    assert_eq!(without_leader, None);
}

/// Guards against gateways behind one cut that take each other's old confirmations for contact to a leader.
#[test]
fn only_confirmations_of_later_times_are_contact() {
    let mut harness = Harness::start(Path::new(env!("CARGO_TARGET_TMPDIR")));
    harness.applied = 5;
    let time = Duration::from_millis(1_900);
    let repeated = contact_after(&mut harness, time, |_| confirmation(7));
    let later = contact_after(&mut harness, time, |round| confirmation(8 + round));
    assert_eq!(repeated, None);
    assert!(
        later.is_some_and(|held| held > Duration::from_millis(1_500)),
        "{later:?}"
    );
}

/// Guards against a gateway that stood still for a second and refuses the requests that waited meanwhile, although it has
/// read the changes that waited beside them.
#[test]
fn a_standstill_restarts_contact() {
    let mut harness = Harness::start(Path::new(env!("CARGO_TARGET_TMPDIR")));
    harness.applied = 5;
    let time = Duration::from_millis(300);
    let before = contact_after(&mut harness, time, |_| status(true));
    harness.client.note_standstill();
    let now = harness.started.elapsed();
    assert!(before.is_some_and(|held| held > Duration::from_millis(100)));
    assert_eq!(harness.client.leader_contact(now), None);
    let after = contact_after(&mut harness, time / 6, |_| status(true));
    assert!(after.is_some_and(|held| held < before.unwrap_or_default()));
}
