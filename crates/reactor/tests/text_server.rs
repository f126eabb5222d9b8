//! The server of readiness checks and metrics.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use grebepin_reactor::{TextResponse, TextServer};
use mio::{Events, Poll, Token};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// More than the system buffers of a connection that is not read.
const BODY_BYTES: usize = 8 << 20;
const REQUESTS: usize = 20;

const PATIENCE: Duration = Duration::from_secs(10);

struct Served {
    poll: Poll,
    server: TextServer,
    address: SocketAddr,
    next_token: usize,
    /// Number of requests that were handled.
    handled: Cell<usize>,
    body: String,
}

impl Served {
    fn start(body: String) -> Self {
        let poll = Poll::new().expect("a poll");
        let free = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = free.local_addr().expect("bound");
        drop(free);
        let server = TextServer::listen(address, poll.registry(), Token(0)).expect("listens");
        Self {
            poll,
            server,
            address,
            next_token: 1,
            handled: Cell::new(0),
            body,
        }
    }

    /// Handles events until none comes for a moment.
    fn settle(&mut self, now: Duration) {
        let mut events = Events::with_capacity(256);
        loop {
            let pause = Duration::from_millis(100);
            self.poll.poll(&mut events, Some(pause)).expect("polled");
            if events.is_empty() {
                return;
            }
            for event in &events {
                let respond = || {
                    self.handled.set(self.handled.get() + 1);
                    TextResponse {
                        status: 200,
                        body: self.body.clone(),
                    }
                };
                let registry = self.poll.registry();
                let next_token = &mut self.next_token;
                let token = event.token();
                self.server
                    .on_event(now, token, registry, next_token, respond);
            }
        }
    }
}

/// Guards against a server whose memory is used up by a client that sends requests and does not read.
#[test]
fn requests_of_a_client_that_does_not_read_wait() {
    let mut served = Served::start("x".repeat(BODY_BYTES));
    let mut client = TcpStream::connect(served.address).expect("connected");
    client.write_all(&REQUEST.repeat(REQUESTS)).expect("sent");
    served.settle(Duration::ZERO);
    let unread = served.handled.get();
    assert!(
        unread <= REQUESTS / 4,
        "{unread} of {REQUESTS} were handled"
    );
    client.set_nonblocking(true).expect("set");
    let started = Instant::now();
    let mut received = 0;
    let mut piece = vec![0; 1 << 20];
    while received < REQUESTS * BODY_BYTES && started.elapsed() < PATIENCE {
        served.settle(Duration::ZERO);
        while let Ok(count @ 1..) = client.read(&mut piece) {
            received += count;
        }
    }
    assert_eq!(
        served.handled.get(),
        REQUESTS,
        "all are answered in the end"
    );
}

/// Guards against a readiness check that finds no connection because others hold all and send nothing.
#[test]
fn a_new_connection_takes_the_place_of_the_one_that_was_used_longest_ago() {
    let mut served = Served::start(String::new());
    let mut idle = Vec::new();
    for at in 0..100 {
        idle.push(TcpStream::connect(served.address).expect("connected"));
        served.settle(Duration::from_millis(at));
    }
    let mut check = TcpStream::connect(served.address).expect("connected");
    check.write_all(REQUEST).expect("sent");
    served.settle(Duration::from_millis(200));
    check.set_read_timeout(Some(PATIENCE)).expect("set");
    let mut answer = [0; 12];
    check.read_exact(&mut answer).expect("answered");
    assert_eq!(&answer, b"HTTP/1.1 200");
}
