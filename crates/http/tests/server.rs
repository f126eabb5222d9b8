//! Responses and closing of connections, tested over real sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use grebepin_http::{HttpRequest, HttpResponse, HttpServer, ServerHooks, ServerOptions};

/// Read timeout that no step of a test reaches unless the server hangs.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

struct Echo;

impl ServerHooks for Echo {
    fn respond(&self, request: HttpRequest) -> HttpResponse {
        HttpResponse::data(200, "text/plain", request.body)
    }
}

fn start(options: ServerOptions) -> HttpServer<Echo> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the port is bound");
    HttpServer::start(listener, options, Echo).expect("the server starts")
}

fn connect(server: &HttpServer<Echo>) -> TcpStream {
    let stream = TcpStream::connect(server.address()).expect("the server accepts");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the timeout is set");
    stream
}

fn statuses(response: &str) -> Vec<&str> {
    let lines = response.lines();
    lines
        .filter_map(|line| line.strip_prefix("HTTP/1.1 "))
        .map(|line| &line[..3])
        .collect()
}

/// Reads until the server closes the connection. A reset counts as closing; an expired timeout does not.
fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        let reset = error.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(reset, "the connection was not closed in time: {error}");
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn statuses_of_valid_malformed_and_oversized_requests() {
    let server = start(ServerOptions {
        maximum_head: 200,
        maximum_headers: 2,
        maximum_body: 4,
        ..ServerOptions::default()
    });
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(200));
    let cases: [(&str, &[&str]); 13] = [
        (
            "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            &["200", "200"],
        ),
        ("GET / HTTP/1.0\r\n\r\nGET / HTTP/1.0\r\n\r\n", &["200"]),
        (
            "GET / HTTP/1.1\r\nConnection: close\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            &["200"],
        ),
        (
            "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}",
            &["100", "200"],
        ),
        ("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", &["413"]),
        ("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", &["411"]),
        (
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            &["400"],
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            &["411"],
        ),
        ("GET / HTTP/1.1\r\na: 1\r\nb: 2\r\nc: 3\r\n\r\n", &["400"]),
        ("\r\nGET / HTTP/1.1\n\n", &["200"]),
        ("nonsense\r\n\r\n", &["400"]),
        ("GET /", &[]),
        (&long, &["431"]),
    ];
    for (request, expected) in cases {
        let mut stream = connect(&server);
        // The server may close the connection before the whole request is written.
        stream.write_all(request.as_bytes()).ok();
        stream.shutdown(Shutdown::Write).ok();
        let response = read_to_close(&mut stream);
        assert_eq!(statuses(&response), expected, "{request}: {response}");
    }
    server.close();
}

#[test]
fn silent_and_slow_peers_are_closed() {
    let short = Duration::from_millis(30);
    let server = start(ServerOptions {
        idle_timeout: Some(short),
        transfer_timeout: short,
        ..ServerOptions::default()
    });
    for start in [
        "",
        "GET /",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n12",
    ] {
        let mut stream = connect(&server);
        stream.write_all(start.as_bytes()).ok();
        assert_eq!(read_to_close(&mut stream), "", "{start}");
    }
    server.close();
}

#[test]
fn a_connection_over_the_limit_is_closed_and_others_continue() {
    let server = start(ServerOptions {
        connections: 1,
        ..ServerOptions::default()
    });
    let mut kept = connect(&server);
    let mut ask = || {
        kept.write_all(b"GET / HTTP/1.1\r\n\r\n")
            .expect("the request is sent");
        let mut first = [0; 12];
        kept.read_exact(&mut first).expect("a response");
        assert_eq!(&first, b"HTTP/1.1 200");
    };
    ask();
    assert_eq!(server.open_connections(), 1);
    assert_eq!(read_to_close(&mut connect(&server)), "");
    server.stop();
    // The server is stopped: the idle connection is closed without another request.
    assert!(read_to_close(&mut kept).ends_with("\r\n\r\n"));
    server.close();
}
