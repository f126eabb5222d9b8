//! A connection to a directory replica, or to a gateway that relays the state.

use std::time::Duration;

use grebepin_directory::link::{FromReplica, SourceStatus, ToReplica};
use grebepin_reactor::{encode_frame, take_frame, Connection, ReadOutcome};

/// Bytes that are buffered until a frame is complete.
const BUFFER_LIMIT: usize = 65 << 20;

/// Kind of process at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkPeer {
    /// A replica of the directory.
    Replica,
    /// A gateway that relays the state.
    Relay,
}

#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: LinkPeer,
    pub(super) address: String,
    connection: Connection,
    pub(super) connected: bool,
    pub(super) opened_at: Duration,
    /// Whether it took so long to be established that others are tried beside it.
    pub(super) is_late: bool,
    /// How long it took to be established, about the round-trip time with the queues of that moment.
    pub(super) handshake_time: Duration,
    pub(super) last_received: Duration,
    /// Last status message of a replica.
    pub(super) head: Option<SourceStatus>,
    /// Whether a state that it sent was ignored. The replica takes that state for received.
    pub(super) ignored_state: bool,
    /// When the last report was sent; `None` before the first.
    pub(super) last_report: Option<Duration>,
}

impl Link {
    pub(super) fn new(
        peer: LinkPeer,
        address: String,
        connection: Connection,
        now: Duration,
    ) -> Self {
        Self {
            peer,
            address,
            connection,
            connected: false,
            opened_at: now,
            is_late: false,
            handshake_time: Duration::ZERO,
            last_received: now,
            head: None,
            ignored_state: false,
            last_report: None,
        }
    }

    /// Sends a frame. A send error is not returned: a broken connection shows at the next event.
    pub(super) fn send(&mut self, frame: &ToReplica) {
        let _ = encode_frame(frame, self.connection.outbound());
        let _ = self.connection.flush();
    }

    /// Handles a socket event and appends the received frames; returns whether the link is still usable.
    pub(super) fn on_event(&mut self, now: Duration, frames: &mut Vec<FromReplica>) -> bool {
        if !self.connected {
            match self.connection.check_connected() {
                Ok(true) => {
                    self.connected = true;
                    self.is_late = false;
                    self.handshake_time = now.saturating_sub(self.opened_at);
                    self.last_received = now;
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
            self.last_received = now;
        }
        let is_open = matches!(outcome, Ok(ReadOutcome::Open | ReadOutcome::Full));
        is_open && self.connection.flush().is_ok()
    }
}
