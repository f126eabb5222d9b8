//! HTTP/1.1 over blocking sockets, for stand-ins.

use std::io::{Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the next message with a stated length; `None` at the end of the connection.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Message>> {
    loop {
        if let Some(message) = take_message(buffer) {
            return Ok(Some(message));
        }
        let mut bytes = [0; 16 << 10];
        match stream.read(&mut bytes)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&bytes[..count]),
        }
    }
}

fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    let mut message = Message {
        start,
        fields: fields.collect(),
        body: Vec::new(),
    };
    let length = message.field("Content-Length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let whole = end + 4 + length;
    if buffer.len() < whole {
        return None;
    }
    message.body = buffer[end + 4..whole].to_vec();
    buffer.drain(..whole);
    Some(message)
}

/// Connects with a time limit.
pub fn connect(to: SocketAddr, limit: Duration) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a whole request on a new connection and returns its answer, which must come within `limit`.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> std::io::Result<Message> {
    let until = Instant::now() + limit;
    let mut stream = connect(to, limit)?;
    stream.write_all(request)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut buffer = Vec::new();
    let answer = read_message(&mut stream, &mut buffer)?;
    answer.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
}

/// A POST request with a JSON body to a control address.
pub fn control_call(to: SocketAddr, call: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST /rpc?call={call} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}
