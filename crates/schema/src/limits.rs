//! Fixed limits on the sizes of messages.

/// Largest internal frame in bytes, without its length prefix.
pub const MAXIMUM_FRAME_BYTES: usize = 16 << 20;

/// Largest signed bundle in bytes of JSON.
pub const MAXIMUM_BUNDLE_BYTES: usize = 4 << 20;

/// Largest control message between a control replica and a back end, in bytes of JSON.
pub const MAXIMUM_BACK_END_MESSAGE_BYTES: usize = 4 << 20;

/// Bytes of one chunk of a snapshot sent to another replica.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
