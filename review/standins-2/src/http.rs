//! Just enough of HTTP/1.1 for clients, servers and the operator.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.head, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Value of a header field.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    fields
        .find(|(field, _)| field.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

/// Sends a request on a new connection and reads the response within a time.
pub fn exchange(address: &str, request: &[u8], limit: Duration) -> Result<Response, String> {
    let until = Instant::now() + limit;
    let address: SocketAddr = address.parse().map_err(|_| "bad address".to_owned())?;
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(|one| one.to_string())?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(limit));
    stream.write_all(request).map_err(|one| one.to_string())?;
    read_response(&mut stream, until)
}

/// Reads a response with a length.
pub fn read_response(stream: &mut TcpStream, until: Instant) -> Result<Response, String> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let mut expected: Option<(usize, usize)> = None;
    loop {
        if expected.is_none() {
            if let Some(end) = find(&bytes, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let length = field(&head, "content-length").and_then(|text| text.parse().ok());
                expected = Some((end + 4, length.unwrap_or(0)));
            }
        }
        if let Some((start, length)) = expected {
            if bytes.len() >= start + length {
                let head = String::from_utf8_lossy(&bytes[..start]).into_owned();
                let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
                return Ok(Response {
                    status: status.ok_or("no status")?,
                    head,
                    body: bytes[start..start + length].to_vec(),
                });
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".to_owned());
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => return Err("closed without a complete answer".to_owned()),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => return Err(error.to_string()),
        }
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// A call of the operator or of a server.
pub fn call(address: &str, name: &str, of: &str, body: &str, limit: Duration) -> Result<Response, String> {
    let target = match of.is_empty() {
        true => format!("/rpc?call={name}"),
        false => format!("/rpc?call={name}&of={of}"),
    };
    let request = format!(
        "POST {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    exchange(address, request.as_bytes(), limit)
}
