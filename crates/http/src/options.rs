//! Limits of a server.
//!
//! Invariant: every size has a limit, and so has every time from the first byte of a request on.

use std::time::Duration;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Maximum number of open connections; a connection beyond it is closed at once.
    pub connections: usize,
    /// Maximum size of a request head in bytes.
    pub maximum_head: usize,
    /// Maximum number of header fields of a request.
    pub maximum_headers: usize,
    /// Maximum size of a request body in bytes.
    pub maximum_body: usize,
    /// Longest wait for the first byte of a request on an open connection; unlimited if `None`.
    pub idle_timeout: Option<Duration>,
    /// Longest time from the first to the last byte of a request, and longest time to send a response.
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
