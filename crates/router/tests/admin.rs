//! The admin server with silent clients and more clients than the limit.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;

use support::{ready_router, BackEnd, Caller};

/// Far more than a small thread pool serves at once, and fewer than the connection limit.
const SILENT_CLIENTS: usize = 100;

/// More than the connection limit.
const SURPLUS_CLIENTS: usize = 200;

/// Bytes that clients send before they stop sending.
const STARTS: [&str; 3] = [
    "",
    "GET /li",
    "GET /live HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
];

#[test]
fn silent_clients_do_not_delay_a_probe() {
    let (_control, router) = ready_router(&[BackEnd::unreachable_address()]);
    let connect = || TcpStream::connect(router.admin_address()).expect("connects");
    let silent: Vec<TcpStream> = (0..SILENT_CLIENTS).map(|_| connect()).collect();
    for (number, mut stream) in silent.iter().enumerate() {
        let start = STARTS[number % STARTS.len()];
        stream.write_all(start.as_bytes()).ok();
    }
    let mut probe = Caller::connect(router.admin_address());
    probe.send(b"GET /live HTTP/1.1\r\n\r\n");
    let reply = probe.read("GET").expect("an answer");
    assert_eq!(reply.head.status, 200);
    drop(silent);
    router.stop();
}

#[test]
fn a_client_above_the_limit_is_disconnected_at_once() {
    let (_control, router) = ready_router(&[BackEnd::unreachable_address()]);
    let connect = || TcpStream::connect(router.admin_address()).expect("connects");
    let clients: Vec<TcpStream> = (0..SURPLUS_CLIENTS).map(|_| connect()).collect();
    let mut last = clients.last().expect("clients");
    let mut byte = [0];
    last.set_read_timeout(Some(support::generous_limit().idle))
        .expect("a timeout");
    assert!(
        matches!(last.read(&mut byte), Ok(0)),
        "connection is closed"
    );
    router.stop();
}
