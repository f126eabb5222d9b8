//! Inbound connections of replicas and gateways.

use std::time::Duration;

use grebepin_reactor::{encode_frame, take_frame, Connection, FrameError, ReadOutcome};

use crate::link::{FromReplica, ToReplica};

/// Maximum number of bytes buffered before a frame must be complete.
const BUFFER_LIMIT: usize = 65 << 20;

/// Maximum number of unsent bytes per peer. A peer that reads more slowly is disconnected and reconnects.
const UNSENT_LIMIT: usize = 32 << 20;

/// Time without received bytes after which a peer counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Inbound connection of a replica or gateway.
#[derive(Debug)]
pub(super) struct LinkConnection {
    pub(super) connection: Connection,
    /// Log index up to which the gateway was sent entries; `None` for a peer that does not follow.
    pub(super) fed_index: Option<u64>,
    /// Whether the gateway requested the complete state once.
    pub(super) wants_state: bool,
    /// Name of the gateway's machine; empty for a replica.
    pub(super) gateway: String,
    /// Address at which the gateway relays the state; empty if it does not.
    pub(super) relay: String,
    /// Time of the last received bytes.
    pub(super) last_received: Duration,
    pub(super) accepted_at: Duration,
}

impl LinkConnection {
    pub(super) fn new(connection: Connection, now: Duration) -> Self {
        connection.set_unacked_timeout(PEER_TIMEOUT);
        Self {
            connection,
            fed_index: None,
            wants_state: false,
            gateway: String::new(),
            relay: String::new(),
            last_received: now,
            accepted_at: now,
        }
    }

    /// Whether it belongs to a gateway that follows this replica.
    pub(super) fn follows(&self) -> bool {
        self.fed_index.is_some()
    }

    /// Log index after which entries are sent; `None` where the complete state is sent instead, or nothing.
    pub(super) fn entries_from(&self) -> Option<u64> {
        self.fed_index.filter(|_| !self.wants_state)
    }

    /// Returns the frames received.
    ///
    /// # Errors
    /// The connection can no longer be used.
    pub(super) fn take_frames(&mut self, now: Duration) -> Result<Vec<ToReplica>, FrameError> {
        let outcome = self.connection.fill(BUFFER_LIMIT);
        let mut frames = Vec::new();
        while let Some(frame) = take_frame(&mut self.connection.inbound)? {
            frames.push(frame);
        }
        self.connection.trim();
        self.last_received = now;
        match outcome {
            Ok(ReadOutcome::Open | ReadOutcome::Full) => Ok(frames),
            // Frames received before an orderly close are still processed; the next read reports the close
            // again.
            Ok(ReadOutcome::Closed) if !frames.is_empty() => Ok(frames),
            Ok(ReadOutcome::Closed) | Err(_) => Err(FrameError::TooLong { bytes: 0 }),
        }
    }

    /// Buffers a frame for the next [`LinkConnection::flush`].
    pub(super) fn queue(&mut self, frame: &FromReplica) {
        let _ = encode_frame(frame, self.connection.outbound());
    }

    /// Sends buffered frames. Returns whether the connection can still be used.
    pub(super) fn flush(&mut self) -> bool {
        self.connection.unsent() <= UNSENT_LIMIT && self.connection.flush().is_ok()
    }

    /// Sends a frame. Returns whether the connection can still be used.
    pub(super) fn send(&mut self, frame: &FromReplica) -> bool {
        if encode_frame(frame, self.connection.outbound()).is_err() {
            return true;
        }
        self.flush()
    }

    /// Sends an encoded frame. Returns whether the connection can still be used.
    pub(super) fn send_bytes(&mut self, frame: &[u8]) -> bool {
        self.connection.queue(frame);
        self.flush()
    }

    /// Whether nothing was received for so long that the peer counts as gone.
    pub(super) fn is_timed_out(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_received) > PEER_TIMEOUT
    }
}
