//! Accounts of the memory that is held for peers.
//!
//! Invariant: what a holder charged is given back when the holder is dropped.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Number of bytes that several holders use together. Clones share the number.
#[derive(Clone, Debug, Default)]
pub struct MemoryAccount(Arc<AtomicUsize>);

impl MemoryAccount {
    /// Bytes that all holders use now.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// What one holder uses of an account.
#[derive(Debug, Default)]
pub struct MemoryCharge {
    account: MemoryAccount,
    bytes: usize,
}

impl MemoryCharge {
    /// A holder that uses nothing yet.
    pub fn new(account: MemoryAccount) -> Self {
        Self { account, bytes: 0 }
    }

    /// Bytes that this holder uses.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the number of bytes that this holder uses.
    pub fn set(&mut self, bytes: usize) {
        if bytes >= self.bytes {
            let grown = bytes - self.bytes;
            self.account.0.fetch_add(grown, Ordering::Relaxed);
        } else {
            let freed = self.bytes - bytes;
            self.account.0.fetch_sub(freed, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}
