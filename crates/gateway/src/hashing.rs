//! Hashes as numbers from 0 to 1, for thresholds and schedules that are spread evenly over all gateways.

/// Bits of a hash that an `f64` represents exactly.
const EXACT_BITS: u32 = 53;

/// Maps a hash to a number from 0 to below 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    (hash >> (u64::BITS - EXACT_BITS)) as f64 / (1u64 << EXACT_BITS) as f64
}
