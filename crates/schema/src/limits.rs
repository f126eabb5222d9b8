//! Fixed limits on the sizes of messages.

/// Maximum size of a frame of the internal protocol in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Maximum size of a signed bundle in bytes of JSON.
pub const MAX_BUNDLE_BYTES: usize = 4 << 20;

/// Maximum size of a message between a control replica and a back end in bytes of JSON.
pub const MAX_BACK_END_MESSAGE_BYTES: usize = 4 << 20;

/// Size of the snapshot chunks sent to another replica in bytes; the last chunk may be shorter.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
