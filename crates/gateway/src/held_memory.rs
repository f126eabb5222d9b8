//! Memory that is held for clients, servers and other gateways, and how much of it each kind of message may take.
//!
//! Invariant: large requests leave room for responses, and both leave room for small requests, so that clients that
//! send large bodies keep no ordinary client from being served.

use grebepin_reactor::MemoryAccount;

/// Request size in bytes up to which a request is small: a head of the usual limit, and what is received behind it.
const SMALL_REQUEST_BYTES: usize = 48 << 10;

/// Fractions of the process's memory that messages may hold. The rest is for the replicated state, the connections
/// themselves, and memory that the allocator can't return.
const LARGEST_MESSAGE: f64 = 0.3;
const LARGE_REQUESTS: f64 = 0.4;
const LARGE_MESSAGES: f64 = 0.5;
const ALL_MESSAGES: f64 = 0.6;

/// Fraction of a bound to which memory is reclaimed once the bound is reached, so that it is not reached again at the
/// next message.
const RECLAIM_TARGET: f64 = 0.9;

/// How much memory messages may hold, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBounds {
    /// A single message.
    pub message: usize,
    /// All large requests together, in which other requests are counted as well.
    large_requests: usize,
    /// All messages, for a large one to be received.
    large_messages: usize,
    /// All messages, for a small request to be received.
    all_messages: usize,
}

impl MemoryBounds {
    /// Bounds of a process that may use `memory` bytes.
    pub fn of(memory: f64) -> Self {
        let part = |fraction: f64| (memory * fraction) as usize;
        Self {
            message: part(LARGEST_MESSAGE),
            large_requests: part(LARGE_REQUESTS),
            large_messages: part(LARGE_MESSAGES),
            all_messages: part(ALL_MESSAGES),
        }
    }

    /// Lower bounds, to which memory is reclaimed.
    fn reclaim_targets(self) -> Self {
        let part = |bytes: usize| (bytes as f64 * RECLAIM_TARGET) as usize;
        Self {
            message: self.message,
            large_requests: part(self.large_requests),
            large_messages: part(self.large_messages),
            all_messages: part(self.all_messages),
        }
    }
}

/// What is held for requests and for responses. The buffers of connections count with what is received on them.
#[derive(Debug, Default)]
pub struct HeldMemory {
    /// Requests, until they are answered and sent on no more.
    pub requests: MemoryAccount,
    /// Responses, until they are sent.
    pub responses: MemoryAccount,
}

impl HeldMemory {
    fn total(&self) -> usize {
        self.requests.held() + self.responses.held()
    }

    /// Whether a request that takes `bytes`, which are counted already, fits.
    pub fn fits_request(&self, bounds: MemoryBounds, bytes: usize) -> bool {
        match bytes <= SMALL_REQUEST_BYTES {
            true => self.total() <= bounds.all_messages,
            false => {
                self.requests.held() <= bounds.large_requests
                    && self.total() <= bounds.large_messages
            }
        }
    }

    /// Whether the responses that are being received, which are counted already, fit.
    pub fn fits_responses(&self, bounds: MemoryBounds) -> bool {
        self.total() <= bounds.all_messages
    }

    /// Whether enough is reclaimed for a request that takes `bytes`.
    pub fn is_reclaimed(&self, bounds: MemoryBounds, bytes: usize) -> bool {
        self.fits_request(bounds.reclaim_targets(), bytes)
    }
}
