//! Replicated-log consensus as a pure state machine (Raft with pre-vote, check-quorum, leader
//! leases, linearizable reads, learners, and one change of membership at a time).
//!
//! Invariant: it holds no clock, socket, thread, file or random source. Time, messages and the seed
//! come in as values; messages and what must be synced come out as a [`Ready`].
//!
//! The caller's loop: feed [`Consensus::tick`], [`Consensus::step`] and proposals; take
//! [`Consensus::ready`] until it is empty; for each, sync the snapshot, the hard state and the
//! entries, then call [`Consensus::synced`], then send the messages and apply what is committed.

mod config;
mod core;
mod election;
mod error;
mod follower;
mod leader;
mod limits;
mod log;
mod membership;
mod progress;
mod quorum;
mod ready;
mod replication;
mod rounds;
mod snapshot;
mod status;

pub use crate::config::{Config, Guard, Guards};
pub use crate::core::Consensus;
pub use crate::error::{MembershipError, ProposeError};
pub use crate::limits::MAXIMUM_COMMAND_BYTES;
pub use crate::ready::{ReadId, Ready, Restored, Role};
