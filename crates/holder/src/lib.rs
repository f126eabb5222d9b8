//! What a back end keeps of grants, leases and request records: a pure state machine.
//!
//! A [`Holder`] has no clock, socket, thread or file. Each call states the time since the start of
//! the process; the caller passes the answers on. One lock round the whole holder is enough.
//!
//! Invariant: a request's effect is allowed only while the server holds a running lease over the
//! request's shard at the request's epoch, and at most once for a request that may not be repeated.

mod config;
mod guards;
pub mod headers;
mod holder;
mod lease;
mod ownership;
mod record;
mod requests;

pub use config::{HolderConfig, MAXIMUM_GROUPS, MAXIMUM_LEASE};
pub use guards::{Guard, Guards};
pub use headers::{HeaderError, Request};
pub use holder::{Holder, HoldingChange, HoldingChangeKind};
pub use ownership::{GrantOutcome, HandoverFetch};
pub use requests::{Begun, Effect, Permit};
