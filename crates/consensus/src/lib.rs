//! Raft consensus as a pure state machine, with pre-vote, check-quorum, leader leases, linearizable
//! reads, learners and single-member membership changes.
//!
//! Invariant: the core has no clock, socket, thread, file or source of entropy. Time, messages and the
//! random seed are passed in as values; messages to send and data to sync are returned in a [`Ready`].
//!
//! The caller's loop: call [`Consensus::tick`], [`Consensus::step`] and the methods for proposals and
//! reads; then call [`Consensus::ready`] until it returns an empty value. For each `Ready`, sync the
//! snapshot, the hard state and the entries, call [`Consensus::synced`], then send the messages, apply the
//! committed entries and answer the reads.

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
pub use crate::limits::{MAX_COMMAND_BYTES, MAX_UNCOMMITTED_BYTES};
pub use crate::log::entry_size;
pub use crate::ready::{ReadId, Ready, Restored, Role};
