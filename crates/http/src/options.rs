//! Bounds of a server.
//!
//! Invariant: every size and every time from a question's first byte on has a bound.

use std::time::Duration;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Connections open at once.
    pub connections: usize,
    /// Largest head of a question in bytes.
    pub maximum_head: usize,
    /// Most header lines of a question.
    pub maximum_headers: usize,
    /// Largest body of a question in bytes.
    pub maximum_body: usize,
    /// Longest wait for a question on an open connection; without one a peer may stay silent.
    pub idle_timeout: Option<Duration>,
    /// Longest time from a question's first byte to its last, and for an answer to be taken.
    pub transfer_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            connections: 128,
            maximum_head: 32 << 10,
            maximum_headers: 100,
            maximum_body: 1 << 10,
            idle_timeout: None,
            transfer_timeout: Duration::from_secs(10),
        }
    }
}
