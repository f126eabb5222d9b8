//! Leader side of the leases that are granted in the responses to servers' heartbeats.
//!
//! Invariants: a shard is assigned only while no server can hold it. Either it never had an owner, or
//! its owner was told to release it and reported afterwards that it no longer holds it, or the owner's
//! lease expired by the leader's clock, counted from the latest moment at which a grant can have been
//! requested. A new leader assumes that its predecessor renewed every lease just before the change of
//! leader.
//!
//! The crate performs no I/O and reads no clock: time is passed in as a `Duration` on the process's
//! monotonic clock. Changes of the replicated state are returned as
//! [`Command`](grebepin_catalog::Command)s, and a grant is computed only after these are applied.

mod address_claims;
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

pub use address_claims::AddressDecision;
pub use coordinator::{Coordinator, HeartbeatOutcome};
pub use heartbeat::{Grant, Heartbeat, HeldRange, ReleasedRange};
pub use load::{LoadSample, LoadSum, ServerSample};
pub use permits::{Permit, Permits, MIN_STATED_RATE, STATED_RATE_FRACTION};
pub use timing::Timing;
