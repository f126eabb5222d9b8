//! Output of a connection that was not sent yet.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};

use crate::http::Body;

/// Size in bytes from which a body is sent from where it is held. Copying a smaller one costs less than another write.
const MIN_SHARED_BYTES: usize = 16 << 10;

/// Bytes that were written in place, and the large body that follows them.
#[derive(Debug)]
struct Segment {
    bytes: Vec<u8>,
    body: Body,
}

impl Segment {
    fn len(&self) -> usize {
        self.bytes.len() + self.body.len()
    }

    /// The bytes from `start` on that lie together.
    fn from(&self, start: usize) -> &[u8] {
        match start.checked_sub(self.bytes.len()) {
            None => &self.bytes[start..],
            Some(start) => &self.body[start..],
        }
    }
}

/// Output in order. Large bodies are not copied.
#[derive(Debug, Default)]
pub(crate) struct Outbound {
    segments: VecDeque<Segment>,
    /// Bytes after the last segment.
    tail: Vec<u8>,
    /// Bytes of the first segment, or of the tail if there is none, that were sent.
    sent: usize,
}

impl Outbound {
    /// Buffer at the end of the output, for writing in place.
    pub(crate) fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.tail
    }

    /// Appends a body.
    pub(crate) fn push_body(&mut self, body: &Body) {
        if body.len() < MIN_SHARED_BYTES {
            return self.tail.extend_from_slice(body);
        }
        self.segments.push_back(Segment {
            bytes: std::mem::take(&mut self.tail),
            body: body.clone(),
        });
    }

    /// Number of bytes that were not sent.
    pub(crate) fn unsent(&self) -> usize {
        let segments: usize = self.segments.iter().map(Segment::len).sum();
        segments + self.tail.len() - self.sent
    }

    /// Capacity of the buffers in bytes. Large bodies are charged where they were read.
    pub(crate) fn capacity(&self) -> usize {
        let segments = self.segments.iter().map(|one| one.bytes.capacity());
        segments.sum::<usize>() + self.tail.capacity()
    }

    /// Frees the buffer if it is empty and larger than `kept`.
    pub(crate) fn trim(&mut self, kept: usize) {
        if self.tail.is_empty() && self.tail.capacity() > kept {
            self.tail = Vec::new();
        }
    }

    /// Writes as much as the stream accepts; returns whether all of it was written.
    ///
    /// # Errors
    /// The stream has failed.
    pub(crate) fn write_to(&mut self, stream: &mut impl Write) -> io::Result<bool> {
        loop {
            let rest = match self.segments.front() {
                Some(first) => first.from(self.sent),
                None => &self.tail[self.sent..],
            };
            if rest.is_empty() {
                self.sent = 0;
                if self.segments.pop_front().is_some() {
                    continue;
                }
                self.tail.clear();
                return Ok(true);
            }
            match stream.write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.sent += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::NotConnected => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }
}
