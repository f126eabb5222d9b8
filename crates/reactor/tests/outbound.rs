//! Output of a connection.

use std::io::Read;
use std::net::{TcpListener, TcpStream};

use grebepin_reactor::http::{Body, RequestLimits, RequestReader};
use grebepin_reactor::{Connection, MemoryAccount};
use mio::{Poll, Token};

const BODY_BYTES: usize = 3 << 20;

/// A connection and the side that reads what is sent on it.
fn pair(poll: &Poll) -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let connection = Connection::connect(address, None, poll.registry(), Token(0));
    let (reader, _) = listener.accept().expect("accepted");
    (connection.expect("begun"), reader)
}

/// Sends all output while the other side reads; returns what it read.
fn exchange(connection: &mut Connection, reader: &mut TcpStream, expected: usize) -> Vec<u8> {
    reader.set_nonblocking(true).expect("set");
    let mut received = Vec::new();
    while received.len() < expected {
        let _ = connection.flush().expect("open");
        let _ = reader.read_to_end(&mut received);
    }
    received
}

#[test]
fn large_bodies_are_sent_between_the_bytes_that_were_queued_before_and_after_them() {
    let poll = Poll::new().expect("a poll");
    let (mut connection, mut reader) = pair(&poll);
    let large = Body::from(vec![b'x'; BODY_BYTES]);
    let small = Body::from(b"small".to_vec());
    connection.queue(b"one ");
    connection.queue_body(&large);
    connection.queue(b" two ");
    connection.queue_body(&small);
    connection.queue_body(&large);
    let expected = [b"one ", &*large, b" two small", &*large].concat();
    assert_eq!(connection.unsent(), expected.len());
    assert!(
        connection.held_bytes() < BODY_BYTES,
        "bodies are not copied"
    );
    let received = exchange(&mut connection, &mut reader, expected.len());
    assert!(received == expected);
    assert_eq!(connection.unsent(), 0);
    connection.queue(b"again");
    let received = exchange(&mut connection, &mut reader, 5);
    assert_eq!(received, b"again");
}

/// Reads a request with this framing in pieces; returns the largest charge meanwhile.
fn largest_charge(account: &MemoryAccount, head: &str, bytes: &[u8]) -> usize {
    let limits = RequestLimits {
        head_bytes: 16 << 10,
        body_bytes: u64::MAX,
    };
    let mut reader = RequestReader::new(account.clone());
    let mut buffer = head.as_bytes().to_vec();
    let mut largest = 0;
    for piece in bytes.chunks(64 << 10) {
        buffer.extend_from_slice(piece);
        let request = reader.take(&mut buffer, limits).expect("well formed");
        largest = largest.max(account.held());
        if let Some(request) = request {
            assert_eq!(request.body.len(), BODY_BYTES);
            assert_eq!(request.body.charged_bytes(), account.held());
        }
    }
    assert_eq!(account.held(), 0, "all is given back");
    largest
}

/// Guards against bodies that take twice their size while they are read.
#[test]
fn a_body_is_charged_with_little_more_than_its_size() {
    let account = MemoryAccount::default();
    let body = vec![b'x'; BODY_BYTES];
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let with_length = largest_charge(&account, &head, &body);
    assert!(with_length < BODY_BYTES + 1_000, "{with_length}");
    let chunk = [b"10000\r\n", vec![b'x'; 64 << 10].as_slice(), b"\r\n"].concat();
    let mut chunks = chunk.repeat(BODY_BYTES / (64 << 10));
    chunks.extend_from_slice(b"0\r\n\r\n");
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let in_chunks = largest_charge(&account, head, &chunks);
    assert!(in_chunks < BODY_BYTES / 4 * 5 + 100_000, "{in_chunks}");
}
