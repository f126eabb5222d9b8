//! Connections that replicas and gateways opened to this replica.

use std::time::Duration;

use grebepin_reactor::{encode_frame, take_frame, Connection, FrameError, ReadOutcome};

use crate::link::{FromReplica, ToReplica};

/// Bytes taken in before a frame must be whole.
const BUFFER_LIMIT: usize = 65 << 20;

/// Bytes that may wait for one peer; one that takes less is cut off and comes back.
const UNSENT_LIMIT: usize = 32 << 20;

/// Time without bytes from a peer after which it counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// One such connection.
#[derive(Debug)]
pub(super) struct LinkConnection {
    pub(super) connection: Connection,
    /// Log index up to which a gateway was fed; `None` for one that does not follow here.
    pub(super) fed: Option<u64>,
    /// Whether a gateway asked for the whole state once.
    pub(super) wants_state: bool,
    /// Name of a gateway's machine; empty for a replica.
    pub(super) gateway: String,
    /// Where that gateway gives the state on; empty for nowhere.
    pub(super) relay: String,
    /// When something last came.
    pub(super) heard: Duration,
}

impl LinkConnection {
    pub(super) fn new(connection: Connection, now: Duration) -> Self {
        connection.set_unacked_timeout(SILENCE_LIMIT);
        Self {
            connection,
            fed: None,
            wants_state: false,
            gateway: String::new(),
            relay: String::new(),
            heard: now,
        }
    }

    /// Frames that arrived; `Err` when the connection is of no further use.
    pub(super) fn take_frames(&mut self, now: Duration) -> Result<Vec<ToReplica>, FrameError> {
        let outcome = self.connection.fill(BUFFER_LIMIT);
        let mut frames = Vec::new();
        while let Some(frame) = take_frame(&mut self.connection.inbound)? {
            frames.push(frame);
        }
        self.connection.trim();
        self.heard = now;
        match outcome {
            Ok(ReadOutcome::Open | ReadOutcome::Full) => Ok(frames),
            // Frames before an orderly end still count; the next read reports the end again.
            Ok(ReadOutcome::Closed) if !frames.is_empty() => Ok(frames),
            Ok(ReadOutcome::Closed) | Err(_) => Err(FrameError::TooLong { bytes: 0 }),
        }
    }

    /// Takes a frame to be sent by [`LinkConnection::flush`].
    pub(super) fn queue(&mut self, frame: &FromReplica) {
        let _ = encode_frame(frame, self.connection.outbound());
    }

    /// Sends what was queued; whether the connection is still of use.
    pub(super) fn flush(&mut self) -> bool {
        self.connection.unsent() <= UNSENT_LIMIT && self.connection.flush().is_ok()
    }

    /// Sends a frame; whether the connection is still of use.
    pub(super) fn send(&mut self, frame: &FromReplica) -> bool {
        if encode_frame(frame, self.connection.outbound()).is_err() {
            return true;
        }
        self.flush()
    }

    /// Sends an encoded frame; whether the connection is still of use.
    pub(super) fn send_bytes(&mut self, frame: &[u8]) -> bool {
        self.connection.queue(frame);
        self.flush()
    }

    /// Whether nothing came for so long that the peer counts as gone.
    pub(super) fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) > SILENCE_LIMIT
    }
}
