//! Body of a complete message.

use std::ops::Deref;
use std::sync::Arc;

use crate::memory::MemoryCharge;

/// Body of a message without its transfer coding. Clones share the bytes, which are charged to the account of their
/// reader until the last clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct Body(Arc<Content>);

#[derive(Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    charge: MemoryCharge,
}

impl Body {
    pub(super) fn new(bytes: Vec<u8>, charge: MemoryCharge) -> Self {
        Self(Arc::new(Content { bytes, charge }))
    }

    /// Bytes that are charged for the message.
    pub fn charged_bytes(&self) -> usize {
        self.0.charge.bytes()
    }
}

impl From<Vec<u8>> for Body {
    /// A body that is charged to no account.
    fn from(bytes: Vec<u8>) -> Self {
        Self::new(bytes, MemoryCharge::default())
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0.bytes
    }
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        self
    }
}

impl<T: AsRef<[u8]> + ?Sized> PartialEq<T> for Body {
    fn eq(&self, other: &T) -> bool {
        self.0.bytes == other.as_ref()
    }
}
