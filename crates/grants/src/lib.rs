//! The leader's side of leases that travel in the answers to servers' heartbeats.
//!
//! Invariants: a shard is assigned only while nobody can hold it: it never had an owner, or its owner
//! reported after being told to release that it no longer holds it, or the owner's lease ran out by
//! the leader's clock, counted from the latest moment at which a grant can have been asked for.
//! A leader assumes that its predecessor renewed every lease just before its own time began.
//!
//! The crate is pure: time comes in as a `Duration` on the process's monotonic clock; changes of
//! the replicated state go out as [`Command`](grebepin_catalog::Command)s, and an answer is worked out only after these are applied.

mod addresses;
mod coordinator;
mod division;
mod heartbeat;
mod load;
mod permits;
mod placement;
mod rate;
mod registration;
mod rows;
mod server;
mod servers;
mod shares;
mod timing;
mod transfer;

pub use coordinator::{Coordinator, HeartbeatOutcome};
pub use heartbeat::{Grant, Heartbeat, HeldRange, ReleasedRange};
pub use load::{LoadSample, LoadSum, ServerSample};
pub use permits::{Permit, Permits, MIN_STATED_RATE, STATED_RATE_FRACTION};
pub use timing::Timing;
