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
        flight: None,
        shows_crash_by: None,
        reader: ResponseReader::default(),
        rested_since: Duration::ZERO,
        rest_limit: DEFAULT_REST,
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
        upstreams.rest(token, Duration::ZERO, &Fields::default());
    }
    let busy = upstreams.take_resting(&one, Duration::ZERO);
    assert_eq!(busy, Some(Token(2)));
    assert_eq!(upstreams.resting_at(&one), [Token(0), Token(1)]);
    for token in upstreams.resting_at(&one) {
        upstreams.remove(token);
    }
    assert_eq!(upstreams.resting_at(&one), []);
    assert_eq!(upstreams.take_resting(&one, Duration::ZERO), None);
    assert_eq!(upstreams.resting_at(&other), [Token(3)]);
}
