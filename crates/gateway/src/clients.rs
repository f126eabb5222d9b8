//! Connections of clients.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_reactor::http::{BadRequest, Request, RequestLimits, RequestReader};
use grebepin_reactor::{Connection, ReadOutcome};
use mio::Token;

use crate::flight::FlightId;

/// Bytes taken in before the request ahead is answered.
const BUFFER_LIMIT: usize = 256 << 10;

/// A client's connection.
#[derive(Debug)]
pub struct Client {
    /// The connection.
    pub connection: Connection,
    reader: RequestReader,
    /// Request being answered.
    pub flight: Option<FlightId>,
    /// Whether the client keeps the connection.
    pub keeps_alive: bool,
    /// Whether the connection ends once everything is sent.
    pub closing: bool,
    /// When the first byte of the request being read came.
    pub request_began: Option<Duration>,
    /// When the last answer was sent, or the connection came.
    pub rested_since: Duration,
}

impl Client {
    /// A connection that just came.
    pub fn new(connection: Connection, now: Duration) -> Self {
        Self {
            connection,
            reader: RequestReader::default(),
            flight: None,
            keeps_alive: true,
            closing: false,
            request_began: None,
            rested_since: now,
        }
    }

    /// Takes in what arrived; whether the client is still there.
    pub fn fill(&mut self, limit: usize) -> bool {
        let limit = match self.flight {
            Some(_) => BUFFER_LIMIT,
            None => limit.max(BUFFER_LIMIT),
        };
        !matches!(
            self.connection.fill(limit),
            Ok(ReadOutcome::Closed) | Err(_)
        )
    }

    /// The next whole request, unless one is being answered.
    ///
    /// # Errors
    /// What was sent is no request that may be taken.
    pub fn next_request(
        &mut self,
        now: Duration,
        limits: RequestLimits,
    ) -> Result<Option<(Request, Duration)>, BadRequest> {
        if self.flight.is_some() || self.closing {
            return Ok(None);
        }
        if !self.connection.inbound.is_empty() {
            self.request_began.get_or_insert(now);
        }
        let request = self.reader.take(&mut self.connection.inbound, limits)?;
        if self.reader.wants_continue() {
            self.connection.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
            let _ = self.connection.flush();
        }
        let Some(request) = request else {
            return Ok(None);
        };
        self.keeps_alive = request.keeps_alive;
        let began = self.request_began.take().unwrap_or(now);
        Ok(Some((request, began)))
    }

    /// Whether nothing of a request was read and none is being answered.
    pub fn is_idle(&self) -> bool {
        self.flight.is_none() && self.request_began.is_none() && self.connection.unsent() == 0
    }

    /// Sends what waits; whether the connection is still of use.
    pub fn flush(&mut self) -> bool {
        match self.connection.flush() {
            Ok(true) if self.closing => {
                self.connection.shut_down_write();
                false
            }
            Ok(_) => true,
            Err(_) => false,
        }
    }
}

/// All clients.
pub type Clients = HashMap<Token, Client>;
