//! Responses of the admin interface to malformed and unusual requests.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

use support::group::{LoopbackGroup, PATIENCE};

/// Sends bytes and reads until the replica closes the connection.
fn exchange(group: &LoopbackGroup, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(group.admin(0)).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    // A replica that rejects the head may close the connection before everything is written.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn statuses(answer: &str) -> Vec<&str> {
    answer
        .lines()
        .filter_map(|line| line.strip_prefix("HTTP/1.1 "))
        .map(|line| &line[..3])
        .collect()
}

#[test]
fn malformed_requests_get_the_right_status() {
    let group = LoopbackGroup::start(1);
    let long_header = format!("GET /live HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(40_000));
    let many_headers = format!("GET /live HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(100));
    let cases: [(&str, &str, &[&str]); 10] = [
        ("not HTTP", "\u{1}\u{2}\u{3}\r\n\r\n", &["400"]),
        ("an endless header", &long_header, &["431"]),
        ("too many headers", &many_headers, &["400"]),
        (
            "a body without its length",
            "POST /v1/bundles HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            &["411"],
        ),
        (
            "a length that is none",
            "POST /v1/bundles HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            &["411"],
        ),
        (
            "a body over the limit",
            "POST /v1/bundles HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
            &["413"],
        ),
        (
            "a body that is no JSON",
            "POST /v1/found HTTP/1.1\r\nContent-Length: 2\r\n\r\n{]",
            &["400"],
        ),
        (
            "a body after an expectation",
            "POST /v1/found HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}",
            &["100", "400"],
        ),
        (
            "two requests on one connection",
            "GET /live HTTP/1.1\r\n\r\nGET /v1/identity HTTP/1.1\r\n\r\n",
            &["200", "200"],
        ),
        (
            "HTTP/1.0 ends the connection",
            "GET /live HTTP/1.0\r\n\r\nGET /live HTTP/1.0\r\n\r\n",
            &["200"],
        ),
    ];
    for (case, request, expected) in cases {
        let answer = exchange(&group, request.as_bytes());
        assert_eq!(statuses(&answer), expected, "{case}: {answer}");
    }
    assert_eq!(
        exchange(&group, b"GET /li"),
        "",
        "an incomplete request must get no response"
    );
}
