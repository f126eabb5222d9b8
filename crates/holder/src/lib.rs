//! Grants, leases and request records of a back end, as a state machine without I/O.
//!
//! A [`Holder`] uses no clock, socket, thread or file. Each call takes the time since the start of
//! the process, and the caller transmits the answers. One lock around the whole holder is enough.
//!
//! Invariant: a request's effect is allowed only while the server holds a running lease over the
//! request's shard at the request's epoch, and at most once for a non-repeatable request.

mod config;
mod guards;
pub mod headers;
mod holder;
mod lease;
mod ownership;
mod record;
mod requests;

pub use config::{HolderConfig, MAX_GROUPS, MAX_LEASE};
pub use guards::{Guard, Guards};
pub use headers::{HeaderError, Request};
pub use holder::{Holder, HoldingChange, HoldingChangeKind};
pub use ownership::{GrantOutcome, HandoverFetch};
pub use requests::{Begun, Effect, Permit};
