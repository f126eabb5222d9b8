//! Memory that a connection holds, and the end of its peer's side.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use grebepin_reactor::{Connection, ReadOutcome};
use mio::{Events, Poll, Token};

/// Both ends of a connection over loopback; the first is the tested one.
fn pair(poll: &Poll) -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let other = TcpStream::connect(listener.local_addr().expect("bound")).expect("up");
    let (accepted, _) = listener.accept().expect("accepted");
    accepted.set_nonblocking(true).expect("set");
    let stream = mio::net::TcpStream::from_std(accepted);
    let connection = Connection::register(stream, poll.registry(), Token(0)).expect("registered");
    (connection, other)
}

/// Reads until at least `bytes` bytes were received.
fn fill(connection: &mut Connection, bytes: usize) {
    while connection.inbound.len() < bytes {
        let outcome = connection.fill(1 << 20).expect("read");
        assert_eq!(outcome, ReadOutcome::Open);
    }
}

#[test]
fn an_idle_connection_frees_large_buffers() {
    let poll = Poll::new().expect("a poll");
    let (mut connection, mut other) = pair(&poll);
    for message_bytes in [600, 5_000, 60_000] {
        other.write_all(&vec![7; message_bytes]).expect("written");
        fill(&mut connection, message_bytes);
        assert!(connection.inbound.iter().all(|byte| *byte == 7));
        connection.inbound.clear();
        connection.trim();
        let held = connection.held_bytes();
        assert!(held <= 1_024, "{held} after {message_bytes}");
    }
}

#[test]
fn a_buffer_grows_only_by_the_received_bytes() {
    let poll = Poll::new().expect("a poll");
    let (mut connection, mut other) = pair(&poll);
    other.write_all(&[7; 500]).expect("written");
    fill(&mut connection, 500);
    assert!(connection.held_bytes() <= 1_024);
}

/// Guards against an end that is not seen because it came with the last bytes: no event follows for it.
#[test]
fn an_end_that_came_with_the_last_bytes_is_seen() {
    let mut poll = Poll::new().expect("a poll");
    let (mut connection, mut other) = pair(&poll);
    other.write_all(&[7; 500]).expect("written");
    drop(other);
    let mut events = Events::with_capacity(4);
    while !events.iter().any(mio::event::Event::is_read_closed) {
        poll.poll(&mut events, None).expect("polled");
    }
    connection.note_read_closed();
    let outcome = connection.fill(1 << 20).expect("read");
    assert_eq!(outcome, ReadOutcome::Closed);
    assert_eq!(connection.inbound.len(), 500);
    assert!(connection.is_read_closed());
}
