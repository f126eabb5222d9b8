//! Loopback addresses that are unique to a test.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};

/// A loopback address that other tests on this host don't use, so that its ports are free and remain free
/// while a replica is stopped.
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        64 | (high & 63),
        low,
        NEXT.fetch_add(1, Ordering::Relaxed),
    )
}
