use std::net::TcpListener;

use mio::Poll;

use super::*;

fn connection(poll: &Poll, listener: &TcpListener, token: Token, server: &InstanceId) -> Upstream {
    let address = listener.local_addr().expect("bound");
    let connection = Connection::connect(address, None, poll.registry(), token).expect("begun");
    Upstream {
        connection,
        server: server.clone(),
        connected: true,
        reused: false,
        request: None,
        crash_probe: None,
        reader: ResponseReader::default(),
        foreign_responses: 0,
        idle_since: Duration::ZERO,
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    }
}

#[test]
fn only_connections_that_rest_at_the_server_itself_are_named() {
    let poll = Poll::new().expect("a poll");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (one, other) = (InstanceId::new("i-1"), InstanceId::new("i-2"));
    let mut upstreams = Upstreams::default();
    for (number, server) in [&one, &one, &one, &other].into_iter().enumerate() {
        let token = Token(number);
        upstreams.add(token, connection(&poll, &listener, token, server));
        upstreams.release(token, Duration::ZERO, None);
    }
    let busy = upstreams.take_idle(&one, Duration::ZERO, &[]);
    assert_eq!(busy, Some(Token(2)));
    assert_eq!(upstreams.idle_connections(&one), [Token(0), Token(1)]);
    for token in upstreams.idle_connections(&one) {
        upstreams.remove(token);
    }
    assert_eq!(upstreams.idle_connections(&one), []);
    assert_eq!(upstreams.take_idle(&one, Duration::ZERO, &[]), None);
    assert_eq!(upstreams.idle_connections(&other), [Token(3)]);
}

/// Guards against a sum of times that overflows and ends the process.
#[test]
fn an_idle_timeout_without_limit_does_not_overflow() {
    let poll = Poll::new().expect("a poll");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let server = InstanceId::new("i-1");
    let (token, later) = (Token(0), Duration::from_secs(3_600));
    let mut upstreams = Upstreams::default();
    upstreams.add(token, connection(&poll, &listener, token, &server));
    upstreams.release(token, Duration::from_secs(1), Some(Duration::MAX));
    assert_eq!(upstreams.expired(later, |_| true), []);
    assert_eq!(upstreams.take_idle(&server, later, &[]), Some(token));
}

/// Guards against a surplus response that is taken for the response to a retry with the same id.
#[test]
fn a_request_gets_no_connection_that_has_carried_it() {
    let poll = Poll::new().expect("a poll");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let server = InstanceId::new("i-1");
    let mut upstreams = Upstreams::default();
    for token in [Token(0), Token(1)] {
        upstreams.add(token, connection(&poll, &listener, token, &server));
        upstreams.release(token, Duration::ZERO, None);
    }
    let mut carried = Vec::new();
    for expected in [Some(Token(1)), Some(Token(0)), None] {
        let taken = upstreams.take_idle(&server, Duration::ZERO, &carried);
        assert_eq!(taken, expected);
        if let Some(token) = taken {
            carried.push(token);
            assert!(!upstreams.is_idle_at(token, &server));
            upstreams.release(token, Duration::ZERO, None);
            assert!(upstreams.is_idle_at(token, &server));
        }
    }
}
