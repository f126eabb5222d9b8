//! Placement of shards on servers: pure functions of what the leader knows.
//!
//! Invariants: a shard whose owner stays eligible is never moved by [`assign_orphans`]; [`rebalance`]
//! never starts more moves than its budget; equal inputs give equal results in every process.

pub mod algorithms;
mod heap;
mod orphans;
mod rebalance;
mod targets;

pub use heap::LeastLoaded;
pub use orphans::{assign_orphans, owners_after_loss};
pub use rebalance::{rebalance, rebalance_sides, Move, RebalancePolicy};
pub use targets::{target_counts, target_weights};

/// A server as placement sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Share of all shards the server should carry, relative to the other candidates; 0 receives none.
    pub weight: f64,
    /// Whether the server may receive shards now.
    pub eligible: bool,
}

impl Candidate {
    /// Weight that counts now: 0 unless the server may receive shards.
    pub(crate) fn effective_weight(&self) -> f64 {
        if self.eligible && self.weight.is_finite() && self.weight > 0.0 {
            self.weight
        } else {
            0.0
        }
    }
}
