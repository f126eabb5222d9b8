//! A small HTTP/1.1 server for operators and probes.
//!
//! Invariant: a silent or slow client holds one thread for a bounded time, and no other client waits
//! for it. The library `rouille` can't promise that: its connections queue behind silent ones. Heads
//! are parsed by the library `httparse`.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use grebepin_schema::limits::MAXIMUM_BUNDLE_BYTES;

/// Longest wait for a request on an open connection.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Longest time from a request's first byte to its last, and for an answer to be taken.
const TRANSFER_LIMIT: Duration = Duration::from_secs(10);

const MAXIMUM_HEAD_BYTES: usize = 16 << 10;
const MAXIMUM_HEADERS: usize = 64;
const READ_BYTES: usize = 16 << 10;

/// A whole request.
pub(super) struct HttpRequest {
    pub(super) method: String,
    /// Path without the query.
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    keep_alive: bool,
}

/// An answer.
pub(super) struct HttpAnswer {
    pub(super) status: u16,
    pub(super) content_type: &'static str,
    pub(super) body: Vec<u8>,
}

/// Why a request could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum HttpError {
    /// The connection ended or was too slow.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The head is no HTTP head.
    #[error("not an HTTP request: {0}")]
    Head(#[from] httparse::Error),
    /// The head is over its limit.
    #[error("the head is over {MAXIMUM_HEAD_BYTES} bytes")]
    HeadTooLarge,
    /// The body is over its limit.
    #[error("the body is over {MAXIMUM_BUNDLE_BYTES} bytes")]
    BodyTooLarge,
    /// The body comes without its length.
    #[error("a body needs a Content-Length")]
    NoLength,
}

impl HttpError {
    /// Status of the answer; none when there is nobody to answer.
    fn status(&self) -> Option<u16> {
        match self {
            Self::Io(_) => None,
            Self::Head(_) => Some(400),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
            Self::NoLength => Some(411),
        }
    }
}

/// Answers the requests of one connection until either side closes it.
pub(super) fn serve(
    mut stream: TcpStream,
    answer: impl Fn(&HttpRequest) -> HttpAnswer,
    refuse: impl Fn(u16, String) -> HttpAnswer,
) {
    let mut unread = Vec::new();
    loop {
        let (answer, keep_alive) = match read_request(&mut stream, &mut unread) {
            Ok(Some(request)) => (answer(&request), request.keep_alive),
            Ok(None) => return,
            Err(error) => match error.status() {
                Some(status) => (refuse(status, error.to_string()), false),
                None => return,
            },
        };
        if write_answer(&mut stream, &answer, keep_alive).is_err() || !keep_alive {
            return;
        }
    }
}

/// What the head says.
struct Head {
    method: String,
    path: String,
    bytes: usize,
    body_bytes: usize,
    keep_alive: bool,
    expects_continue: bool,
}

/// The next request; `None` when the client closed the connection before it.
fn read_request(
    stream: &mut TcpStream,
    unread: &mut Vec<u8>,
) -> Result<Option<HttpRequest>, HttpError> {
    if unread.is_empty() && read_some(stream, unread, Instant::now() + IDLE_LIMIT)? == 0 {
        return Ok(None);
    }
    let deadline = Instant::now() + TRANSFER_LIMIT;
    let head = loop {
        if let Some(head) = parse_head(unread)? {
            break head;
        }
        if unread.len() > MAXIMUM_HEAD_BYTES {
            return Err(HttpError::HeadTooLarge);
        }
        read_more(stream, unread, deadline)?;
    };
    if head.expects_continue {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    }
    let end = head.bytes + head.body_bytes;
    while unread.len() < end {
        read_more(stream, unread, deadline)?;
    }
    let rest = unread.split_off(end);
    let body = unread.split_off(head.bytes);
    *unread = rest;
    Ok(Some(HttpRequest {
        method: head.method,
        path: head.path,
        body,
        keep_alive: head.keep_alive,
    }))
}

fn parse_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(bytes)? else {
        return Ok(None);
    };
    let path = request.path.unwrap_or_default();
    let mut head = Head {
        method: request.method.unwrap_or_default().to_owned(),
        path: path.split('?').next().unwrap_or_default().to_owned(),
        bytes: length,
        body_bytes: 0,
        keep_alive: request.version == Some(1),
        expects_continue: false,
    };
    for header in request.headers.iter() {
        read_header(&mut head, header)?;
    }
    Ok(Some(head))
}

fn read_header(head: &mut Head, header: &httparse::Header<'_>) -> Result<(), HttpError> {
    let value = String::from_utf8_lossy(header.value);
    let value = value.trim().to_ascii_lowercase();
    match header.name.to_ascii_lowercase().as_str() {
        "content-length" => {
            head.body_bytes = value.parse().map_err(|_| HttpError::NoLength)?;
            if head.body_bytes > MAXIMUM_BUNDLE_BYTES {
                return Err(HttpError::BodyTooLarge);
            }
        }
        "transfer-encoding" => return Err(HttpError::NoLength),
        "connection" if value == "close" => head.keep_alive = false,
        "expect" => head.expects_continue = value == "100-continue",
        _ => {}
    }
    Ok(())
}

fn read_more(
    stream: &mut TcpStream,
    unread: &mut Vec<u8>,
    deadline: Instant,
) -> Result<(), HttpError> {
    match read_some(stream, unread, deadline)? {
        0 => Err(HttpError::Io(io::ErrorKind::UnexpectedEof.into())),
        _ => Ok(()),
    }
}

fn read_some(
    stream: &mut TcpStream,
    unread: &mut Vec<u8>,
    deadline: Instant,
) -> Result<usize, HttpError> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(HttpError::Io(io::ErrorKind::TimedOut.into()));
    }
    stream.set_read_timeout(Some(left))?;
    let mut buffer = [0; READ_BYTES];
    let count = stream.read(&mut buffer)?;
    unread.extend_from_slice(&buffer[..count]);
    Ok(count)
}

fn write_answer(stream: &mut TcpStream, answer: &HttpAnswer, keep_alive: bool) -> io::Result<()> {
    stream.set_write_timeout(Some(TRANSFER_LIMIT))?;
    let connection = match keep_alive {
        true => "keep-alive",
        false => "close",
    };
    let mut bytes = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n",
        answer.status,
        reason(answer.status),
        answer.content_type,
        answer.body.len(),
    )
    .into_bytes();
    bytes.extend_from_slice(&answer.body);
    stream.write_all(&bytes)
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
