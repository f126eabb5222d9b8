//! Hashes as numbers: thresholds and turns that differ from gateway to gateway and are spread evenly over all of them.

/// Bits of a hash that a floating-point number holds exactly.
const EXACT_BITS: u32 = 53;

/// A hash as a number from 0 to 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    (hash >> (u64::BITS - EXACT_BITS)) as f64 / (1u64 << EXACT_BITS) as f64
}
