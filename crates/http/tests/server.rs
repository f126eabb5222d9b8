//! What the server answers and when it closes, over real sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

use grebepin_http::{HttpRequest, HttpResponse, HttpServer, ServerHooks, ServerOptions};

/// Far longer than any step of a test takes.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

struct Echo;

impl ServerHooks for Echo {
    fn respond(&self, request: HttpRequest) -> HttpResponse {
        HttpResponse::data(200, "text/plain", request.body)
    }
}

fn start(options: ServerOptions) -> HttpServer<Echo> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listens");
    HttpServer::start(listener, options, Echo).expect("starts")
}

fn connect(server: &HttpServer<Echo>) -> TcpStream {
    let stream = TcpStream::connect(server.address()).expect("connects");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    stream
}

fn statuses(response: &str) -> Vec<&str> {
    let lines = response.lines();
    lines
        .filter_map(|line| line.strip_prefix("HTTP/1.1 "))
        .map(|line| &line[..3])
        .collect()
}

/// Reads until the server closes; a reset counts as that, an elapsed time-out does not.
fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        let reset = error.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(reset, "not closed in time: {error}");
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn bounds_and_forms_of_requests() {
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
        // The server may close before all is written.
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
fn one_connection_over_the_bound_is_closed_and_others_go_on() {
    let server = start(ServerOptions {
        connections: 1,
        ..ServerOptions::default()
    });
    let mut kept = connect(&server);
    let mut ask = || {
        kept.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("writes");
        let mut first = [0; 12];
        kept.read_exact(&mut first).expect("an answer");
        assert_eq!(&first, b"HTTP/1.1 200");
    };
    ask();
    assert_eq!(server.open_connections(), 1);
    assert_eq!(read_to_close(&mut connect(&server)), "");
    server.stop();
    // Stopped: the kept connection ends without being asked.
    assert!(read_to_close(&mut kept).ends_with("\r\n\r\n"));
    server.close();
}
