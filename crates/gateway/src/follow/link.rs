//! One connection to a replica of the directory, or to a gateway that gives the state on.

use std::time::Duration;

use grebepin_directory::link::{FromReplica, SourceStatus, ToReplica};
use grebepin_reactor::{encode_frame, take_frame, Connection, ReadOutcome};

/// Bytes taken in before a frame must be whole.
const BUFFER_LIMIT: usize = 65 << 20;

/// What is at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// A replica of the directory.
    Replica,
    /// Another gateway.
    Relay,
}

/// One link.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) end: LinkEnd,
    pub(super) address: String,
    connection: Connection,
    pub(super) connected: bool,
    pub(super) began: Duration,
    pub(super) heard: Duration,
    /// What a replica last told about itself.
    pub(super) head: Option<SourceStatus>,
    /// When the last report went out; `None` before the first.
    pub(super) reported: Option<Duration>,
}

impl Link {
    /// A link that was just begun.
    pub(super) fn new(
        end: LinkEnd,
        address: String,
        connection: Connection,
        now: Duration,
    ) -> Self {
        Self {
            end,
            address,
            connection,
            connected: false,
            began: now,
            heard: now,
            head: None,
            reported: None,
        }
    }

    /// Sends a frame; a link that breaks shows it at the next event.
    pub(super) fn send(&mut self, frame: &ToReplica) {
        let _ = encode_frame(frame, self.connection.outbound());
        let _ = self.connection.flush();
    }

    /// Handles what happened, and takes the frames that came; whether the link is still of use.
    pub(super) fn advance(&mut self, now: Duration, frames: &mut Vec<FromReplica>) -> bool {
        if !self.connected {
            match self.connection.check_connected() {
                Ok(true) => {
                    self.connected = true;
                    self.heard = now;
                }
                Ok(false) => return true,
                Err(_) => return false,
            }
        }
        let outcome = self.connection.fill(BUFFER_LIMIT);
        loop {
            let taken = take_frame::<FromReplica>(&mut self.connection.inbound);
            let unpacked = taken.and_then(|frame| frame.map(FromReplica::unpacked).transpose());
            match unpacked {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(_) => return false,
            }
        }
        self.connection.trim();
        if !frames.is_empty() {
            self.heard = now;
        }
        let is_open = matches!(outcome, Ok(ReadOutcome::Open | ReadOutcome::Full));
        is_open && self.connection.flush().is_ok()
    }
}
