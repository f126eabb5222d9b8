//! Bounds on the memory of calls.

use grebepin_directory::call_memory::CallMemoryBounds;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Guards against large calls that keep heartbeats out, and so end the leases of servers.
#[test]
fn large_calls_leave_room_for_heartbeats() {
    let bounds = CallMemoryBounds::of(256.0 * MIB as f64);
    assert!(bounds.fits(3 * 16 * MIB, 16 * MIB), "three of the largest");
    assert!(!bounds.fits(4 * 16 * MIB, 16 * MIB));
    assert!(bounds.fits(4 * 16 * MIB, 4 * KIB));
    assert!(!bounds.fits(5 * 16 * MIB, 4 * KIB));
}
