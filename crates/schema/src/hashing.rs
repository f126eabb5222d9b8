//! Hashes that different programs must compute identically.

use xxhash_rust::xxh3::xxh3_64;

use crate::{Epoch, ServiceName, ShardId};

/// The shard of a key: the 64-bit XXH3 hash of the key's bytes modulo the number of shards.
///
/// # Panics
/// If `shards` is 0; the schema requires at least 1.
pub fn shard_of_key(key: &str, shards: u32) -> ShardId {
    ShardId((xxh3_64(key.as_bytes()) % u64::from(shards)) as u32)
}

/// The 64-bit FNV-1a hash of `SERVICE/SHARD/EPOCH`. The checksum in the response to a heartbeat is the sum of
/// these hashes over the held shards, modulo 2^64. FNV-1a is used because a back end in any language can
/// implement it in four lines.
pub fn shard_hash(service: &ServiceName, shard: ShardId, epoch: Epoch) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let text = format!("{}/{}/{}", service.as_str(), shard.0, epoch.0);
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
