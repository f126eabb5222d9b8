//! Placement of shards on servers, computed from the leader's state without I/O.
//!
//! Invariants: [`assign_orphans`] never moves a shard whose owner stays eligible; [`rebalance`] never
//! returns more moves than its budget; equal inputs give equal results in every process.

pub mod algorithms;
mod heap;
mod orphans;
mod rebalance;
mod targets;

pub use heap::LeastLoaded;
pub use orphans::{assign_orphans, owners_after_loss};
pub use rebalance::{rebalance, rebalance_sides, Move, RebalancePolicy};
pub use targets::{target_counts, target_weights};

/// A server that shards can be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Share of all shards, relative to the other candidates; a server with weight 0 receives none.
    pub weight: f64,
    /// Whether the server may receive shards now.
    pub eligible: bool,
}

impl Candidate {
    /// The weight, or 0 for a server that may not receive shards now or whose weight is invalid.
    pub(crate) fn effective_weight(&self) -> f64 {
        if self.eligible && self.weight.is_finite() && self.weight > 0.0 {
            self.weight
        } else {
            0.0
        }
    }
}
