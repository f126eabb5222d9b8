//! Builds the rows of a heartbeat response and keeps them within its size limit.

use grebepin_catalog::{InstanceId, KeyRange, ShardOwnership, KEYS_PER_SHARD};

use crate::heartbeat::Heartbeat;
use crate::placement::MAX_ROWS;
use crate::server::Server;

/// Limit on the bytes of all rows in a response, and the bytes of one row without its handover text.
const RESPONSE_BYTES: usize = 3_800;

const ROW_BYTES: usize = 23;

/// Rows of the server's shards that it isn't releasing. A handover text is included only until the
/// server reports that it holds the shard.
pub(crate) fn granted_rows(
    ownership: &ShardOwnership,
    server: &Server,
    heartbeat: &Heartbeat,
) -> Vec<KeyRange> {
    let granted = ownership
        .owned_by(&heartbeat.id)
        .filter(|shard| !server.releasing.contains_key(shard));
    let (taken, new): (Vec<usize>, Vec<usize>) = granted
        .partition(|shard| heartbeat.fence_of(*shard) == Some(ownership.shards()[*shard].fence));
    let mut rows = ownership.key_ranges(taken.into_iter());
    for row in &mut rows {
        row.handover.clear();
    }
    rows.extend(ownership.key_ranges(new.into_iter()));
    drop_handovers_beyond_limit(&mut rows);
    rows
}

/// Withholds the shards whose rows exceed the limit of a response, which happens after many small moves.
pub(crate) fn withhold_surplus(
    ownership: &ShardOwnership,
    server: &mut Server,
    sequence: u64,
    id: &InstanceId,
) {
    let kept: Vec<usize> = ownership
        .owned_by(id)
        .filter(|shard| !server.releasing.contains_key(shard))
        .collect();
    let rows = ownership.key_ranges(kept.iter().copied());
    let Some(first_surplus) = rows.get(MAX_ROWS) else {
        return;
    };
    let is_surplus = |shard: &&usize| **shard as u32 * KEYS_PER_SHARD >= first_surplus.from;
    let surplus = kept.iter().filter(is_surplus);
    server
        .releasing
        .extend(surplus.map(|shard| (*shard, sequence)));
}

/// Drops handover texts that would exceed the limit of a response. A server without the text starts cold
/// for these keys, which makes them slow for a while.
fn drop_handovers_beyond_limit(rows: &mut [KeyRange]) {
    let mut left = RESPONSE_BYTES.saturating_sub(rows.len() * ROW_BYTES);
    for row in rows {
        match row.handover.len() <= left {
            true => left -= row.handover.len(),
            false => row.handover.clear(),
        }
    }
}
