//! Placement algorithms behind one trait, for comparison.
//!
//! The algorithms in use are [`crate::assign_orphans`] and [`crate::rebalance`];
//! `docs/design/placement.md` has the comparison.

mod greedy;
mod problem;
mod rendezvous;
mod surplus;
mod threshold;
mod two_choices;

pub use greedy::Greedy;
pub use problem::{Placement, Problem};
pub use rendezvous::Rendezvous;
pub use threshold::ThresholdRounds;
pub use two_choices::TwoChoices;

/// A placement algorithm.
pub trait Algorithm {
    /// Name in the comparison table.
    fn name(&self) -> &'static str;

    /// Returns new owners for shards that have none, and for shards that must move to follow weights or
    /// loads.
    fn place(&self, problem: &Problem<'_>, seed: u64) -> Placement;
}

/// Hashes three numbers; the result is the same on all machines.
fn mix(seed: u64, first: u64, second: u64) -> u64 {
    const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut value =
        seed ^ first.wrapping_mul(INCREMENT) ^ second.wrapping_mul(0xd6e8_feb8_6659_fd93);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
