//! Bounds on the memory of messages.

use grebepin_gateway::held_memory::{HeldMemory, MemoryBounds};
use grebepin_reactor::MemoryCharge;

const MEMORY: f64 = 1e8;
const SMALL: usize = 16 << 10;
const LARGE: usize = 1 << 20;

fn charge(bytes: usize, account: &grebepin_reactor::MemoryAccount) -> MemoryCharge {
    let mut charge = MemoryCharge::new(account.clone());
    charge.set(bytes);
    charge
}

#[test]
fn large_requests_leave_room_for_responses_and_small_requests() {
    let bounds = MemoryBounds::of(MEMORY);
    let held = HeldMemory::default();
    let _requests = charge(41_000_000, &held.requests);
    assert!(!held.fits_request(bounds, LARGE));
    assert!(held.fits_request(bounds, SMALL));
    let responses = charge(10_000_000, &held.responses);
    assert!(held.fits_responses(bounds));
    assert!(held.fits_request(bounds, SMALL));
    drop(responses);
    let _responses = charge(20_000_000, &held.responses);
    assert!(!held.fits_responses(bounds));
    assert!(!held.fits_request(bounds, SMALL));
}

#[test]
fn responses_leave_less_room_for_large_requests() {
    let bounds = MemoryBounds::of(MEMORY);
    let held = HeldMemory::default();
    let _responses = charge(30_000_000, &held.responses);
    let _requests = charge(21_000_000, &held.requests);
    assert!(!held.fits_request(bounds, LARGE));
    assert!(held.fits_request(bounds, SMALL));
}

/// The pages' example of limits allows bodies of 64 MiB at machines of 260 MB, and the tests' 40 MiB at 160.
#[test]
fn a_quarter_of_the_memory_is_enough_for_one_message() {
    for memory in [64.0, 160.0, 260.0] {
        let memory = memory * 1_048_576.0;
        let bounds = MemoryBounds::of(memory);
        assert!(bounds.message as f64 >= memory / 4.0);
        let held = HeldMemory::default();
        let _request = charge((memory / 4.0) as usize, &held.requests);
        assert!(held.fits_request(bounds, LARGE));
        assert!(held.is_reclaimed(bounds, LARGE));
    }
}

#[test]
fn memory_is_reclaimed_below_the_bound() {
    let bounds = MemoryBounds::of(MEMORY);
    let held = HeldMemory::default();
    let _requests = charge(39_000_000, &held.requests);
    assert!(held.fits_request(bounds, LARGE));
    assert!(!held.is_reclaimed(bounds, LARGE));
}
